"""Bounded windows of service levels in the memory of one process.

Time is cut into spans of four widths, one for each window, and each request is counted in the
present span of each. A span holds only the priorities and customers that were seen in it.
"""

from collections import deque
from collections.abc import Iterator
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
MAX_KEYS_SHARED = 4 * MAX_KEYS_IN_SPAN
ROWS_IN_PART = 256
COUNT_BITS = 40
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
    """Counts of a span of time by urgency and customer.

    The counts of all verdicts of a pair stand in one integer, ``COUNT_BITS`` for each in the
    order of ``VERDICTS``: one addition merges them, and the garbage collector has nothing to do.
    """

    start: int
    counts: dict[tuple[int, str], int] = field(default_factory=dict)

    def add(self, key: tuple[int, str], place: int) -> None:
        """Count one request of an urgency and customer."""
        if key not in self.counts and len(self.counts) >= MAX_KEYS_IN_SPAN:
            key = (key[0], OTHER_CUSTOMERS)
        self.counts[key] = self.counts.get(key, 0) + (1 << COUNT_BITS * place)


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
        self._keys: dict[tuple[int, str], tuple[int, str]] = {}

    def memory_s(self, now: float) -> float:
        """Return for how long this process has counted, in seconds."""
        return max(0.0, now - self._started)

    def record(self, seen: Observation, now: float) -> None:
        """Count one request that has ended now in the spans in which it arrived."""
        place = VERDICTS.index(seen.verdict)
        key = self._share_key((seen.urgency, seen.customer))
        for window_s in WINDOWS_S:
            span = self._span_at(window_s, now - seen.total_s, now)
            if span is not None:
                span.add(key, place)
        if seen.verdict in (Verdict.GOOD, Verdict.LATE):
            latencies = self._present_latencies(now)
            _record(latencies.first_byte, seen.urgency, seen.first_byte_s)
            _record(latencies.whole_answer, seen.urgency, seen.total_s)

    def rows(self, now: float) -> list[Row]:
        """Return the counts of each window by priority and customer."""
        return [row for part in self.row_parts(now) for row in part]

    def row_parts(self, now: float) -> Iterator[list[Row]]:
        """Return the same in small parts, some of them empty.

        Between two parts the caller may let other tasks run, which may record requests.
        """
        for window_s in WINDOWS_S:
            totals: dict[tuple[int, str], int] = {}
            for span in self._live_spans(window_s, now):
                for key, counts in span.counts.items():
                    _accumulate(totals, key, counts)
                yield []
            listed = sorted(totals.items())
            for first in range(0, len(listed), ROWS_IN_PART):
                yield [
                    Row(window_s=window_s, urgency=key[0], customer=key[1], counts=_counts(counts))
                    for key, counts in listed[first : first + ROWS_IN_PART]
                ]

    def series(self, now: float) -> list[Point]:
        """Return the counts of the short spans by priority, for the course of time."""
        points: list[Point] = []
        for window_s in SERIES_WINDOWS_S:
            for span in self._live_spans(window_s, now):
                totals: dict[tuple[int, str], int] = {}
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

    def _share_key(self, key: tuple[int, str]) -> tuple[int, str]:
        """Return one object for equal keys, so that spans do not hold copies."""
        if len(self._keys) >= MAX_KEYS_SHARED:
            self._keys.clear()
        return self._keys.setdefault(key, key)

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


def _accumulate(totals: dict[tuple[int, str], int], key: tuple[int, str], counts: int) -> None:
    """Add counts to the totals of a key."""
    totals[key] = totals.get(key, 0) + counts


def _counts(packed: int) -> Counts:
    """Return counts by name."""
    mask = (1 << COUNT_BITS) - 1
    values = {
        str(verdict): (packed >> COUNT_BITS * place) & mask
        for place, verdict in enumerate(VERDICTS)
    }
    return Counts(**values)
