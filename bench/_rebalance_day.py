"""A synthetic day of one group: drift of popularity, a cold snap and a slow rank."""

from dataclasses import dataclass

import numpy as np

from bluebellrun.groups import (
    ExpertMap,
    ExpertReport,
    GroupShape,
    RankConditions,
    rank_loads,
)
from bluebellrun.groups._expert_map import FloatArray

DAY_S = 86_400.0
CALM_TICK_S = 10.0
EVENT_TICK_S = 1.0
EVENT_S = 600.0
REPORT_S = 5.0
SNAP_AT_S = 10 * 3_600.0
SLOW_FROM_S = 15 * 3_600.0
SLOW_TO_S = 16 * 3_600.0
SLOW_RANK = 5
SLOW_FACTOR = 2.0
PEAK_ASSIGNMENTS = 209_000.0
DISPERSION = 4.0
LOST_SHARE = 0.1
FIXED_STEP_S = 0.02
STEP_S_PER_ASSIGNMENT = 6e-6


@dataclass(frozen=True, slots=True)
class Tick:
    """The truth at one moment: tokens a second for each expert and each rank's slowness."""

    now: float
    load: FloatArray
    slowness: FloatArray

    def skew(self, expert_map: ExpertMap) -> float:
        """Return the longest over the mean rank time, summed over the layers."""
        longest = mean = 0.0
        for layer, load in enumerate(self.load):
            times = rank_loads(expert_map.placement[layer], load) * self.slowness
            longest += float(times.max())
            mean += float(times.mean())
        return longest / mean

    def step_times(self, expert_map: ExpertMap) -> tuple[FloatArray, FloatArray]:
        """Return each rank's own time in a step and its load."""
        loads = np.zeros(len(self.slowness))
        for layer, load in enumerate(self.load):
            loads += rank_loads(expert_map.placement[layer], load)
        return (FIXED_STEP_S + STEP_S_PER_ASSIGNMENT * loads) * self.slowness, loads


def tick_times() -> list[float]:
    """Return the times at which the day is looked at, in s: finer after an event."""
    times = [0.0]
    while times[-1] < DAY_S:
        events = (SNAP_AT_S, SLOW_FROM_S)
        eventful = any(event <= times[-1] < event + EVENT_S for event in events)
        times.append(times[-1] + (EVENT_TICK_S if eventful else CALM_TICK_S))
    return times[:-1]


@dataclass(frozen=True, slots=True)
class Popularity:
    """How uneven experts are: deviations of the log of popularity, and of its daily swing."""

    spread: float
    swing: float


class Day:
    """Draw the truth of each tick and the engines' reports of it."""

    def __init__(self, shape: GroupShape, popularity: Popularity, seed: int) -> None:
        self._shape = shape
        self._rng = np.random.default_rng(seed)
        size = (shape.layers, shape.experts)
        self._base = self._rng.normal(0.0, popularity.spread, size)
        self._phase = self._rng.uniform(0.0, 2 * np.pi, size)
        self._swing = np.abs(self._rng.normal(0.0, popularity.swing, size))
        self._snap = np.where(self._rng.random(size) < 1 / 16, np.log(6.0), 0.0)
        self._late: list[ExpertReport] = []
        self._number = 0
        self._reported_at = -REPORT_S

    def tick(self, now: float) -> Tick:
        """Return the truth at a time of the day, in s."""
        logs = self._base + self._swing * np.sin(2 * np.pi * now / DAY_S + self._phase)
        if now >= SNAP_AT_S:
            logs = logs + self._snap
        shares = np.exp(logs)
        shares /= shares.sum(axis=1, keepdims=True)
        volume = 0.65 - 0.35 * np.cos(2 * np.pi * now / DAY_S)
        slowness = np.ones(self._shape.ranks)
        if SLOW_FROM_S <= now < SLOW_TO_S:
            slowness[SLOW_RANK] = SLOW_FACTOR
        return Tick(now, PEAK_ASSIGNMENTS * volume * shares, slowness)

    def reports(self, tick: Tick) -> list[ExpertReport]:
        """Return the reports that arrive: some are lost, some come a tick or more late."""
        seconds = tick.now - self._reported_at
        if seconds < REPORT_S:
            return []
        mean = tick.load * seconds
        noise = self._rng.normal(0.0, 1.0, mean.shape) * np.sqrt(DISPERSION * mean)
        tokens = np.maximum(mean + noise, 0.0)
        self._number += 1
        report = ExpertReport("engine", self._number, self._reported_at, tick.now, tokens)
        self._reported_at = tick.now
        arriving = [item for item in self._late if self._rng.random() < 0.7]
        self._late = [item for item in self._late if item not in arriving]
        if self._rng.random() >= LOST_SHARE:
            self._late.append(report)
        return arriving

    def times(self, tick: Tick, expert_map: ExpertMap) -> tuple[FloatArray, FloatArray]:
        """Return noisy step times of the ranks, and their loads."""
        times, loads = tick.step_times(expert_map)
        return times * self._rng.normal(1.0, 0.02, times.shape), loads


def sound(shape: GroupShape) -> RankConditions:
    """Return the conditions of ranks without fault."""
    return RankConditions(np.ones(shape.ranks))
