"""The load scenarios on fakes: the same work and policies, the same figures each run."""

from collections.abc import Sequence

from bench import _board as board
from bench._fakes import FakeFleet, FakeRequest, FakeSizes
from bench._fleet import Policies, compared_policies
from bench._results import Measure
from bench.flood import (
    BACKGROUND,
    DURATION_S,
    FLOOD_SETTLED_S,
    FLOOD_START_S,
    LARGE_FACTOR,
    LOW_FLOOD,
    URGENT_FLOOD,
)
from bluebellrun.admission import PriorityTarget
from bluebellrun.load import Phase, Scenario, Stream, plan_arrivals

TAIL_S = 10.0
GAP_S = 0.5
FAULT_S = 4.0
SLOW_FACTOR = 5.0
POLL_S = 0.01
NEVER_S = 99.0


def targets() -> list[PriorityTarget]:
    """Return what the ranks of work are promised."""
    return [
        PriorityTarget(rank.urgency, rank.first_token_s, GAP_S, rank.floor)
        for rank in board.CLASSES
    ]


def requests_of(streams: Sequence[Stream], seed: int) -> dict[str, list[FakeRequest]]:
    """Return the requests of streams, by the stream's name."""
    scenario = Scenario(name="pure", streams=list(streams))
    requests: dict[str, list[FakeRequest]] = {stream.name: [] for stream in streams}
    for arrival in plan_arrivals(scenario, seed):
        stream = arrival.stream
        request = FakeRequest(
            customer=stream.key,
            priority=stream.priority,
            at_s=arrival.at_s,
            tokens=arrival.answer_tokens,
            first_token_s=stream.first_token_s,
            deadline_s=stream.deadline_s,
            prompt=arrival.prompt.encode(),
        )
        requests[stream.name].append(request)
    return requests


class PureRun:
    """One run of streams under a pair of policies."""

    def __init__(
        self,
        streams: Sequence[Stream],
        policies: Policies,
        seed: int,
        sizes: FakeSizes | None = None,
    ) -> None:
        self._requests = requests_of(streams, seed)
        self.fleet = FakeFleet(
            sizes or FakeSizes(step_s=board.STEP_S),
            policies.routing,
            policies.admission,
            targets(),
            seed,
        )
        self.all = sorted(
            (request for group in self._requests.values() for request in group),
            key=lambda request: request.at_s,
        )

    def run(self, until_s: float = DURATION_S + TAIL_S) -> "PureRun":
        """Run to the end."""
        self.fleet.run(self.all, until_s)
        return self

    def group(self, prefix: str) -> list[FakeRequest]:
        """Return the requests of streams whose names start so."""
        return [
            request
            for name, group in self._requests.items()
            if name.startswith(prefix)
            for request in group
        ]

    def on_time(self, prefix: str) -> float:
        """Return the share of requests that were whole and on time."""
        group = self.group(prefix)
        return sum(request.on_time for request in group) / max(1, len(group))

    def goodput(self, prefix: str) -> float:
        """Return on-time tokens a second in the settled span, as a share of capacity."""
        ideal = board.capacity() * board.ANSWER_TOKENS
        tokens = sum(
            request.tokens
            for request in self.group(prefix)
            if request.on_time
            and request.ended_at is not None
            and FLOOD_SETTLED_S <= request.ended_at < DURATION_S
        )
        return tokens / (DURATION_S - FLOOD_SETTLED_S) / ideal

    def late(self) -> float:
        """Return the share of run requests that were not on time."""
        ran = [request for request in self.all if request.first_at is not None]
        return sum(not request.on_time for request in ran) / max(1, len(ran))


def steady_streams() -> list[Stream]:
    """Return 80% of capacity."""
    return board.steady_streams(0.8, DURATION_S)


def flood_low_streams() -> list[Stream]:
    """Return a flood of the least urgent work over a background."""
    streams = board.steady_streams(BACKGROUND, DURATION_S)
    return streams + board.flood_streams(board.LOW, LOW_FLOOD, FLOOD_START_S, DURATION_S)


def flood_urgent_streams() -> list[Stream]:
    """Return a flood of the most urgent work; the others offer half of capacity each."""
    rate = 0.5 * board.capacity()
    streams = [
        board.model_stream(rank, name, [Phase(start_s=0, end_s=DURATION_S, rate=rate * part)])
        for rank in (board.MIDDLE, board.LOW)
        for name, part in board.customers()
    ]
    return streams + board.flood_streams(board.TOP, URGENT_FLOOD, FLOOD_START_S, DURATION_S)


def large_customers_streams() -> list[Stream]:
    """Return three customers at ten times their share, and seven at theirs."""
    share = board.capacity() * 0.8 / len(board.customers())
    return [
        board.model_stream(
            board.MIDDLE,
            name,
            [
                Phase(
                    start_s=0,
                    end_s=DURATION_S,
                    rate=share * (LARGE_FACTOR if name in board.LARGE_CUSTOMERS else 1.0),
                )
            ],
        )
        for name, _ in board.customers()
    ]


def measure(seed: int) -> list[Measure]:
    """Return the measures of all load scenarios for all policies."""
    measures: list[Measure] = []
    for policies in compared_policies():
        measures += _steady(policies, seed)
        measures += _flood_low(policies, seed)
        measures += _flood_urgent(policies, seed)
        measures += _large_customers(policies, seed)
        measures += _straggler(policies, seed)
    return measures


def _row(
    name: str, policies: Policies, measure: str, value: float, bound: str, seed: int
) -> Measure:
    """Return a measure without a unit."""
    return Measure(f"pure/{name}", policies.name, measure, value, "share", bound or None, seed)


def _steady(policies: Policies, seed: int) -> list[Measure]:
    """Measure 80% of capacity."""
    run = PureRun(steady_streams(), policies, seed).run()
    return [
        _row("steady", policies, "top on time", run.on_time(board.TOP.name), ">= 0.995", seed),
        _row("steady", policies, "all on time", run.on_time(""), ">= 0.97", seed),
    ]


def _flood_low(policies: Policies, seed: int) -> list[Measure]:
    """Measure a flood of the least urgent work."""
    run = PureRun(flood_low_streams(), policies, seed).run()
    name = "flood-low"
    return [
        _row(name, policies, "top on time", run.on_time(board.TOP.name), ">= 0.99", seed),
        _row(name, policies, "middle on time", run.on_time(board.MIDDLE.name), ">= 0.97", seed),
        _row(name, policies, "goodput of capacity", run.goodput(""), ">= 0.9", seed),
        _row(name, policies, "run but late", run.late(), "<= 0.02", seed),
    ]


def _flood_urgent(policies: Policies, seed: int) -> list[Measure]:
    """Measure a flood of the most urgent work."""
    run = PureRun(flood_urgent_streams(), policies, seed).run()
    name, rest = "flood-urgent", 1.0
    rows = []
    for rank in (board.MIDDLE, board.LOW):
        kept = run.goodput(rank.name)
        rest -= max(rank.floor, kept)
        label = f"{rank.name} of its floor"
        rows.append(_row(name, policies, label, kept / rank.floor, ">= 0.9", seed))
    urgent = run.goodput("flood") / max(rest, 0.01)
    rows.append(_row(name, policies, "urgent goodput of the rest", urgent, ">= 0.9", seed))
    rows.append(_row(name, policies, "run but late", run.late(), "", seed))
    return rows


def _large_customers(policies: Policies, seed: int) -> list[Measure]:
    """Measure small customers beside large ones."""
    run = PureRun(large_customers_streams(), policies, seed).run()
    name = "large-customers"
    small = [
        run.on_time(board.stream_name(board.MIDDLE, customer)) for customer in board.SMALL_CUSTOMERS
    ]
    return [
        _row(name, policies, "worst small customer on time", min(small), ">= 0.99", seed),
        _row(name, policies, "goodput of capacity", run.goodput(""), "", seed),
    ]


def _straggler(policies: Policies, seed: int) -> list[Measure]:
    """Measure the fleet with one upstream five times slower than before."""
    run = PureRun(board.steady_streams(1.0, DURATION_S), policies, seed)
    fleet, found = run.fleet, [NEVER_S]

    def slow() -> None:
        fleet.upstreams[0].slow_factor = SLOW_FACTOR
        look()

    def look() -> None:
        if fleet.upstreams[0].name in fleet.stragglers():
            found[0] = fleet.now - FAULT_S
        else:
            fleet.after(POLL_S, look)

    fleet.after(FAULT_S, slow)
    run.run()
    others = 1 - 1 / board.MODEL_UPSTREAMS
    rate = run.goodput("") / others
    label = "goodput of what the others could carry"
    return [
        _row("straggler", policies, label, rate, ">= 0.9", seed),
        Measure("pure/straggler", policies.name, "found after", found[0], "s", "<= 2", seed),
        _row("straggler", policies, "top on time", run.on_time(board.TOP.name), "", seed),
    ]
