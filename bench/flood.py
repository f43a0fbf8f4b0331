"""Scenarios of load alone: steady, floods and large customers."""

from collections.abc import Iterable, Sequence

from bench import _board as board
from bench._driver import Offered
from bench._fleet import BoardFleet, Policies
from bench._results import Measure
from bench._run import goodput, late_share, measure_all, on_time_share
from bluebellrun.load import Phase

DURATION_S = 14.0
FLOOD_START_S = 3.0
FLOOD_SETTLED_S = 4.0
LOW_FLOOD = 4.0
URGENT_FLOOD = 3.0
BACKGROUND = 0.6
LARGE_FACTOR = 10.0


def steady(seed: int) -> list[Measure]:
    """Offer 80% of capacity."""
    streams = board.steady_streams(0.8, DURATION_S)

    def judge(
        policies: Policies, offered: Sequence[Offered], _fleet: BoardFleet
    ) -> Iterable[Measure]:
        models = [item for item in offered if item.arrival.stream.name != "jobs"]
        tokens = sum(item.arrival.answer_tokens for item in models)
        good = sum(item.arrival.answer_tokens for item in models if item.on_time)
        row = _Rows("steady", policies, seed)
        yield row.share("top on time", on_time_share(offered, board.TOP.name), ">= 0.995")
        yield row.share("goodput of offered", good / tokens, ">= 0.97")
        yield row.share("jobs on time", on_time_share(offered, "jobs"), None)

    return measure_all(board.make_scenario("steady", streams, DURATION_S), seed, judge)


def flood_low(seed: int) -> list[Measure]:
    """Flood with the least urgent work."""
    streams = board.steady_streams(BACKGROUND, DURATION_S)
    streams += board.flood_streams(board.LOW, LOW_FLOOD, FLOOD_START_S, DURATION_S)

    def judge(
        policies: Policies, offered: Sequence[Offered], _fleet: BoardFleet
    ) -> Iterable[Measure]:
        row = _Rows("flood-low", policies, seed)
        ideal = board.capacity() * board.ANSWER_TOKENS
        rate = goodput(offered, "", FLOOD_SETTLED_S, DURATION_S)
        yield row.share("top on time", on_time_share(offered, board.TOP.name), ">= 0.99")
        yield row.share("middle on time", on_time_share(offered, board.MIDDLE.name), ">= 0.97")
        yield row.share("goodput of capacity", rate / ideal, ">= 0.9")
        yield row.share("run but late", late_share(offered), "<= 0.02")

    return measure_all(board.make_scenario("flood-low", streams, DURATION_S), seed, judge)


def flood_urgent(seed: int) -> list[Measure]:
    """Flood with the most urgent work; the others offer half of capacity each."""
    phase = 0.5 * board.capacity()
    streams = [
        board.model_stream(rank, name, [Phase(start_s=0, end_s=DURATION_S, rate=phase * part)])
        for rank in (board.MIDDLE, board.LOW)
        for name, part in board.customers()
    ]
    streams += board.flood_streams(board.TOP, URGENT_FLOOD, FLOOD_START_S, DURATION_S)

    def judge(
        policies: Policies, offered: Sequence[Offered], _fleet: BoardFleet
    ) -> Iterable[Measure]:
        row = _Rows("flood-urgent", policies, seed)
        ideal = board.capacity() * board.ANSWER_TOKENS
        rest = 1.0
        for rank in (board.MIDDLE, board.LOW):
            kept = goodput(offered, rank.name, FLOOD_SETTLED_S, DURATION_S) / ideal
            rest -= max(rank.floor, kept)
            yield row.share(f"{rank.name} of its floor", kept / rank.floor, ">= 0.9")
        urgent = goodput(offered, "flood", FLOOD_SETTLED_S, DURATION_S) / ideal
        yield row.share("urgent goodput of the rest", urgent / max(rest, 0.01), ">= 0.9")
        yield row.share("run but late", late_share(offered), None)

    return measure_all(board.make_scenario("flood-urgent", streams, DURATION_S), seed, judge)


def large_customers(seed: int) -> list[Measure]:
    """Let three customers offer ten times their share."""
    share = board.capacity() * 0.8 / len(board.customers())
    streams = []
    for name, _ in board.customers():
        factor = LARGE_FACTOR if name in board.LARGE_CUSTOMERS else 1.0
        phase = Phase(start_s=0, end_s=DURATION_S, rate=share * factor)
        streams.append(board.model_stream(board.MIDDLE, name, [phase]))

    def judge(
        policies: Policies, offered: Sequence[Offered], _fleet: BoardFleet
    ) -> Iterable[Measure]:
        row = _Rows("large-customers", policies, seed)
        small = [
            on_time_share(offered, board.stream_name(board.MIDDLE, name))
            for name in board.SMALL_CUSTOMERS
        ]
        ideal = board.capacity() * board.ANSWER_TOKENS
        rate = goodput(offered, "", FLOOD_SETTLED_S, DURATION_S)
        yield row.share("worst small customer on time", min(small), ">= 0.99")
        yield row.share("goodput of capacity", rate / ideal, None)

    return measure_all(board.make_scenario("large-customers", streams, DURATION_S), seed, judge)


class _Rows:
    """Make the measures of one policy in one scenario."""

    def __init__(self, scenario: str, policies: Policies, seed: int) -> None:
        self._scenario = scenario
        self._policy = policies.name
        self._seed = seed

    def share(self, name: str, value: float, bound: str | None) -> Measure:
        """Return a measure without a unit."""
        return Measure(self._scenario, self._policy, name, value, "share", bound, self._seed)
