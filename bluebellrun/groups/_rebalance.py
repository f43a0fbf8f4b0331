"""Decide when a group's expert map is replanned, and how many weights may move."""

from collections import deque
from collections.abc import Generator
from dataclasses import dataclass, field, replace

import numpy as np

from bluebellrun.groups._expert_map import ExpertMap, FloatArray, rank_loads
from bluebellrun.groups._models import GroupShape
from bluebellrun.groups._planner import MapPlan, PlannerSettings, RankConditions, plan_in_steps
from bluebellrun.groups._popularity import (
    ExpertReport,
    PopularityEstimator,
    PopularitySettings,
)
from bluebellrun.groups._stragglers import (
    StragglerDetector,
    StragglerSettings,
    group_weight,
)

SECONDS_PER_HOUR = 3_600.0
LIMIT_REACHED_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class RebalanceSettings:
    """When to plan and how much to move.

    A regular plan is made every ``interval_s``. When the skew reaches ``urgent_skew`` or the
    stragglers change, an urgent plan is made sooner, but at least ``urgent_interval_s`` after the
    last plan. Regular plans move at most ``hourly_share`` of the group's weights in an hour,
    counted in windows of ``window_s``, and leave a layer alone below ``regular_target_skew``. An
    urgent plan is bound only by the planner's own limit, and more plans follow until one stays
    below that limit. A drained straggler is used again after ``probation_s``, which doubles
    each time.
    """

    planner: PlannerSettings = field(default_factory=PlannerSettings)
    popularity: PopularitySettings = field(default_factory=PopularitySettings)
    stragglers: StragglerSettings = field(default_factory=StragglerSettings)
    interval_s: float = 60.0
    urgent_interval_s: float = 5.0
    urgent_skew: float = 1.25
    regular_target_skew: float = 1.05
    hourly_share: float = 0.05
    window_s: float = 1_200.0
    probation_s: float = 900.0


class Rebalancer:
    """Track one group's expert load, stragglers and moved weights, and plan its next map."""

    def __init__(
        self, shape: GroupShape, settings: RebalanceSettings, domains: tuple[str, ...] = ()
    ) -> None:
        self._shape = shape
        self._settings = settings
        self._domains = domains
        self._popularity = PopularityEstimator(shape, settings.popularity)
        self._stragglers = StragglerDetector(shape.ranks, settings.stragglers)
        self._recent_moves: deque[tuple[float, int]] = deque()
        self._planned_at = float("-inf")
        self._drained: tuple[int, ...] = ()
        self._urgent_pending = False
        self._drained_since: dict[int, float] = {}
        self._probations: dict[int, float] = {}
        self._times: FloatArray | None = None

    @property
    def weight(self) -> float:
        """Return the group's weight in routing, which reflects a straggler at once."""
        if self._times is None:
            return 1.0
        return group_weight(self._times, self._stragglers.stragglers)

    @property
    def stragglers(self) -> tuple[int, ...]:
        """Return the ranks that are slow for a reason other than their load."""
        return self._stragglers.stragglers

    def observe_report(self, report: ExpertReport) -> None:
        """Add a report of the tokens routed to each expert."""
        self._popularity.observe(report)

    def observe_times(self, times: FloatArray, loads: FloatArray) -> None:
        """Record each rank's own time in a step, in seconds, and its tokens."""
        self._stragglers.observe(times, loads)
        self._times = np.nan_to_num(times)

    def skew(self, current: ExpertMap) -> float:
        """Return the estimated skew of a map as if all ranks were equally fast."""
        load = self._popularity.load()
        maximum = mean = 0.0
        for layer in range(self._shape.layers):
            loads = rank_loads(current.placement[layer], load[layer])
            maximum += float(loads.max())
            mean += float(loads.mean())
        return maximum / mean if mean > 0 else 1.0

    def request_plan(self) -> None:
        """Make the next plan an urgent one, as requested by an operator."""
        self._urgent_pending = True

    def is_urgent(self, current: ExpertMap) -> bool:
        """Return whether a plan is needed before the regular interval is over."""
        changed = self._stragglers.stragglers != self._drained
        return changed or self.skew(current) >= self._settings.urgent_skew

    def is_due(self, now: float, current: ExpertMap) -> bool:
        """Return whether a plan is due now."""
        if not self._popularity.ready:
            return False
        self._end_probations(now)
        elapsed_s = now - self._planned_at
        if self._urgent_pending:
            return elapsed_s >= self._settings.urgent_interval_s
        if elapsed_s >= self._settings.interval_s:
            return True
        return elapsed_s >= self._settings.urgent_interval_s and self.is_urgent(current)

    def plan(self, now: float, current: ExpertMap) -> Generator[None, None, MapPlan]:
        """Plan in short steps, yielding between them; return the plan."""
        urgent = self._urgent_pending or self.is_urgent(current)
        self._planned_at = now
        drained = self._stragglers.stragglers
        conditions = RankConditions(np.ones(self._shape.ranks), drained, self._domains)
        planner = self._settings.planner
        if not urgent:
            planner = self._regular_settings(planner, now)
        result = yield from plan_in_steps(current, self._popularity.load(), conditions, planner)
        self._drained = drained
        self._urgent_pending = (
            urgent and result.weights >= LIMIT_REACHED_SHARE * planner.max_weights
        )
        if result.expert_map is not None and not urgent:
            self._recent_moves.append((now, result.weights))
        return result

    def _end_probations(self, now: float) -> None:
        """Clear drained ranks after their probation; one that is still slow is detected at once."""
        for rank in self._drained:
            drained_at = self._drained_since.setdefault(rank, now)
            probation_s = self._probations.get(rank, self._settings.probation_s)
            if rank in self._stragglers.stragglers and now - drained_at >= probation_s:
                self._probations[rank] = 2 * probation_s
                self._stragglers.forget(rank)
        for rank in set(self._drained_since) - set(self._stragglers.stragglers):
            del self._drained_since[rank]

    def _regular_settings(self, planner: PlannerSettings, now: float) -> PlannerSettings:
        """Return the planner's settings for a regular plan, within what the window still allows."""
        window_s = self._settings.window_s
        while self._recent_moves and self._recent_moves[0][0] <= now - window_s:
            self._recent_moves.popleft()
        moved = sum(weights for _, weights in self._recent_moves)
        allowed = int(
            self._shape.weights * self._settings.hourly_share * window_s / SECONDS_PER_HOUR
        )
        return replace(
            planner,
            target_skew=self._settings.regular_target_skew,
            max_weights=max(0, min(planner.max_weights, allowed - moved)),
        )
