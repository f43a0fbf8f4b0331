"""The four measures: step-time skew, service by priority, work kept in floods, small callers."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import fmean, median

from bluebellrun.reports._models import WINDOWS_S, Counts, Point, Row, Snapshot

FLOOD_FACTOR = 2.0
FLOOD_SHARE = 0.5
FLOOD_REQUESTS = 20
LARGE_FACTOR = 2.0
MIN_SPANS = 3


@dataclass(frozen=True, slots=True)
class Skew:
    """Step times of the ranks of a group, or of a service's upstreams where it has no groups.

    ``skew`` is the slowest over the mean; ``idle_share`` is the time that the others wait.
    """

    group: str
    ranks: int
    slowest: str
    slowest_s: float
    mean_s: float

    @property
    def skew(self) -> float:
        """Return the slowest step time over the mean."""
        return self.slowest_s / self.mean_s

    @property
    def idle_share(self) -> float:
        """Return the share of the group's time that goes in waiting for the slowest."""
        return 1 - self.mean_s / self.slowest_s


@dataclass(frozen=True, slots=True)
class PriorityService:
    """The service of one priority in the longest window."""

    urgency: int
    counts: Counts

    @property
    def on_time(self) -> float:
        """Return the share answered whole and on time."""
        return self.counts.good / self.counts.total if self.counts.total else 1.0


@dataclass(frozen=True, slots=True)
class FloodService:
    """What one priority kept while another flooded.

    Shares are of requests whole and on time; ``kept`` is the share inside the flood over that
    outside it.
    """

    flooding: int
    urgency: int
    spans: int
    on_time_outside: float
    on_time_inside: float
    kept: float


@dataclass(frozen=True, slots=True)
class SizeService:
    """How large and small customers fared."""

    large: tuple[str, ...]
    small: tuple[str, ...]
    large_on_time: float
    small_on_time: float


def measure_skew(snapshots: Iterable[Snapshot]) -> list[Skew]:
    """Return the skew of each group or service that has at least two step times."""
    steps: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    for snapshot in snapshots:
        for item in snapshot.upstreams:
            if item.step_s > 0:
                steps[item.group or item.service][item.name].append(item.step_s)
    found = []
    for group, by_name in sorted(steps.items()):
        means = {name: fmean(values) for name, values in by_name.items()}
        if len(means) < 2:
            continue
        slowest = max(means, key=lambda name: means[name])
        found.append(Skew(group, len(means), slowest, means[slowest], fmean(means.values())))
    return found


def measure_priorities(rows: Iterable[Row]) -> list[PriorityService]:
    """Return the service of each priority, the most urgent first."""
    totals: dict[int, Counts] = {}
    for row in rows:
        if row.window_s == WINDOWS_S[-1]:
            totals[row.urgency] = totals.get(row.urgency, Counts()).add(row.counts)
    return [PriorityService(urgency, counts) for urgency, counts in sorted(totals.items())]


def merge_series(snapshots: Iterable[Snapshot]) -> list[Point]:
    """Return the course of time over all processes, in the finest spans that reach far enough.

    The spans of ten seconds are taken while all processes are younger than their window.
    """
    listed = list(snapshots)
    youngest_window = max((item.memory_s for item in listed), default=0.0) <= WINDOWS_S[0]
    width_s = 10 if youngest_window else 60
    totals: dict[tuple[int, int], Counts] = {}
    for snapshot in listed:
        for point in snapshot.series:
            if point.width_s == width_s:
                key = (point.start, point.urgency)
                totals[key] = totals.get(key, Counts()).add(point.counts)
    return [
        Point(start=start, width_s=width_s, urgency=urgency, counts=counts)
        for (start, urgency), counts in sorted(totals.items())
    ]


def find_floods(series: Sequence[Point]) -> dict[int, set[int]]:
    """Return for each urgency the starts of spans that it flooded.

    It then asked for over twice its median and for over half of all requests, and for enough of
    them to mean something.
    """
    asked: dict[int, dict[int, int]] = defaultdict(dict)
    everything: dict[int, int] = defaultdict(int)
    for point in series:
        asked[point.urgency][point.start] = point.counts.total
        everything[point.start] += point.counts.total
    if len(everything) < MIN_SPANS:
        return {}
    floods: dict[int, set[int]] = {}
    for urgency, counts in sorted(asked.items()):
        usual = median(counts.get(start, 0) for start in everything)
        least = max(FLOOD_REQUESTS, FLOOD_FACTOR * usual)
        flooded = {
            start
            for start, count in counts.items()
            if count > least and count > FLOOD_SHARE * everything[start]
        }
        if flooded:
            floods[urgency] = flooded
    return floods


def measure_floods(series: Sequence[Point]) -> list[FloodService]:
    """Return what each priority kept while another flooded."""
    found = []
    starts = {point.start for point in series}
    for flooding, inside in find_floods(series).items():
        outside = starts - inside
        for urgency in sorted({point.urgency for point in series} - {flooding}):
            own = [point for point in series if point.urgency == urgency]
            kept = _kept(own, inside, outside)
            if kept is not None:
                found.append(FloodService(flooding, urgency, len(inside), *kept))
    return found


def _kept(
    points: list[Point], inside: set[int], outside: set[int]
) -> tuple[float, float, float] | None:
    """Return the on-time share outside and inside a flood and the part of it kept."""
    calm = _sum(point for point in points if point.start in outside)
    flood = _sum(point for point in points if point.start in inside)
    if not calm.total or not flood.total:
        return None
    calm_share, flood_share = calm.good / calm.total, flood.good / flood.total
    return calm_share, flood_share, flood_share / calm_share if calm_share else 1.0


def _sum(points: Iterable[Point]) -> Counts:
    """Return the counts of points together."""
    total = Counts()
    for point in points:
        total = total.add(point.counts)
    return total


def measure_sizes(rows: Iterable[Row]) -> SizeService | None:
    """Return how customers that ask for over twice the mean fare beside the others."""
    totals: dict[str, Counts] = {}
    for row in rows:
        if row.window_s == WINDOWS_S[-1]:
            totals[row.customer] = totals.get(row.customer, Counts()).add(row.counts)
    if not totals:
        return None
    mean = fmean(counts.total for counts in totals.values())
    large = {name for name, counts in totals.items() if counts.total > LARGE_FACTOR * mean}
    small = set(totals) - large
    if not large or not small:
        return None
    return SizeService(
        large=tuple(sorted(large)),
        small=tuple(sorted(small)),
        large_on_time=_mean_on_time(totals, large),
        small_on_time=_mean_on_time(totals, small),
    )


def _mean_on_time(totals: dict[str, Counts], names: set[str]) -> float:
    """Return the mean of customers' on-time shares, each customer counting once."""
    return fmean(totals[name].good / totals[name].total for name in names if totals[name].total)
