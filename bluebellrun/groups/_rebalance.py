"""Decide when a group's map is planned anew, and how much may move."""

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

HOUR_S = 3_600.0
FULL_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class RebalanceSettings:
    """When to plan and how much to move.

    A plan is made each ``interval_s``; sooner, but not within ``urgent_interval_s``, when the
    skew reaches ``urgent_skew`` or the stragglers change. In calm times at most ``hourly_share``
    of the group's weights move in an hour, counted in windows of ``window_s``; an urgent plan is
    bound by the planner's own limit only, and followed by more until one is not cut short by it.
    A straggler that was emptied is tried again after ``probation_s``, twice as long each time.
    In calm times a layer is left alone below ``calm_skew``.
    """

    planner: PlannerSettings = field(default_factory=PlannerSettings)
    popularity: PopularitySettings = field(default_factory=PopularitySettings)
    stragglers: StragglerSettings = field(default_factory=StragglerSettings)
    interval_s: float = 60.0
    urgent_interval_s: float = 5.0
    urgent_skew: float = 1.25
    calm_skew: float = 1.05
    hourly_share: float = 0.05
    window_s: float = 1_200.0
    probation_s: float = 900.0


class Rebalancer:
    """Follow one group: its experts' load, its ranks' condition and what has moved."""

    def __init__(
        self, shape: GroupShape, settings: RebalanceSettings, domains: tuple[str, ...] = ()
    ) -> None:
        self._shape = shape
        self._settings = settings
        self._domains = domains
        self._popularity = PopularityEstimator(shape, settings.popularity)
        self._stragglers = StragglerDetector(shape.ranks, settings.stragglers)
        self._moved: deque[tuple[float, int]] = deque()
        self._planned_at = float("-inf")
        self._closed: tuple[int, ...] = ()
        self._unfinished = False
        self._closed_since: dict[int, float] = {}
        self._probations: dict[int, float] = {}
        self._times: FloatArray | None = None

    @property
    def weight(self) -> float:
        """Return the group's weight in routing, which follows a straggler at once."""
        if self._times is None:
            return 1.0
        return group_weight(self._times, self._stragglers.stragglers)

    @property
    def stragglers(self) -> tuple[int, ...]:
        """Return the ranks that are slow themselves."""
        return self._stragglers.stragglers

    def observe_report(self, report: ExpertReport) -> None:
        """Take a report of experts' tokens."""
        self._popularity.observe(report)

    def observe_times(self, times: FloatArray, loads: FloatArray) -> None:
        """Take each rank's own time in a step, in s, and its tokens."""
        self._stragglers.observe(times, loads)
        self._times = np.nan_to_num(times)

    def skew(self, current: ExpertMap) -> float:
        """Return the estimated skew of a map, without regard to slow ranks."""
        load = self._popularity.load()
        longest = mean = 0.0
        for layer in range(self._shape.layers):
            loads = rank_loads(current.placement[layer], load[layer])
            longest += float(loads.max())
            mean += float(loads.mean())
        return longest / mean if mean > 0 else 1.0

    def request_plan(self) -> None:
        """Plan soon and without the bound of calm times, as an operator asked."""
        self._unfinished = True

    def is_urgent(self, current: ExpertMap) -> bool:
        """Return whether a plan is wanted before its regular time."""
        changed = self._stragglers.stragglers != self._closed
        return changed or self.skew(current) >= self._settings.urgent_skew

    def is_due(self, now: float, current: ExpertMap) -> bool:
        """Return whether a plan is to be made now."""
        if not self._popularity.ready:
            return False
        self._try_again(now)
        since = now - self._planned_at
        if self._unfinished:
            return since >= self._settings.urgent_interval_s
        if since >= self._settings.interval_s:
            return True
        return since >= self._settings.urgent_interval_s and self.is_urgent(current)

    def plan(self, now: float, current: ExpertMap) -> Generator[None, None, MapPlan]:
        """Plan in short steps; yield between them."""
        urgent = self._unfinished or self.is_urgent(current)
        self._planned_at = now
        closed = self._stragglers.stragglers
        conditions = RankConditions(np.ones(self._shape.ranks), closed, self._domains)
        planner = self._settings.planner
        if not urgent:
            planner = self._economical(planner, now)
        result = yield from plan_in_steps(current, self._popularity.load(), conditions, planner)
        self._closed = closed
        self._unfinished = urgent and result.weights >= FULL_SHARE * planner.max_weights
        if result.expert_map is not None and not urgent:
            self._moved.append((now, result.weights))
        return result

    def _try_again(self, now: float) -> None:
        """Take emptied ranks for sound once their probation is over; they show at once if not."""
        for rank in self._closed:
            since = self._closed_since.setdefault(rank, now)
            probation_s = self._probations.get(rank, self._settings.probation_s)
            if rank in self._stragglers.stragglers and now - since >= probation_s:
                self._probations[rank] = 2 * probation_s
                self._stragglers.forget(rank)
        for rank in set(self._closed_since) - set(self._stragglers.stragglers):
            del self._closed_since[rank]

    def _economical(self, planner: PlannerSettings, now: float) -> PlannerSettings:
        """Return the planner's settings for calm times: what the window leaves room for."""
        window_s = self._settings.window_s
        while self._moved and self._moved[0][0] <= now - window_s:
            self._moved.popleft()
        moved = sum(weights for _, weights in self._moved)
        allowed = int(self._shape.weights * self._settings.hourly_share * window_s / HOUR_S)
        return replace(
            planner,
            target_skew=self._settings.calm_skew,
            max_weights=max(0, min(planner.max_weights, allowed - moved)),
        )
