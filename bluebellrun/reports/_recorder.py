"""Bounded windows of service levels in the memory of one process.

Time is cut into spans of four widths, one for each window, and each request is counted in the
present span of each. A span holds only the priorities and customers that were seen in it.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from bluebellrun.reports._models import WINDOWS_S, Counts, Latency, Point, Row

SPANS = {300: 10, 3_600: 60, 21_600: 600, 259_200: 3_600}
SERIES_WINDOWS_S = (300, 3_600)
HISTOGRAM_SPAN_S = 600
HISTOGRAM_SPANS = 6
LONGEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_KEYS_IN_SPAN = 4_096
OTHER_CUSTOMERS = "(others)"


class Verdict(StrEnum):
    """How a request ended; each but the first burns the error budget."""

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"


VERDICTS = tuple(Verdict)


@dataclass(frozen=True, slots=True)
class Observation:
    """One request that has ended; durations in seconds."""

    urgency: int
    customer: str
    verdict: Verdict
    first_byte_s: float
    total_s: float


@dataclass(slots=True)
class _Span:
    """Counts of a span of time by urgency and customer, in the order of ``VERDICTS``."""

    start: int
    counts: dict[tuple[int, str], list[int]] = field(default_factory=dict)

    def add(self, urgency: int, customer: str, place: int) -> None:
        """Count one request."""
        key = (urgency, customer)
        if key not in self.counts and len(self.counts) >= MAX_KEYS_IN_SPAN:
            key = (urgency, OTHER_CUSTOMERS)
        self.counts.setdefault(key, [0] * len(VERDICTS))[place] += 1


@dataclass(slots=True)
class _LatencySpan:
    """Histograms of a span of time by urgency."""

    start: int
    first_byte: dict[int, HdrHistogram] = field(default_factory=dict)
    whole_answer: dict[int, HdrHistogram] = field(default_factory=dict)


class Recorder:
    """Count what became of requests; ``now`` is a Unix time that never goes back."""

    def __init__(self, now: float) -> None:
        self._started = now
        self._windows: dict[int, deque[_Span]] = {window: deque() for window in WINDOWS_S}
        self._latencies: deque[_LatencySpan] = deque()

    def memory_s(self, now: float) -> float:
        """Return for how long this process has counted, in seconds."""
        return max(0.0, now - self._started)

    def record(self, seen: Observation, now: float) -> None:
        """Count one request that has ended now in the spans in which it arrived."""
        place = VERDICTS.index(seen.verdict)
        for window_s in WINDOWS_S:
            span = self._span_at(window_s, now - seen.total_s, now)
            if span is not None:
                span.add(seen.urgency, seen.customer, place)
        if seen.verdict in (Verdict.GOOD, Verdict.LATE):
            latencies = self._present_latencies(now)
            _record(latencies.first_byte, seen.urgency, seen.first_byte_s)
            _record(latencies.whole_answer, seen.urgency, seen.total_s)

    def rows(self, now: float) -> list[Row]:
        """Return the counts of each window by priority and customer."""
        rows: list[Row] = []
        for window_s in WINDOWS_S:
            totals: dict[tuple[int, str], list[int]] = {}
            for span in self._live_spans(window_s, now):
                for key, counts in span.counts.items():
                    _accumulate(totals, key, counts)
            rows += [
                Row(window_s=window_s, urgency=key[0], customer=key[1], counts=_counts(counts))
                for key, counts in sorted(totals.items())
            ]
        return rows

    def series(self, now: float) -> list[Point]:
        """Return the counts of the short spans by priority, for the course of time."""
        points: list[Point] = []
        for window_s in SERIES_WINDOWS_S:
            for span in self._live_spans(window_s, now):
                totals: dict[tuple[int, str], list[int]] = {}
                for (urgency, _), counts in span.counts.items():
                    _accumulate(totals, (urgency, ""), counts)
                points += [
                    Point(
                        start=span.start,
                        width_s=SPANS[window_s],
                        urgency=urgency,
                        counts=_counts(counts),
                    )
                    for (urgency, _), counts in sorted(totals.items())
                ]
        return points

    def latencies(self, now: float) -> list[Latency]:
        """Return the histograms of the last hour by priority."""
        oldest = now - HISTOGRAM_SPAN_S * HISTOGRAM_SPANS
        first: dict[int, HdrHistogram] = {}
        whole: dict[int, HdrHistogram] = {}
        for span in self._latencies:
            if span.start + HISTOGRAM_SPAN_S > oldest:
                _merge(first, span.first_byte)
                _merge(whole, span.whole_answer)
        return [
            Latency(
                urgency=urgency,
                first_byte=first[urgency].encode().decode(),
                whole_answer=whole[urgency].encode().decode(),
            )
            for urgency in sorted(first)
        ]

    def _span_at(self, window_s: int, moment: float, now: float) -> _Span | None:
        """Return the span of a window that a moment falls into, dropping spans that are past."""
        spans, width = self._windows[window_s], SPANS[window_s]
        while spans and spans[0].start + width <= now - window_s:
            spans.popleft()
        start = int(moment // width) * width
        if start + width <= now - window_s:
            return None
        place = len(spans)
        while place and spans[place - 1].start > start:
            place -= 1
        if place and spans[place - 1].start == start:
            return spans[place - 1]
        span = _Span(start)
        spans.insert(place, span)
        return span

    def _live_spans(self, window_s: int, now: float) -> list[_Span]:
        """Return the spans of a window that are not past."""
        oldest = now - window_s
        return [span for span in self._windows[window_s] if span.start + SPANS[window_s] > oldest]

    def _present_latencies(self, now: float) -> _LatencySpan:
        """Return the histograms that a time falls into, dropping those that are past."""
        start = int(now // HISTOGRAM_SPAN_S) * HISTOGRAM_SPAN_S
        if not self._latencies or self._latencies[-1].start < start:
            self._latencies.append(_LatencySpan(start))
            while len(self._latencies) > HISTOGRAM_SPANS:
                self._latencies.popleft()
        return self._latencies[-1]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in milliseconds."""
    return HdrHistogram(1, LONGEST_MS, SIGNIFICANT_DIGITS)


def _record(histograms: dict[int, HdrHistogram], urgency: int, seconds: float) -> None:
    """Record a duration."""
    if urgency not in histograms:
        histograms[urgency] = new_histogram()
    histograms[urgency].record_value(min(LONGEST_MS, max(1, round(seconds * 1000))))


def _merge(into: dict[int, HdrHistogram], other: dict[int, HdrHistogram]) -> None:
    """Add histograms to others."""
    for urgency, histogram in other.items():
        if urgency not in into:
            into[urgency] = new_histogram()
        into[urgency].add(histogram)


def _accumulate(
    totals: dict[tuple[int, str], list[int]], key: tuple[int, str], counts: list[int]
) -> None:
    """Add counts to the totals of a key."""
    present = totals.setdefault(key, [0] * len(VERDICTS))
    for place, count in enumerate(counts):
        present[place] += count


def _counts(values: list[int]) -> Counts:
    """Return counts by name."""
    return Counts(**dict(zip((str(item) for item in VERDICTS), values, strict=True)))
