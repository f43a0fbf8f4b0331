"""Run one scenario against the Board's fleet, once for each pair of policies."""

import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from bench._driver import Offered, read_offered, start_driver
from bench._fleet import BoardFleet, Policies, compared_policies
from bench._results import Measure
from bluebellrun.load import Scenario
from standins.fleet import LocalFleet

Fault = Callable[[BoardFleet], None]
Judge = Callable[[Policies, Sequence[Offered], BoardFleet], Iterable[Measure]]
LEAD_S = 0.7


def measure_all(
    scenario: Scenario,
    seed: int,
    judge: Judge,
    faults: Sequence[tuple[float, Fault]] = (),
    engine_arguments: tuple[str, ...] = (),
    agent_arguments: tuple[str, ...] = (),
) -> list[Measure]:
    """Return the measures of every pair of policies."""
    measures: list[Measure] = []
    for policies in compared_policies():
        with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as processes:
            fleet = BoardFleet(processes, policies, engine_arguments, agent_arguments)
            fleet.start()
            offered = _offer(fleet, scenario, seed, faults)
            measures += judge(policies, offered, fleet)
    return measures


def _offer(
    fleet: BoardFleet, scenario: Scenario, seed: int, faults: Sequence[tuple[float, Fault]]
) -> list[Offered]:
    """Offer the load, order the faults at their times and return what came back."""
    folder = fleet.fleet.folder
    driver = start_driver(folder, scenario, seed, fleet.entries)
    started = time.monotonic() + LEAD_S
    for at_s, fault in faults:
        time.sleep(max(0.0, started + at_s - time.monotonic()))
        fault(fleet)
    if driver.wait() != 0:
        raise RuntimeError(f"the load of {scenario.name} failed; see its output above")
    return read_offered(folder, scenario, seed)


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
