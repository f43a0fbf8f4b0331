from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from bluebellrun.routing import Candidate, ExpectedFinishRouting, RoutedWork, UpstreamLoad

LIMIT = 4
STEP_S = 0.04


def candidate(name: str, waiting: int = 0, running: int = 0, **fields: object) -> Candidate:
    load = UpstreamLoad(waiting, running, 0.0, LIMIT, STEP_S, 0.5)
    made = Candidate(name, "region", "near", running, load)
    return replace(made, **fields)


def work(prompt: bytes = b"") -> RoutedWork:
    return RoutedWork("pool", "customer", 3, prompt, 1e6)


def spread(routing: ExpectedFinishRouting, candidates: list[Candidate], now: float) -> Counter[str]:
    chosen = [routing.choose(work(), candidates, now + n / 1e4) for n in range(200)]
    return Counter(item.name for item in chosen if item is not None)


def test_work_avoids_a_loaded_upstream():
    routing = ExpectedFinishRouting(Random(1), "near")
    loaded = candidate("loaded", waiting=10, running=4)
    chosen = routing.choose(work(), [loaded, candidate("idle")], 0.6)
    assert chosen is not None
    assert chosen.name == "idle"


def test_requests_between_two_reports_do_not_all_go_to_the_same_upstream():
    routing = ExpectedFinishRouting(Random(1), "near")
    counts = spread(routing, [candidate(f"u{n}") for n in range(4)], 0.6)
    assert max(counts.values()) < 2 * min(counts.values())


def test_an_old_report_of_idleness_is_discounted():
    routing = ExpectedFinishRouting(Random(1), "near")
    silent = candidate("silent", in_flight=6)
    fresh = [
        candidate(f"u{n}", running=2, load=UpstreamLoad(0, 2, 0.0, LIMIT, STEP_S, 9.9))
        for n in range(3)
    ]
    chosen = routing.choose(work(), [silent, *fresh], 10.0)
    assert chosen is not None
    assert chosen.name != "silent"


def test_the_nearest_failure_domain_goes_first_and_spills_by_load():
    routing = ExpectedFinishRouting(Random(1), "near")
    near = [candidate(f"near{n}") for n in range(3)]
    far = [candidate(f"far{n}", failure_domain="far") for n in range(3)]
    first = routing.choose(work(), [*near, *far], 0.6)
    assert first is not None
    assert first.failure_domain == "near"
    full = [replace(item, load=replace(item.load, waiting=8, running=4)) for item in near]
    spilled = routing.choose(work(), [*full, *far], 0.6)
    assert spilled is not None
    assert spilled.failure_domain == "far"


def test_another_region_takes_work_only_under_much_load():
    routing = ExpectedFinishRouting(Random(1), "near")
    near = candidate("near", running=3)
    away = candidate("away", region="other", failure_domain="far")
    chosen = routing.choose(work(), [near, away], 0.6)
    assert chosen is not None
    assert chosen.name == "near"


def test_a_newcomer_gets_little_at_first():
    routing = ExpectedFinishRouting(Random(1), "near")
    old = [candidate(f"old{n}", running=2) for n in range(3)]
    routing.choose(work(), old, 0.0)
    newcomer = candidate("new", running=2)
    counts = spread(routing, [*old, newcomer], 0.6)
    assert counts["new"] < 0.7 * 200 / 4
    later = [replace(c, load=replace(c.load, reported=30.0)) for c in [*old, newcomer]]
    assert spread(routing, later, 30.0)["new"] > 0.7 * 200 / 4


def test_an_upstream_that_fails_repeatedly_is_ejected_for_a_while():
    routing = ExpectedFinishRouting(Random(1), "near")
    candidates = [candidate(f"u{n}") for n in range(4)]
    for _ in range(3):
        routing.on_finished("u0", 0.1, True, 1.0)
    assert spread(routing, candidates, 1.1)["u0"] == 0
    assert routing.ejected == {"u0"}
    assert spread(routing, candidates, 2.5)["u0"] > 0


def test_a_fault_that_all_upstreams_share_ejects_no_more_than_a_third():
    routing = ExpectedFinishRouting(Random(1), "near")
    candidates = [candidate(f"u{n}") for n in range(6)]
    for item in candidates:
        for _ in range(5):
            routing.on_unreachable(item.name, 1.0)
    assert len(spread(routing, candidates, 1.1)) >= 4
    assert len(routing.ejected) == 2


def test_an_upstream_that_just_refused_is_passed_over_while_others_exist():
    routing = ExpectedFinishRouting(Random(1), "near")
    routing.on_refused("u0", 3, 1.0)
    pair = [candidate("u0"), candidate("u1", running=3)]
    chosen = routing.choose(work(), pair, 1.1)
    assert chosen is not None
    assert chosen.name == "u1"
    assert routing.choose(work(), pair[:1], 1.1) is not None


def test_a_refusal_of_less_urgent_work_does_not_divert_urgent_work():
    routing = ExpectedFinishRouting(Random(1), "near")
    routing.on_refused("u0", 6, 1.0)
    pair = [candidate("u0"), candidate("u1", running=3)]
    chosen = routing.choose(replace(work(), priority=1), pair, 1.1)
    assert chosen is not None
    assert chosen.name == "u0"


def test_no_candidate_gives_no_choice():
    assert ExpectedFinishRouting(Random(1), "near").choose(work(), [], 1.0) is None


def test_departed_upstreams_are_forgotten():
    routing = ExpectedFinishRouting(Random(1), "near")
    for number in range(100):
        routing.choose(work(), [candidate(f"u{number}")], 100.0 * number)
        routing.on_unreachable(f"u{number}", 100.0 * number)
        routing.on_refused(f"u{number}", 3, 100.0 * number)
    assert len(routing._loads._known) < 10
    assert len(routing._outliers._records) < 10
    assert len(routing._refused) < 10


def straggle(routing: ExpectedFinishRouting) -> list[Candidate]:
    def at(step_s: float, now: float) -> list[Candidate]:
        slow = UpstreamLoad(0, 0, 0.0, LIMIT, step_s, now)
        typical = UpstreamLoad(0, 0, 0.0, LIMIT, STEP_S, now)
        return [candidate("slow", load=slow), *(candidate(f"u{n}", load=typical) for n in range(4))]

    for number in range(20):
        routing.choose(work(), at(STEP_S, 0.1 * number), 0.1 * number)
    for number in range(20, 25):
        routing.choose(work(), at(5 * STEP_S, 0.1 * number), 0.1 * number)
    return at(5 * STEP_S, 2.5)


def test_a_straggler_gets_a_probe_now_and_then_and_no_urgent_work():
    routing = ExpectedFinishRouting(Random(1), "near")
    candidates = straggle(routing)
    assert routing.stragglers == {"slow"}
    urgent = replace(work(), priority=1)
    moments = [2.6 + number / 10 for number in range(60)]
    for now in moments:
        chosen = routing.choose(urgent, candidates, now)
        assert chosen is not None
        assert chosen.name != "slow"
    counts = Counter(
        item.name for now in moments if (item := routing.choose(work(), candidates, now + 6))
    )
    assert 1 <= counts["slow"] <= 4


@pytest.mark.parametrize(
    ("waiting", "running", "expected"), [(0, 3, True), (0, 4, False), (1, 3, False)]
)
def test_a_candidate_has_free_capacity_when_it_could_start_a_request_at_once(
    waiting, running, expected
):
    assert candidate("a", waiting, running).has_free_capacity is expected
