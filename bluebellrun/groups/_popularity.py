"""Estimate the load of experts from reports that lag and have gaps."""

from collections import OrderedDict
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from bluebellrun.groups._exceptions import InvalidReportError
from bluebellrun.groups._expert_map import FloatArray
from bluebellrun.groups._models import GroupShape

REMEMBERED_REPORTS = 4_096
LEVEL_SMOOTHING = 0.05


@dataclass(frozen=True, slots=True)
class ExpertReport:
    """Tokens routed to each expert in an interval: ``tokens[layer, expert]``.

    ``source`` and ``number`` name the report, so that one delivered twice counts once. Times are
    seconds on the engine's clock; ``ended`` minus ``started`` is what the report covers.
    """

    source: str
    number: int
    started: float
    ended: float
    tokens: FloatArray


@dataclass(frozen=True, slots=True)
class PopularitySettings:
    """How fast the estimate follows.

    Half-lives in seconds. ``dispersion`` is the variance of a count over its mean: tokens of one
    request choose alike, so it is above 1. A difference of fewer than ``noise_bound`` standard
    deviations between the fast and the slow average is taken for noise. A report that strays
    ``jump_bound`` times as far from the fast average as reports usually do, in mean square over a
    layer's experts, begins that layer anew.
    """

    slow_half_life_s: float = 180.0
    fast_half_life_s: float = 20.0
    dispersion: float = 4.0
    noise_bound: float = 3.0
    jump_bound: float = 3.0


class _Average:
    """Counts that fade with a half-life."""

    def __init__(self, shape: GroupShape, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self.tokens = np.zeros((shape.layers, shape.experts))
        self.seconds = np.zeros((shape.layers, 1))
        self._latest = float("-inf")

    def add(self, report: ExpertReport) -> None:
        """Add a report with the weight of its age; a late one counts for less."""
        weight = 1.0
        if report.ended >= self._latest:
            fade = self._fade(report.ended - self._latest)
            self.tokens *= fade
            self.seconds *= fade
            self._latest = report.ended
        else:
            weight = self._fade(self._latest - report.ended)
        self.tokens += weight * report.tokens
        self.seconds += weight * (report.ended - report.started)

    def is_late(self, report: ExpertReport) -> bool:
        """Return whether a later report has been taken."""
        return report.ended < self._latest

    def restart(self, layers: NDArray[np.bool_], report: ExpertReport) -> None:
        """Forget all but one report in some layers."""
        self.tokens[layers] = report.tokens[layers]
        self.seconds[layers] = report.ended - report.started

    def shares(self) -> FloatArray:
        """Return each expert's share of its layer's tokens."""
        totals = self.tokens.sum(axis=1, keepdims=True)
        even = 1.0 / self.tokens.shape[1]
        return np.where(totals > 0, self.tokens / np.maximum(totals, 1e-300), even)

    def _fade(self, seconds: float) -> float:
        """Return the share left after so many seconds."""
        return float(0.5 ** (seconds / self._half_life_s))


class PopularityEstimator:
    """Follow drift at once where it stands out from noise, and slowly where it does not."""

    def __init__(self, shape: GroupShape, settings: PopularitySettings) -> None:
        self._shape = shape
        self._settings = settings
        self._slow = _Average(shape, settings.slow_half_life_s)
        self._fast = _Average(shape, settings.fast_half_life_s)
        self._level = np.ones(shape.layers)
        self._seen: OrderedDict[tuple[str, int], None] = OrderedDict()

    @property
    def ready(self) -> bool:
        """Return whether any report has arrived."""
        return bool((self._fast.seconds > 0).all())

    def observe(self, report: ExpertReport) -> bool:
        """Take a report; return false for one that was taken before.

        Raises ``InvalidReportError`` when it does not fit the group.
        """
        self._check(report)
        name = (report.source, report.number)
        if name in self._seen:
            return False
        self._seen[name] = None
        if len(self._seen) > REMEMBERED_REPORTS:
            self._seen.popitem(last=False)
        jumped = self._find_jumps(report)
        for average in (self._slow, self._fast):
            average.add(report)
            average.restart(jumped, report)
        return True

    def shares(self) -> FloatArray:
        """Return each expert's share of its layer's tokens as ``[layer, expert]``."""
        slow, fast = self._slow.shares(), self._fast.shares()
        counts = np.maximum(self._fast.tokens.sum(axis=1, keepdims=True), 1.0)
        variance = self._settings.dispersion * np.maximum(slow, fast) / counts
        deviation = np.abs(fast - slow) / np.sqrt(np.maximum(variance, 1e-18))
        bound = self._settings.noise_bound
        trust = np.clip(1.0 - (bound / np.maximum(deviation, 1e-9)) ** 2, 0.0, 1.0)
        mixed = slow + trust * (fast - slow)
        return mixed / mixed.sum(axis=1, keepdims=True)

    def load(self) -> FloatArray:
        """Return tokens a second for each expert as ``[layer, expert]``."""
        totals = self._fast.tokens.sum(axis=1, keepdims=True)
        return self.shares() * totals / np.maximum(self._fast.seconds, 1e-9)

    def _find_jumps(self, report: ExpertReport) -> NDArray[np.bool_]:
        """Return the layers in which a report strays too far from the fast average."""
        none = np.zeros(self._shape.layers, dtype=bool)
        if not self.ready or self._fast.is_late(report):
            return none
        totals = report.tokens.sum(axis=1, keepdims=True)
        known = np.maximum(self._fast.tokens.sum(axis=1, keepdims=True), 1.0)
        expected = self._fast.shares() * totals
        spread = self._settings.dispersion * np.maximum(expected, 1.0) * (1.0 + totals / known)
        strays = ((report.tokens - expected) ** 2 / spread).mean(axis=1)
        jumped = strays > self._settings.jump_bound * np.maximum(self._level, 1.0)
        usual = np.where(jumped, self._level, strays)
        self._level += LEVEL_SMOOTHING * (usual - self._level)
        return jumped & (totals[:, 0] > 0)

    def _check(self, report: ExpertReport) -> None:
        """Refuse a report of another shape, of negative counts or of no time."""
        expected = (self._shape.layers, self._shape.experts)
        if report.tokens.shape != expected:
            raise InvalidReportError(
                f"{report.source} reports counts of shape {report.tokens.shape}; "
                f"expected {expected}"
            )
        if not np.isfinite(report.tokens).all() or (report.tokens < 0).any():
            raise InvalidReportError(f"{report.source} reports counts that are not 0 or more")
        if not report.ended > report.started:
            raise InvalidReportError(
                f"{report.source} reports from {report.started} s to {report.ended} s; "
                "an interval ends after it starts"
            )
