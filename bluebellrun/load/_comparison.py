"""Runs kept in files, and the difference between two of them."""

import json
import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from enum import StrEnum
from pathlib import Path

from pydantic import TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as validated_dataclass

from bluebellrun.load._results import GroupSummary

CONFIDENCE_Z = 1.96


class Change(StrEnum):
    """How a stream's on-time share in one run compares with that in another."""

    BETTER = "better"
    SAME = "no clear difference"
    WORSE = "worse"


@validated_dataclass(frozen=True)
class Run:
    """A run of a scenario with a seed, and what became of each stream."""

    scenario: str
    seed: int
    summaries: list[GroupSummary]


@dataclass(frozen=True, slots=True)
class StreamComparison:
    """One stream in two runs; ``difference`` is that of the on-time shares, newer less older.

    ``margin`` is the half-width of its 95% interval.
    """

    stream: str
    older: GroupSummary
    newer: GroupSummary
    difference: float
    margin: float

    @property
    def change(self) -> Change:
        """Return whether the newer run is better beyond chance."""
        if abs(self.difference) <= self.margin:
            return Change.SAME
        return Change.BETTER if self.difference > 0 else Change.WORSE


def save_run(run: Run, path: Path) -> None:
    """Write a run as JSON."""
    path.write_text(json.dumps(asdict(run), indent=1) + "\n", encoding="utf-8")


def load_run(path: Path) -> Run:
    """Read a run; raise ``ValueError`` that names the file and the bad value."""
    try:
        return TypeAdapter(Run).validate_json(path.read_bytes())
    except ValidationError as error:
        raise ValueError(f"{path}: {error}; write one with --save") from error


def compare_runs(older: Run, newer: Run) -> list[StreamComparison]:
    """Return the difference of each stream that both runs have, in order of name."""
    before = {item.stream: item for item in older.summaries}
    after = {item.stream: item for item in newer.summaries}
    return [_compare(before[name], after[name]) for name in sorted(before.keys() & after.keys())]


def missing_streams(older: Run, newer: Run) -> list[str]:
    """Return the streams that only one of two runs has."""
    names = ({item.stream for item in run.summaries} for run in (older, newer))
    first, second = names
    return sorted(first ^ second)


def _compare(older: GroupSummary, newer: GroupSummary) -> StreamComparison:
    """Return the difference of one stream."""
    variance = _variance(older) + _variance(newer)
    return StreamComparison(
        stream=older.stream,
        older=older,
        newer=newer,
        difference=newer.on_time_share - older.on_time_share,
        margin=CONFIDENCE_Z * math.sqrt(variance),
    )


def _variance(summary: GroupSummary) -> float:
    """Return the variance of a stream's on-time share, never taken for zero by chance."""
    count = summary.requests + 2
    share = (summary.on_time + 1) / count
    return share * (1 - share) / count


def widest_difference(comparisons: Sequence[StreamComparison]) -> float:
    """Return the largest loss of on-time share beyond chance, 0 when nothing is worse."""
    return max((-c.difference for c in comparisons if c.change is Change.WORSE), default=0.0)
