"""The whole report, made from the snapshots of the processes that answered."""

from collections.abc import Sequence
from dataclasses import dataclass

from bluebellrun.reports._burn import (
    Coverage,
    CustomerBurn,
    ObjectiveBurn,
    Percentiles,
    burn_objective,
    find_worst_customers,
    measure_coverage,
    merge_latencies,
    merge_rows,
    merge_violations,
)
from bluebellrun.reports._measures import (
    FloodService,
    PriorityService,
    SizeService,
    Skew,
    find_floods,
    measure_floods,
    measure_priorities,
    measure_sizes,
    measure_skew,
    merge_series,
)
from bluebellrun.reports._models import ObjectiveReading, Point, Snapshot


@dataclass(frozen=True, slots=True)
class RebalancingCost:
    """What rebalancing a group has cost; ``activations`` counts the maps put in force."""

    group: str
    activations: int
    weights_moved_bytes: int


@dataclass(frozen=True, slots=True)
class Report:
    """Service levels of a fleet; ``missing`` names the processes that did not answer."""

    processes: tuple[str, ...]
    missing: tuple[str, ...]
    versions: tuple[int, ...]
    coverage: tuple[Coverage, ...]
    priority_names: dict[int, str]
    objectives: tuple[ObjectiveBurn, ...]
    worst_customers: tuple[CustomerBurn, ...]
    latencies: tuple[Percentiles, ...]
    skew: tuple[Skew, ...]
    rebalancing: tuple[RebalancingCost, ...]
    priorities: tuple[PriorityService, ...]
    floods: tuple[FloodService, ...]
    flood_starts: dict[int, tuple[int, ...]]
    sizes: SizeService | None
    series: tuple[Point, ...]
    violations: dict[str, int]

    def priority_name(self, urgency: int) -> str:
        """Return the declared name of an urgency number, or the number."""
        return self.priority_names.get(urgency, f"u={urgency}")


def make_report(
    snapshots: Sequence[Snapshot],
    missing: Sequence[str] = (),
    rebalancing: Sequence[RebalancingCost] = (),
) -> Report:
    """Return the report of a fleet; objectives are those of the newest configuration."""
    rows = merge_rows(snapshots)
    series = merge_series(snapshots)
    newest = max(snapshots, key=lambda item: item.version, default=None)
    objectives: list[ObjectiveReading] = [] if newest is None else list(newest.objectives)
    objectives.sort(key=lambda item: (item.urgency, item.customer))
    floods = find_floods(series)
    return Report(
        processes=tuple(sorted(item.process for item in snapshots)),
        missing=tuple(sorted(missing)),
        versions=tuple(sorted({item.version for item in snapshots})),
        coverage=tuple(measure_coverage(snapshots)),
        priority_names={} if newest is None else dict(newest.priorities),
        objectives=tuple(burn_objective(item, rows) for item in objectives),
        worst_customers=tuple(find_worst_customers(rows)),
        latencies=tuple(merge_latencies(snapshots)),
        skew=tuple(measure_skew(snapshots)),
        rebalancing=tuple(rebalancing),
        priorities=tuple(measure_priorities(rows)),
        floods=tuple(measure_floods(series)),
        flood_starts={key: tuple(sorted(value)) for key, value in floods.items()},
        sizes=measure_sizes(rows),
        series=tuple(series),
        violations=merge_violations(snapshots),
    )
