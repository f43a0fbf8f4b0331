"""Shares of customers over all upstreams, though each agent sees only its part; on fakes.

Two ways are measured: each agent by itself, and with what entries tell of work served elsewhere.
The ideal is max-min: nobody gets more than it asks for, the rest by share.
"""

from collections.abc import Mapping
from random import Random

from bench import _board as board
from bench._fakes import FakeFleet, FakeRequest, FakeSizes
from bench._results import Measure
from bench.pure import targets

DURATION_S = 20.0
SETTLED_S = 5.0
UPSTREAMS = 12
FIRST_TOKEN_S = 4.0
DEADLINE_S = 8.0
SHARES = {"a": 1.0, "b": 1.0, "c": 2.0, "d": 1.0}
OFFERED = {"a": 2.0, "b": 1.0, "c": 2.0, "d": 0.1}
CONFINED = "b"


def ideal_parts(shares: Mapping[str, float], offered: Mapping[str, float]) -> dict[str, float]:
    """Return each customer's part of the capacity, of which ``offered`` is a multiple."""
    parts: dict[str, float] = {}
    left = 1.0
    while len(parts) < len(shares):
        open_shares = {name: share for name, share in shares.items() if name not in parts}
        unit = left / sum(open_shares.values())
        content = [name for name, share in open_shares.items() if offered[name] <= unit * share]
        if not content:
            parts |= {name: unit * share for name, share in open_shares.items()}
            break
        for name in content:
            parts[name] = offered[name]
            left -= offered[name]
    return parts


def _requests(seed: int, upstreams: int) -> list[FakeRequest]:
    """Return the customers' requests; those of one customer may use only some upstreams."""
    closed = {f"up-{number:02}" for number in range(upstreams, UPSTREAMS)}
    requests = []
    for name in SHARES:
        random = Random(f"{seed}/{name}")
        at_s = 0.0
        while (at_s := at_s + random.expovariate(OFFERED[name] * board.capacity())) < DURATION_S:
            request = FakeRequest(
                customer=name,
                priority=board.MIDDLE.urgency,
                at_s=at_s,
                tokens=random.randint(8, 24),
                first_token_s=FIRST_TOKEN_S,
                deadline_s=DEADLINE_S,
                share=SHARES[name],
                tried=set(closed) if name == CONFINED else set(),
            )
            requests.append(request)
    return sorted(requests, key=lambda request: request.at_s)


def worst_deviation(seed: int, told: bool, upstreams: int) -> float:
    """Return how far a customer's part is from its ideal at most, in percentage points."""
    requests = _requests(seed, upstreams)
    sizes = FakeSizes(upstreams=UPSTREAMS, step_s=board.STEP_S, tell_served_elsewhere=told)
    fleet = FakeFleet(sizes, "expected-finish", "fair", targets(), seed)
    fleet.run(requests, DURATION_S)
    tokens = dict.fromkeys(SHARES, 0)
    for request in requests:
        if request.ended_at is not None and SETTLED_S <= request.ended_at < DURATION_S:
            tokens[request.customer] += request.tokens
    total = sum(tokens.values())
    ideal = ideal_parts(SHARES, OFFERED)
    return 100 * max(abs(tokens[name] / total - ideal[name]) for name in SHARES)


def measure(seed: int) -> list[Measure]:
    """Return the worst deviation of both ways, for spread and for confined work."""
    measures = []
    for told, policy in ((True, "told by entries"), (False, "each agent by itself")):
        for upstreams in (12, 6, 4):
            value = worst_deviation(seed, told, upstreams)
            name = f"worst share deviation, one on {upstreams} of 12"
            row = Measure("fairness", policy, name, value, "pp", "<= 5", seed)
            measures.append(row)
    return measures
