"""Distinguish ranks that are slow themselves from ranks with popular experts."""

from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from bluebellrun.groups._expert_map import FloatArray

MIN_DIVISOR = 1e-9
LOADED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class StragglerSettings:
    """When a rank counts as a straggler and when it is healthy again.

    The ratios are a rank's measured time over the time that its load explains.
    ``required_reports`` consecutive reports must agree; ``smoothing`` is the weight of a new
    report in the moving average.
    """

    raise_ratio: float = 1.3
    clear_ratio: float = 1.1
    required_reports: int = 3
    smoothing: float = 0.3
    hot_ratio: float = 1.15


@dataclass(frozen=True, slots=True)
class StragglerRank:
    """A rank that takes ``slowness`` times as long as its load explains; it should be drained."""

    rank: int
    slowness: float


@dataclass(frozen=True, slots=True)
class HotRank:
    """A healthy rank whose experts have ``load`` times the mean load; experts should be moved."""

    rank: int
    load: float


Finding = StragglerRank | HotRank


class StragglerDetector:
    """Compare each rank's own time with what its load explains.

    Time is taken as ``fixed + rate * load`` with both fitted to the group by medians, which a
    minority of slow ranks cannot distort. A rank with little load, such as a drained one, keeps
    its state: the fit is not valid for so light a load.
    """

    def __init__(self, ranks: int, settings: StragglerSettings) -> None:
        self._settings = settings
        self._ratios = np.ones(ranks)
        self._raised = np.zeros(ranks, dtype=np.int64)
        self._cleared = np.zeros(ranks, dtype=np.int64)
        self._stragglers = np.zeros(ranks, dtype=bool)
        self._loads = np.ones(ranks)

    @property
    def slowness(self) -> FloatArray:
        """Return each rank's time for a unit of work; 1 for a rank that is no straggler."""
        return np.where(self._stragglers, self._ratios, 1.0)

    @property
    def stragglers(self) -> tuple[int, ...]:
        """Return the ranks that are slow themselves."""
        return tuple(int(rank) for rank in np.flatnonzero(self._stragglers))

    def observe(self, times: FloatArray, loads: FloatArray) -> None:
        """Record each rank's own time in a step in s, without waits, and its tokens.

        NaN stands for a rank without a report, which keeps its state.
        """
        known = np.isfinite(times) & np.isfinite(loads) & (times > 0)
        if known.sum() < 3:
            return
        expected = _fit(times[known], loads[known], loads)
        ratio = np.where(known, times / np.maximum(expected, MIN_DIVISOR), self._ratios)
        weight = np.where(known, self._settings.smoothing, 0.0)
        self._ratios += weight * (ratio - self._ratios)
        self._loads = np.where(known, loads, self._loads)
        loaded = self._loads >= LOADED_SHARE * float(np.median(self._loads))
        self._update_stragglers(ratio, known & loaded)

    def findings(self) -> list[Finding]:
        """Return the stragglers, then the ranks that are hot."""
        result: list[Finding] = [
            StragglerRank(rank, float(self._ratios[rank])) for rank in self.stragglers
        ]
        relative = self._loads / max(float(self._loads.mean()), MIN_DIVISOR)
        for rank in np.flatnonzero(relative > self._settings.hot_ratio):
            if not self._stragglers[rank]:
                result.append(HotRank(int(rank), float(relative[rank])))
        return result

    def forget(self, rank: int) -> None:
        """Reset the state of a rank that was replaced."""
        self._ratios[rank] = 1.0
        self._raised[rank] = self._cleared[rank] = 0
        self._stragglers[rank] = False

    def _update_stragglers(self, ratio: FloatArray, known: NDArray[np.bool_]) -> None:
        """Raise or clear ranks for which enough consecutive reports agree."""
        settings = self._settings
        high = known & (ratio > settings.raise_ratio)
        low = known & (ratio < settings.clear_ratio)
        self._raised = np.where(high, self._raised + 1, np.where(known, 0, self._raised))
        self._cleared = np.where(low, self._cleared + 1, np.where(known, 0, self._cleared))
        self._stragglers |= self._raised >= settings.required_reports
        self._stragglers &= ~(self._cleared >= settings.required_reports)


def _fit(times: FloatArray, loads: FloatArray, target_loads: FloatArray) -> FloatArray:
    """Return the time that the group's ranks typically need for each target load."""
    first, second = np.triu_indices(len(times), k=1)
    spans = loads[second] - loads[first]
    apart = np.abs(spans) > 1e-3 * max(float(np.abs(loads).mean()), MIN_DIVISOR)
    slopes = (times[second] - times[first])[apart] / spans[apart]
    rate = max(float(np.median(slopes)), 0.0) if len(slopes) else 0.0
    fixed = max(float(np.median(times - rate * loads)), 0.0)
    return fixed + rate * np.nan_to_num(target_loads)


def routing_weight(step_s: float, healthy_step_s: float, min_weight: float = 0.05) -> float:
    """Return a group's weight in routing: 1 when healthy, less the more its slowest rank delays it.

    ``step_s`` is the group's step time, that of its slowest rank; ``healthy_step_s`` is the mean
    time of its healthy ranks.
    """
    if step_s <= 0 or healthy_step_s <= 0:
        return 1.0
    return min(1.0, max(min_weight, healthy_step_s / step_s))


def group_weight(times: FloatArray, stragglers: tuple[int, ...]) -> float:
    """Return the weight of a group from its ranks' times and the stragglers among them.

    Popular experts alone leave the weight near 1, as a new map resolves them.
    """
    if not stragglers:
        return 1.0
    healthy = np.delete(times, list(stragglers))
    if not len(healthy):
        return routing_weight(float(np.max(times)), float(np.min(times)))
    return routing_weight(float(np.max(times)), float(np.max(healthy)))
