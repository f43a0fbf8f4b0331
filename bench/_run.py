"""Run one scenario against the Board's fleet, once for each pair of policies."""

import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from bench._driver import Offered, read_offered, start_driver
from bench._fleet import ALL_POLICIES, BoardFleet, Policies, open_fleet
from bench._results import Measure
from bluebellrun.load import Scenario

Fault = Callable[[BoardFleet], None]
Judge = Callable[[Policies, Sequence[Offered], BoardFleet], Iterable[Measure]]
LEAD_S = 0.7


def measure_all(
    scenario: Scenario,
    seed: int,
    judge: Judge,
    faults: Sequence[tuple[float, Fault]] = (),
    engine_arguments: tuple[str, ...] = (),
) -> list[Measure]:
    """Return the measures of every pair of policies."""
    measures: list[Measure] = []
    for policies in ALL_POLICIES:
        measures += _measure(scenario, seed, policies, judge, faults, engine_arguments)
    return measures


def _measure(
    scenario: Scenario,
    seed: int,
    policies: Policies,
    judge: Judge,
    faults: Sequence[tuple[float, Fault]],
    engine_arguments: tuple[str, ...],
) -> list[Measure]:
    """Return the measures of one pair of policies."""
    with tempfile.TemporaryDirectory() as folder:
        board_fleet = open_fleet(folder, policies, *engine_arguments)
        with board_fleet.fleet:
            board_fleet.start()
            driver = start_driver(Path(folder), scenario, seed, board_fleet.entries)
            started = time.monotonic() + LEAD_S
            for at_s, fault in faults:
                time.sleep(max(0.0, started + at_s - time.monotonic()))
                fault(board_fleet)
            if driver.wait() != 0:
                raise RuntimeError(f"the load of {scenario.name} failed; see its output above")
            offered = read_offered(Path(folder), scenario, seed)
            return list(judge(policies, offered, board_fleet))


def on_time_share(offered: Iterable[Offered], prefix: str) -> float:
    """Return the share of the streams' requests that were whole and on time."""
    chosen = [item for item in offered if item.arrival.stream.name.startswith(prefix)]
    return sum(item.on_time for item in chosen) / max(1, len(chosen))


def goodput(offered: Iterable[Offered], prefix: str, start_s: float, end_s: float) -> float:
    """Return the tokens a second of on-time answers that ended in a span of time."""
    tokens = sum(
        item.arrival.answer_tokens
        for item in offered
        if item.on_time
        and item.arrival.stream.name.startswith(prefix)
        and item.arrival.stream.name != "jobs"
        and start_s <= item.ended_s < end_s
    )
    return tokens / (end_s - start_s)


def late_share(offered: Iterable[Offered]) -> float:
    """Return the share of run requests that were answered late or not to the end."""
    ran = [item for item in offered if item.sample.tokens > 0]
    return sum(not item.on_time for item in ran) / max(1, len(ran))
