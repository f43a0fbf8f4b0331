"""Recognise recurring mixtures of demand from the counts of a fraction of a second. Pure.

Demand for experts returns in a few mixtures of topics. A decayed sum of counts takes a second to
follow a shift, and recent counts alone are noisy. A mixture that was seen before is recognised from
few counts, and its learned profile is more accurate than these.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import pi, sqrt


@dataclass(frozen=True, slots=True)
class MixtureSettings:
    """How mixtures are told apart.

    Counts of a window match a profile if the distance of their shares is below ``noise_factor``
    times what chance makes of it plus ``margin``; a distance is 0 to 2, averaged over the layers. A
    profile averages over its last ``memory`` windows. A window with fewer than ``min_choices`` for
    each expert says nothing. The average over all mixtures is used after ``min_windows``.
    """

    max_profiles: int = 12
    noise_factor: float = 1.3
    margin: float = 0.05
    memory: int = 60
    min_choices: float = 5.0
    min_windows: int = 16
    average_windows: int = 500


@dataclass(slots=True)
class _Profile:
    """A mixture's shares by layer and expert, and from how many windows they were learned."""

    shares: list[float]
    windows: int


class MixtureLibrary:
    """The mixtures of one group, learned while it runs."""

    def __init__(self, layers: int, experts: int, settings: MixtureSettings) -> None:
        self._layers = layers
        self._experts = experts
        self._settings = settings
        # The one that was recognised last is at the end.
        self._profiles: list[_Profile] = []
        self._current: _Profile | None = None
        self._unknown: list[float] | None = None
        self._average: _Profile | None = None

    @property
    def current(self) -> Sequence[float] | None:
        """Return the shares of the mixture that was recognised in the last window, or none."""
        return None if self._current is None else self._current.shares

    @property
    def average(self) -> Sequence[float] | None:
        """Return the shares averaged over all mixtures, none before enough was seen."""
        average = self._average
        if average is None or average.windows < self._settings.min_windows:
            return None
        return average.shares

    def others(self, count: int) -> list[Sequence[float]]:
        """Return the shares of the other mixtures that were recognised last, up to a number."""
        found = [item.shares for item in self._profiles if item is not self._current]
        return list(found[-count:])

    @property
    def known(self) -> int:
        """Return the number of mixtures that were learned."""
        return len(self._profiles)

    def observe(self, counts: Sequence[float]) -> bool:
        """Record the choices of a window; return whether another mixture was recognised."""
        settings = self._settings
        if not settings.max_profiles:
            return False
        if sum(counts) < settings.min_choices * self._layers * self._experts:
            return False
        shares = self._shares(counts)
        noise = self._noise(counts, shares)
        self._learn_average(shares)
        before = self._current
        self._current = self._recognise(shares, noise)
        return self._current is not None and self._current is not before

    def _recognise(self, shares: list[float], noise: float) -> _Profile | None:
        """Return the profile that shares belong to, a new one if two windows agree on it."""
        limit = self._settings.noise_factor * noise + self._settings.margin
        nearest = min(
            self._profiles, key=lambda item: self._distance(item.shares, shares), default=None
        )
        if nearest is not None and self._distance(nearest.shares, shares) < limit:
            self._unknown = None
            _learn(nearest, shares, self._settings.memory)
            self._profiles.remove(nearest)
            self._profiles.append(nearest)
            return nearest
        before, self._unknown = self._unknown, shares
        # Both windows have noise. A window within a shift is like neither of those beside it.
        limit = self._settings.noise_factor * sqrt(2) * noise + self._settings.margin
        if before is None or self._distance(before, shares) >= limit:
            return None
        self._unknown = None
        profile = _Profile([(old + new) / 2 for old, new in zip(before, shares, strict=True)], 2)
        surplus = len(self._profiles) + 1 - self._settings.max_profiles
        self._profiles = [*self._profiles[max(0, surplus) :], profile]
        return profile

    def _learn_average(self, shares: list[float]) -> None:
        """Add a window to the average over all mixtures."""
        if self._average is None:
            self._average = _Profile(list(shares), 1)
        else:
            _learn(self._average, shares, self._settings.average_windows)

    def _shares(self, counts: Sequence[float]) -> list[float]:
        """Return the experts' shares of the choices of their layers."""
        shares: list[float] = []
        for start in range(0, len(counts), self._experts):
            layer = counts[start : start + self._experts]
            total = sum(layer) or 1.0
            shares.extend(count / total for count in layer)
        return shares

    def _noise(self, counts: Sequence[float], shares: list[float]) -> float:
        """Return the distance from the true shares that is expected by chance."""
        choices = sum(counts) / self._layers
        return sqrt(2 / (pi * choices)) * sum(map(sqrt, shares)) / self._layers

    def _distance(self, one: Sequence[float], other: Sequence[float]) -> float:
        """Return the sum of the absolute differences of shares, averaged over the layers."""
        return sum(abs(a - b) for a, b in zip(one, other, strict=True)) / self._layers


def _learn(profile: _Profile, shares: list[float], memory: int) -> None:
    """Move a profile towards the shares of a window."""
    profile.windows = min(profile.windows + 1, memory)
    weight = 1 / profile.windows
    profile.shares = [
        old + weight * (new - old) for old, new in zip(profile.shares, shares, strict=True)
    ]
