"""Merge what processes tell, and work out how fast error budgets burn."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bluebellrun.reports._models import WINDOWS_S, Counts, ObjectiveReading, Row, Snapshot
from bluebellrun.reports._recorder import new_histogram

WORST_CUSTOMERS = 10
LONGEST_WINDOW_S = WINDOWS_S[-1]
NOTHING_LOST = 0.999


@dataclass(frozen=True, slots=True)
class Coverage:
    """How much of a window the processes that answered remember, from 0 to 1."""

    window_s: int
    remembered: float
    short_of_memory: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Burn:
    """One objective in one window.

    A rate of 1 uses up the budget exactly over the objective's period; 0 uses none.
    """

    window_s: int
    requests: int
    on_time: float
    whole: float
    on_time_rate: float
    whole_rate: float


@dataclass(frozen=True, slots=True)
class ObjectiveBurn:
    """An objective in all windows; the budget left is from 1 downwards, below 0 when overspent."""

    objective: ObjectiveReading
    windows: tuple[Burn, ...]
    on_time_budget_left: float
    whole_budget_left: float
    reasons: Counts


@dataclass(frozen=True, slots=True)
class CustomerBurn:
    """What a customer's requests of one priority met with in the longest window."""

    customer: str
    urgency: int
    counts: Counts

    @property
    def bad(self) -> int:
        """Return how many requests were not whole and on time."""
        return self.counts.total - self.counts.good


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Latencies of a priority over the last hour, in seconds."""

    urgency: int
    first_byte_p50_s: float
    first_byte_p95_s: float
    whole_answer_p95_s: float


def merge_rows(snapshots: Iterable[Snapshot]) -> list[Row]:
    """Return the counts of all processes together."""
    totals: dict[tuple[int, int, str], Counts] = {}
    for snapshot in snapshots:
        for row in snapshot.rows:
            key = (row.window_s, row.urgency, row.customer)
            totals[key] = totals.get(key, Counts()).add(row.counts)
    return [
        Row(window_s=window, urgency=urgency, customer=customer, counts=counts)
        for (window, urgency, customer), counts in sorted(totals.items())
    ]


def measure_coverage(snapshots: Sequence[Snapshot]) -> list[Coverage]:
    """Return how much of each window is remembered."""
    return [_coverage(snapshots, window_s) for window_s in WINDOWS_S]


def _coverage(snapshots: Sequence[Snapshot], window_s: int) -> Coverage:
    """Return how much of one window is remembered."""
    shares = {item.process: min(1.0, item.memory_s / window_s) for item in snapshots}
    short = tuple(sorted(name for name, share in shares.items() if share < NOTHING_LOST))
    mean = sum(shares.values()) / len(shares) if shares else 0.0
    return Coverage(window_s, mean, short)


def burn_objective(objective: ObjectiveReading, rows: Iterable[Row]) -> ObjectiveBurn:
    """Return how an objective's budget burns."""
    counts = {window_s: Counts() for window_s in WINDOWS_S}
    for row in rows:
        fits = not objective.customer or row.customer == objective.customer
        if fits and row.urgency == objective.urgency:
            counts[row.window_s] = counts[row.window_s].add(row.counts)
    windows = tuple(_burn(objective, window_s, counts[window_s]) for window_s in WINDOWS_S)
    longest = windows[-1]
    return ObjectiveBurn(
        objective=objective,
        windows=windows,
        on_time_budget_left=1 - longest.on_time_rate,
        whole_budget_left=1 - longest.whole_rate,
        reasons=counts[LONGEST_WINDOW_S],
    )


def _burn(objective: ObjectiveReading, window_s: int, counts: Counts) -> Burn:
    """Return how fast an objective's budget burns in one window."""
    total = counts.total
    on_time = counts.good / total if total else 1.0
    whole = counts.whole / total if total else 1.0
    return Burn(
        window_s=window_s,
        requests=total,
        on_time=on_time,
        whole=whole,
        on_time_rate=(1 - on_time) / (1 - objective.on_time),
        whole_rate=(1 - whole) / (1 - objective.whole),
    )


def find_worst_customers(rows: Iterable[Row]) -> list[CustomerBurn]:
    """Return the customers that met with the most bad requests, the worst first."""
    found = [
        CustomerBurn(row.customer, row.urgency, row.counts)
        for row in rows
        if row.window_s == LONGEST_WINDOW_S
    ]
    bad = [item for item in found if item.bad]
    return sorted(bad, key=lambda item: (-item.bad, item.urgency, item.customer))[:WORST_CUSTOMERS]


def merge_latencies(snapshots: Iterable[Snapshot]) -> list[Percentiles]:
    """Return the latencies of all processes together, by priority."""
    first: dict[int, HdrHistogram] = {}
    whole: dict[int, HdrHistogram] = {}
    for snapshot in snapshots:
        for item in snapshot.latencies:
            first.setdefault(item.urgency, new_histogram())
            whole.setdefault(item.urgency, new_histogram())
            first[item.urgency].decode_and_add(item.first_byte)
            whole[item.urgency].decode_and_add(item.whole_answer)
    return [
        Percentiles(
            urgency=urgency,
            first_byte_p50_s=first[urgency].get_value_at_percentile(50) / 1000,
            first_byte_p95_s=first[urgency].get_value_at_percentile(95) / 1000,
            whole_answer_p95_s=whole[urgency].get_value_at_percentile(95) / 1000,
        )
        for urgency in sorted(first)
    ]


def merge_violations(snapshots: Iterable[Snapshot]) -> dict[str, int]:
    """Return how often each runtime invariant was violated, over all processes."""
    total: Counter[str] = Counter()
    for snapshot in snapshots:
        total.update(snapshot.violations)
    return dict(total)
