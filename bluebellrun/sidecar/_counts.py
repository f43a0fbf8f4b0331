"""Report a rank's counts as differences: complete ones take ten kilobytes, and links are slow.

The sidecar numbers its reports. A request names the number of the last report that it has.
"""

from operator import add, sub

import msgspec

COUNTS_PATH = "/counts"
COUNTS_KNOWN = "bluebellrun-counts-known"


class RankCountsReport(msgspec.Struct, array_like=True):
    """Numbered counts; with ``since``, only the differences from the report of that number."""

    number: int
    since: int
    epoch: int
    born: int
    step: int
    counts: list[int]


def counts_since(
    before: RankCountsReport | None, full: RankCountsReport, known: str
) -> RankCountsReport:
    """Return the differences from the report ``before`` if the caller has it, else all counts."""
    if before is None or known != str(before.number):
        return full
    same_incarnation = (before.epoch, before.born) == (full.epoch, full.born)
    if not same_incarnation or len(before.counts) != len(full.counts):
        return full
    added = list(map(sub, full.counts, before.counts))
    return RankCountsReport(full.number, before.number, full.epoch, full.born, full.step, added)


def complete_counts(report: RankCountsReport, known: tuple[int, ...] | None) -> tuple[int, ...]:
    """Return the complete counts of a report, given those of the previous report."""
    if report.since and known is not None:
        return tuple(map(add, known, report.counts))
    return tuple(report.counts)
