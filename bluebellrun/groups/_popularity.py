"""Estimate the load of experts from reports that arrive late or not at all."""

from collections import OrderedDict
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from bluebellrun.groups._exceptions import InvalidReportError
from bluebellrun.groups._expert_map import FloatArray
from bluebellrun.groups._models import GroupShape

MAX_SEEN_REPORTS = 4_096
DEVIATION_SMOOTHING = 0.05


@dataclass(frozen=True, slots=True)
class ExpertReport:
    """Tokens routed to each expert in an interval: ``tokens[layer, expert]``.

    ``source`` and ``number`` identify the report, so that a duplicate delivery is ignored. The
    interval runs from ``started`` to ``ended``, in seconds on the engine's clock.
    """

    source: str
    number: int
    started: float
    ended: float
    tokens: FloatArray


@dataclass(frozen=True, slots=True)
class PopularitySettings:
    """How fast the estimate follows a change in load.

    Half-lives are in seconds. ``dispersion`` is the ratio of a count's variance to its mean; it is
    above 1 because tokens of one request choose similar experts. A difference of fewer than
    ``noise_bound`` standard deviations between the fast and the slow average is treated as noise.
    If a report's deviation from the fast average, in mean square over a layer's experts, is
    more than ``jump_bound`` times the typical one, the layer's averages restart from that report.
    """

    slow_half_life_s: float = 180.0
    fast_half_life_s: float = 20.0
    dispersion: float = 4.0
    noise_bound: float = 3.0
    jump_bound: float = 3.0


class _Average:
    """Token counts that decay exponentially with a half-life."""

    def __init__(self, shape: GroupShape, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self.tokens = np.zeros((shape.layers, shape.experts))
        self.seconds = np.zeros((shape.layers, 1))
        self._latest = float("-inf")

    def add(self, report: ExpertReport) -> None:
        """Add a report; one that arrives out of order is weighted down by its age."""
        weight = 1.0
        if report.ended >= self._latest:
            decay = self._decay_factor(report.ended - self._latest)
            self.tokens *= decay
            self.seconds *= decay
            self._latest = report.ended
        else:
            weight = self._decay_factor(self._latest - report.ended)
        self.tokens += weight * report.tokens
        self.seconds += weight * (report.ended - report.started)

    def is_late(self, report: ExpertReport) -> bool:
        """Return whether a report with a later end has been added."""
        return report.ended < self._latest

    def restart(self, layers: NDArray[np.bool_], report: ExpertReport) -> None:
        """Discard all but the given report in the selected layers."""
        self.tokens[layers] = report.tokens[layers]
        self.seconds[layers] = report.ended - report.started

    def shares(self) -> FloatArray:
        """Return each expert's share of its layer's tokens."""
        totals = self.tokens.sum(axis=1, keepdims=True)
        uniform = 1.0 / self.tokens.shape[1]
        return np.where(totals > 0, self.tokens / np.maximum(totals, 1e-300), uniform)

    def _decay_factor(self, seconds: float) -> float:
        """Return the factor by which a count decays in this time."""
        return float(0.5 ** (seconds / self._half_life_s))


class PopularityEstimator:
    """Estimate expert popularity: follow significant changes quickly and average out noise."""

    def __init__(self, shape: GroupShape, settings: PopularitySettings) -> None:
        self._shape = shape
        self._settings = settings
        self._slow = _Average(shape, settings.slow_half_life_s)
        self._fast = _Average(shape, settings.fast_half_life_s)
        self._typical_deviation = np.ones(shape.layers)
        self._seen: OrderedDict[tuple[str, int], None] = OrderedDict()

    @property
    def ready(self) -> bool:
        """Return whether there is a report to estimate from."""
        return bool((self._fast.seconds > 0).all())

    def observe(self, report: ExpertReport) -> bool:
        """Add a report; return false for a duplicate.

        Raises ``InvalidReportError`` when the report does not match the group's shape or its
        counts or interval are invalid.
        """
        self._check(report)
        key = (report.source, report.number)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN_REPORTS:
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
        fast_weight = np.clip(1.0 - (bound / np.maximum(deviation, 1e-9)) ** 2, 0.0, 1.0)
        mixed = slow + fast_weight * (fast - slow)
        return mixed / mixed.sum(axis=1, keepdims=True)

    def load(self) -> FloatArray:
        """Return the tokens per second of each expert as ``[layer, expert]``."""
        totals = self._fast.tokens.sum(axis=1, keepdims=True)
        return self.shares() * totals / np.maximum(self._fast.seconds, 1e-9)

    def _find_jumps(self, report: ExpertReport) -> NDArray[np.bool_]:
        """Return a mask of the layers in which a report deviates too far from the fast average."""
        no_jumps = np.zeros(self._shape.layers, dtype=bool)
        if not self.ready or self._fast.is_late(report):
            return no_jumps
        totals = report.tokens.sum(axis=1, keepdims=True)
        observed = np.maximum(self._fast.tokens.sum(axis=1, keepdims=True), 1.0)
        expected = self._fast.shares() * totals
        deviation_variance = (
            self._settings.dispersion * np.maximum(expected, 1.0) * (1.0 + totals / observed)
        )
        deviations = ((report.tokens - expected) ** 2 / deviation_variance).mean(axis=1)
        jumped = deviations > self._settings.jump_bound * np.maximum(self._typical_deviation, 1.0)
        typical = np.where(jumped, self._typical_deviation, deviations)
        self._typical_deviation += DEVIATION_SMOOTHING * (typical - self._typical_deviation)
        return jumped & (totals[:, 0] > 0)

    def _check(self, report: ExpertReport) -> None:
        """Raise ``InvalidReportError`` for a wrong shape, invalid counts or an empty interval."""
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
