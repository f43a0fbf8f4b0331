"""Summaries of a run, one for each stream."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bluebellrun.load._arrivals import Arrival
from bluebellrun.load._client import Sample

MICROSECONDS = 1_000_000
LONGEST_US = 600 * MICROSECONDS


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """What became of one stream's requests; times in seconds, shares from 0 to 1."""

    stream: str
    requests: int
    whole: int
    on_time: int
    tokens: int
    outcomes: dict[str, int]
    first_byte_p50_s: float
    first_byte_p95_s: float
    gap_p95_s: float

    @property
    def on_time_share(self) -> float:
        """Return the share of requests answered whole and on time."""
        return self.on_time / self.requests if self.requests else 1.0


def _percentile(values: list[float], percent: float) -> float:
    """Return a percentile of values in seconds by an HDR histogram."""
    if not values:
        return 0.0
    histogram = HdrHistogram(1, LONGEST_US, 3)
    for value in values:
        histogram.record_value(max(1, round(value * MICROSECONDS)))
    return float(histogram.get_value_at_percentile(percent)) / MICROSECONDS


def summarize(arrivals: list[Arrival], samples: list[Sample]) -> list[GroupSummary]:
    """Return a summary for each stream, in order of name."""
    groups: dict[str, list[tuple[Arrival, Sample]]] = {}
    for arrival, sample in zip(arrivals, samples, strict=True):
        groups.setdefault(sample.stream, []).append((arrival, sample))
    return [_summarize(name, pairs) for name, pairs in sorted(groups.items())]


def _summarize(name: str, pairs: list[tuple[Arrival, Sample]]) -> GroupSummary:
    """Return the summary of one stream."""
    whole = [sample for _, sample in pairs if sample.whole]
    first = [sample.first_byte_s for sample in whole]
    gaps = [gap for sample in whole for gap in sample.gaps]
    return GroupSummary(
        stream=name,
        requests=len(pairs),
        whole=len(whole),
        on_time=sum(sample.on_time(arrival) for arrival, sample in pairs),
        tokens=sum(sample.tokens for sample in whole),
        outcomes=dict(Counter(sample.outcome for _, sample in pairs)),
        first_byte_p50_s=_percentile(first, 50),
        first_byte_p95_s=_percentile(first, 95),
        gap_p95_s=_percentile(gaps, 95),
    )
