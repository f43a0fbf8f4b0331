"""Tell a rank's counts as differences: whole ones are ten kilobytes, and links are slow.

The process beside an engine numbers what it tells. Who asks names the number that it knows.
"""

from operator import add, sub

import msgspec

COUNTS_PATH = "/counts"
COUNTS_KNOWN = "bluebellrun-counts-known"


class RankCountsReport(msgspec.Struct, array_like=True):
    """Counts with a number to name them by later; with ``since`` only what was added to those."""

    number: int
    since: int
    epoch: int
    born: int
    step: int
    counts: list[int]


def counts_since(
    before: RankCountsReport | None, whole: RankCountsReport, known: str
) -> RankCountsReport:
    """Return only what was added to counts told before, if the asker knows those."""
    if before is None or known != str(before.number):
        return whole
    same_life = (before.epoch, before.born) == (whole.epoch, whole.born)
    if not same_life or len(before.counts) != len(whole.counts):
        return whole
    added = list(map(sub, whole.counts, before.counts))
    return RankCountsReport(whole.number, before.number, whole.epoch, whole.born, whole.step, added)


def complete_counts(told: RankCountsReport, known: tuple[int, ...] | None) -> tuple[int, ...]:
    """Return the counts that were told, by those that are known."""
    if told.since and known is not None:
        return tuple(map(add, known, told.counts))
    return tuple(told.counts)
