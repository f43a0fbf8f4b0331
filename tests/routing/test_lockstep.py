"""Load pattern: one rank of a group that takes its steps together turns slow."""

from random import Random

import pytest

from bluebellrun.routing import LeastWorkRouting, UpstreamWork, ranks_to_drain

RANKS, SLOTS = 12, 6
STEP_MS, REQUEST_MS, READ_PER_MS, CHUNK = 5.85, 0.426, 61.2, 512
PROMPT, STEPS, STEPS_A_PASS = 820, 140, 6


def slowness_of(**slow):
    return {str(rank): 1.0 for rank in range(RANKS)} | {k.strip("_"): v for k, v in slow.items()}


def first_tokens_in_time(drain_slow: bool, pace: float, seed: int) -> float:
    """Simulate 20 s of requests at a group with one slow rank; return the share in time."""
    random = Random(seed)
    slowness = [pace if rank == 3 else 1.0 for rank in range(RANKS)]
    drained = ranks_to_drain({str(r): p for r, p in enumerate(slowness)}, RANKS)
    routing = LeastWorkRouting(random, "a")
    now, next_at = 0.0, 0.0
    # Per request: arrival time, prompt tokens still to be read, remaining decode steps.
    held: list[list[list[float]]] = [[] for _ in range(RANKS)]
    first: list[float] = []
    while now < 20_000:
        while next_at <= now:
            works = [
                UpstreamWork(str(rank), "a", SLOTS, len(held[rank]))
                for rank in range(RANKS)
                if not (drain_slow and str(rank) in drained)
            ]
            held[int(routing.choose(works).name)].append([next_at, PROMPT, STEPS])
            next_at += random.expovariate(22 / 1000)
        parts = []
        for requests, pace_of_rank in zip(held, slowness, strict=True):
            batch = requests[:SLOTS]
            left = CHUNK
            for request in batch:
                read = min(left, request[1])
                request[1] -= read
                left -= read
            reading = (CHUNK - left) / READ_PER_MS
            writing = any(request[1] <= 0 for request in batch)
            steps = STEPS_A_PASS if writing else 1
            own = steps * (STEP_MS + REQUEST_MS * len(batch)) + reading if batch else STEP_MS
            parts.append(own * pace_of_rank)
        now += max(parts)
        for requests in held:
            for request in requests[:SLOTS]:
                if request[1] <= 0:
                    if request[2] == STEPS:
                        first.append(now - request[0])
                    request[2] -= STEPS_A_PASS
            requests[:] = [request for request in requests if request[2] > 0]
    waiting = sum(request[2] == STEPS for requests in held for request in requests)
    return sum(took <= 403 for took in first) / (len(first) + waiting)


@pytest.mark.parametrize("seed", range(3))
def test_draining_a_slow_rank_serves_more_of_the_groups_callers_in_time(seed):
    before = first_tokens_in_time(False, 4.0, seed)
    after = first_tokens_in_time(True, 4.0, seed)
    assert after > before + 0.2, (before, after)


def test_a_slow_rank_is_drained_and_a_varying_one_is_not():
    assert ranks_to_drain(slowness_of(_3=4.0, _5=1.3), RANKS) == {"3"}


def test_at_most_a_quarter_is_drained_the_slowest_first():
    slow = {f"_{rank}": 2.0 + rank for rank in range(6)}
    assert ranks_to_drain(slowness_of(**slow), RANKS) == {"5", "4", "3"}


def test_the_last_usable_rank_is_never_drained():
    assert ranks_to_drain({"0": 4.0}, RANKS) == frozenset()
