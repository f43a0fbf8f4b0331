"""Summaries of a run, one for each stream."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from bluebellrun.load._arrivals import Arrival
from bluebellrun.load._client import Sample

MICROSECONDS = 1_000_000
LONGEST_US = 600 * MICROSECONDS
SIGNIFICANT_DIGITS = 3
MAX_DETAILS = 5
PERCENTS = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 100.0)


@dataclass(frozen=True, slots=True)
class GroupSummary:
    """What became of one stream's requests; times in seconds, shares from 0 to 1.

    ``verified`` answers carried a digest that fits; ``wrong`` ones carried another.
    ``details`` counts the commonest reasons of what was not whole.
    ``first_byte_percentiles`` and ``total_percentiles`` go by percent, as text.
    """

    stream: str
    requests: int
    whole: int
    on_time: int
    tokens: int
    outcomes: dict[str, int]
    first_byte_p50_s: float
    first_byte_p95_s: float
    gap_p95_s: float
    verified: int = 0
    wrong: int = 0
    first_byte_percentiles: dict[str, float] = field(default_factory=dict)
    total_percentiles: dict[str, float] = field(default_factory=dict)
    details: dict[str, int] = field(default_factory=dict)

    @property
    def on_time_share(self) -> float:
        """Return the share of requests answered whole and on time."""
        return self.on_time / self.requests if self.requests else 1.0


def make_histogram(values: list[float]) -> HdrHistogram:
    """Return an HDR histogram in microseconds of values in seconds."""
    histogram = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(min(LONGEST_US, max(1, round(value * MICROSECONDS))))
    return histogram


def percentiles(values: list[float]) -> dict[str, float]:
    """Return percentiles of values in seconds; empty without values."""
    if not values:
        return {}
    histogram = make_histogram(values)
    return {
        f"{percent:g}": histogram.get_value_at_percentile(percent) / MICROSECONDS
        for percent in PERCENTS
    }


def _percentile(values: list[float], percent: float) -> float:
    """Return a percentile of values in seconds, 0 without values."""
    if not values:
        return 0.0
    return float(make_histogram(values).get_value_at_percentile(percent)) / MICROSECONDS


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
        verified=sum(sample.verified is True for _, sample in pairs),
        wrong=sum(sample.verified is False for _, sample in pairs),
        first_byte_percentiles=percentiles(first),
        total_percentiles=percentiles([sample.total_s for sample in whole]),
        details=_count_details([sample for _, sample in pairs if not sample.whole]),
    )


def _count_details(samples: list[Sample]) -> dict[str, int]:
    """Return the commonest reasons why requests were not answered whole."""
    return dict(Counter(sample.detail for sample in samples).most_common(MAX_DETAILS))
