"""Compare what callers were told with what the stand-ins counted."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from bench.soak._records import Diary, Kind, Told, Window
from standins.fleet import LocalFleet

UNKNOWN = frozenset({"unknown", "cut", "silent"})
RAN = frozenset({"ran", "already_ran"})


@dataclass(slots=True)
class Truth:
    """What the stand-ins say ran: by key, by request id, and engines' records by request id."""

    runs_by_key: Counter[str] = field(default_factory=Counter)
    runs_by_request: Counter[str] = field(default_factory=Counter)
    records: dict[str, list[dict[str, object]]] = field(default_factory=lambda: defaultdict(list))


def read_truth(fleet: LocalFleet, plains: list[str], engines: list[str]) -> Truth:
    """Read the stand-ins' counts; an attempt's id is its request's id, a dot and a number."""
    truth = Truth()
    for name in plains:
        counts = fleet.ask(name, "/standin/counts")
        truth.runs_by_key.update(_counter(counts["by_key"]))
        for attempt, runs in _counter(counts["by_request"]).items():
            truth.runs_by_request[attempt.rpartition(".")[0]] += runs
    for name in engines:
        for attempt, record in fleet.ask(name, "/standin/records").items():
            assert isinstance(record, dict)
            truth.records[attempt.rpartition(".")[0]].append(record)
    return truth


def _counter(counts: object) -> Counter[str]:
    """Return counts from JSON."""
    assert isinstance(counts, dict)
    return Counter({str(name): int(count) for name, count in counts.items()})


def find_violations(diary: Diary, truth: Truth) -> list[str]:
    """Return each broken promise in one line."""
    found = [f"key {key} ran {n} times" for key, n in truth.runs_by_key.items() if n > 1]
    found += [f"order {key} ran {n} times" for key, n in truth.runs_by_request.items() if n > 1]
    by_key: dict[str, list[Told]] = defaultdict(list)
    for told in diary.told:
        found += _check_one(told, truth)
        if told.key:
            by_key[told.key].append(told)
    for key, answers in by_key.items():
        found += _check_key(key, answers, truth.runs_by_key[key])
    return found


def _check_one(told: Told, truth: Truth) -> list[str]:
    """Check one answer by its request id."""
    what = f"{told.kind} {told.request_id} ({told.detail})"
    if told.outcome == "malformed":
        return [f"{what} was answered with {told.status} and no outcome"]
    if told.kind in (Kind.ORDER, Kind.KEYED_ORDER):
        runs = truth.runs_by_request[told.request_id] if told.request_id else 0
        if told.outcome == "not_run" and runs:
            return [f"{what} was told not_run and ran"]
        if told.outcome == "ran" and not runs and not told.replayed:
            return [f"{what} was told ran and did not run"]
        return []
    records = truth.records.get(told.request_id, []) if told.request_id else []
    if told.outcome == "not_run" and records:
        return [f"{what} was told not_run and ran"]
    if told.outcome == "ran" and told.digest not in {record["sha256"] for record in records}:
        return [f"{what} has an answer that is not the engine's"]
    return []


def _check_key(key: str, answers: list[Told], runs: int) -> list[str]:
    """Check all answers to one key together."""
    outcomes = {told.outcome for told in answers}
    if outcomes & RAN and runs != 1:
        return [f"key {key} was told {outcomes} and ran {runs} times"]
    if outcomes == {"not_run"} and runs:
        return [f"key {key} was told only not_run and ran {runs} times"]
    bodies = {told.digest for told in answers if told.outcome == "ran"}
    if len(bodies) > 1:
        return [f"key {key} was answered in {len(bodies)} ways"]
    return []


def unknown_share(diary: Diary, windows: list[Window]) -> tuple[list[Told], int]:
    """Return the unknown answers outside the moments of kills, and how many there were in all.

    A key whose run was cut by a kill stays unknown afterwards, so its later answers are left out.
    """
    struck = {t.key for t in diary.told if t.key and any(w.overlaps(t) for w in windows)}
    outside = [
        told
        for told in diary.told
        if told.key not in struck and not any(window.overlaps(told) for window in windows)
    ]
    return [told for told in outside if told.outcome in UNKNOWN], len(outside)
