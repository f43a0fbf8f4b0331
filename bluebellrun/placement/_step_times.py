"""Detect that a group's steps have become slower. Pure; times in seconds.

A rank that becomes slow delays all steps of its group at once, and the step number is read with
the expert counts. The state of each rank is read less often, as that takes a call to every rank.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepTimesSettings:
    """Compare the steps of the last ``recent_s`` with those of the ``baseline_s`` before.

    A slowdown is reported when steps take at least ``slowdown_ratio`` times as long, at most once
    in ``report_interval_s``: one reading of all ranks is enough to identify the slow one.
    """

    recent_s: float = 0.3
    baseline_s: float = 1.2
    slowdown_ratio: float = 1.5
    report_interval_s: float = 0.5


class StepTimes:
    """Measures step times from the number of a group's latest step."""

    def __init__(self, settings: StepTimesSettings) -> None:
        self._settings = settings
        self._readings: deque[tuple[float, int]] = deque()
        self._reported_at: float | None = None

    @property
    def step_s(self) -> float | None:
        """Return the mean duration of a step over the retained readings; none if unknown."""
        if len(self._readings) < 2:
            return None
        steps_per_s = _step_rate(self._readings[0], self._readings[-1])
        return 1 / steps_per_s if steps_per_s else None

    def observe(self, step: int, now: float) -> bool:
        """Record the number of the latest step; return whether to report a slowdown."""
        settings, readings = self._settings, self._readings
        if readings and step < readings[-1][1]:
            readings.clear()
        readings.append((now, step))
        while now - readings[0][0] > settings.recent_s + settings.baseline_s:
            readings.popleft()
        recent_start = next(item for item in readings if item[0] >= now - settings.recent_s)
        baseline = _step_rate(readings[0], recent_start)
        recent = _step_rate(recent_start, readings[-1])
        if not baseline or recent is None or recent * settings.slowdown_ratio > baseline:
            return False
        if self._reported_at is not None and now - self._reported_at < settings.report_interval_s:
            return False
        self._reported_at = now
        return True


def _step_rate(first: tuple[float, int], last: tuple[float, int]) -> float | None:
    """Return the steps per second between two readings, none if no time passed between them."""
    seconds = last[0] - first[0]
    return (last[1] - first[1]) / seconds if seconds > 0 else None
