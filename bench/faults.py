"""Scenarios with faults: a straggler, silent connections and upstreams that come and go."""

import json
import time
from collections.abc import Iterable, Sequence
from datetime import datetime

from bench import _board as board
from bench._driver import Offered
from bench._fleet import BoardFleet, Policies
from bench._results import Measure
from bench._run import goodput, measure_all, on_time_share

DURATION_S = 14.0
FAULT_S = 4.0
SETTLED_S = 6.0
SLOW_FACTOR = 5.0
NEVER_S = 99.0
SILENT_PART = 3
GAP_DEADLINE_S = 1.0
CHURN_S = (3.0, 8.0)


class _Straggler:
    """Slow one engine down and remember when."""

    def __init__(self) -> None:
        self._at = 0.0
        self._name = ""

    def order(self, fleet: BoardFleet) -> None:
        """Slow the first engine down."""
        engine = fleet.engines[0]
        self._name = engine.removeprefix("engine-")
        self._at = time.time()
        fleet.fleet.order(engine, "/standin/faults", {"slow_factor": SLOW_FACTOR})

    def found_after_s(self, fleet: BoardFleet) -> float:
        """Return after how many seconds the last entry that had used it found it."""
        found = [self._found_by(fleet, n + 1) for n in range(board.ENTRIES)]
        return max((after_s for after_s in found if after_s is not None), default=NEVER_S)

    def _found_by(self, fleet: BoardFleet, number: int) -> float | None:
        """Return after how many seconds one entry found it, or none if it had not used it."""
        used = False
        for line in fleet.fleet[f"entry-{number}"].log_lines():
            if "timestamp" not in line:
                continue
            at_s = datetime.fromisoformat(str(line["timestamp"])).timestamp() - self._at
            listed = json.dumps(line.get("upstreams"))
            if line.get("event") == "stragglers changed" and self._name in listed and at_s >= 0:
                return at_s
            ended = line.get("event") == "attempt ended" and line.get("upstream") == self._name
            used = used or (ended and at_s < 0)
        return NEVER_S if used else None


def straggler(seed: int) -> list[Measure]:
    """Let one engine take five times as long for its steps, with all of capacity offered."""
    fault = _Straggler()

    def judge(
        policies: Policies, offered: Sequence[Offered], fleet: BoardFleet
    ) -> Iterable[Measure]:
        others = 1 - 1 / board.MODEL_UPSTREAMS
        could = board.capacity() * board.ANSWER_TOKENS * others
        rate = goodput(offered, "", SETTLED_S, DURATION_S)
        name = "straggler"
        label = "goodput of what the others could carry"
        yield Measure(name, policies.name, label, rate / could, "share", ">= 0.9", seed)
        found_s = fault.found_after_s(fleet)
        yield Measure(name, policies.name, "found after", found_s, "s", "<= 2", seed)
        top = on_time_share(offered, board.TOP.name)
        yield Measure(name, policies.name, "top on time", top, "share", None, seed)

    scenario = board.make_scenario("straggler", board.steady_streams(1.0, DURATION_S), DURATION_S)
    return measure_all(scenario, seed, judge, [(FAULT_S, fault.order)])


def _silence(fleet: BoardFleet) -> None:
    """Make the open connections of a third of the engines go silent for good."""
    engines = fleet.engines
    for engine in engines[: len(engines) // SILENT_PART]:
        fleet.fleet.order(engine, "/standin/faults", {"silence": 1})


def silent(seed: int) -> list[Measure]:
    """Let the open connections of a third of the engines go silent."""

    def judge(
        policies: Policies, offered: Sequence[Offered], _fleet: BoardFleet
    ) -> Iterable[Measure]:
        models = [item for item in offered if item.arrival.stream.name != "jobs"]
        lost = sum(not item.sample.whole for item in models)
        before = [item.sample.first_byte_s for item in models if item.ended_s < FAULT_S]
        after = [i.sample.first_byte_s for i in models if i.sample.whole and i.ended_s >= FAULT_S]
        delay_s = max(after, default=NEVER_S) - max(before, default=0.0)
        name = "silent"
        yield Measure(name, policies.name, "answers lost", lost, "requests", "<= 0", seed)
        bound = f"<= {GAP_DEADLINE_S:g}"
        yield Measure(name, policies.name, "first token delayed", delay_s, "s", bound, seed)
        share = on_time_share(offered, "")
        yield Measure(name, policies.name, "all on time", share, "share", None, seed)

    scenario = board.make_scenario("silent", board.steady_streams(0.6, DURATION_S), DURATION_S)
    arguments = ("--gap-timeout-s", str(GAP_DEADLINE_S))
    return measure_all(scenario, seed, judge, [(FAULT_S, _silence)], agent_arguments=arguments)


def _replace_one(fleet: BoardFleet) -> None:
    """Kill an upstream with its agent, start another and declare it."""
    fleet.kill_model(fleet.engines[0].removeprefix("engine-"))
    fleet.start_model()
    fleet.declare()


def churn(seed: int) -> list[Measure]:
    """Kill and replace an upstream every five seconds."""

    def judge(
        policies: Policies, offered: Sequence[Offered], fleet: BoardFleet
    ) -> Iterable[Measure]:
        models = [item for item in offered if item.arrival.stream.name != "jobs"]
        failed = [item.sample for item in models if not item.sample.whole]
        begun = sum(sample.tokens > 0 for sample in failed)
        name = "churn"
        rows = {
            "failed before the first token": len(failed) - begun,
            "failed in the middle of the answer": begun,
            "wrong outcomes": _wrong_outcomes(offered, fleet),
        }
        for label, value in rows.items():
            yield Measure(name, policies.name, label, value, "requests", "<= 0", seed)
        share = on_time_share(offered, "")
        yield Measure(name, policies.name, "all on time", share, "share", None, seed)

    scenario = board.make_scenario("churn", board.steady_streams(0.6, DURATION_S), DURATION_S)
    return measure_all(scenario, seed, judge, [(at_s, _replace_one) for at_s in CHURN_S])


def _wrong_outcomes(offered: Sequence[Offered], fleet: BoardFleet) -> int:
    """Return how many requests were called not run though an engine ran them."""
    ran: set[str] = set()
    for engine in fleet.engines:
        records = fleet.fleet.ask(engine, "/standin/records")
        ran |= {attempt.rpartition(".")[0] for attempt in records}
    return sum(i.sample.outcome == "not_run" and i.sample.request_id in ran for i in offered)
