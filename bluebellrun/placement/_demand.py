"""Estimate how often each expert is chosen, from the cumulative counts of the ranks."""

from dataclasses import dataclass
from math import log
from operator import add, sub


@dataclass(frozen=True, slots=True)
class RankCounts:
    """A rank's counts since its start, concatenated by layer.

    ``epoch`` and ``born`` identify the incarnation of the rank, ``step`` is the latest step of
    its group.
    """

    rank: int
    epoch: int
    born: int
    counts: tuple[int, ...]
    step: int = 0


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """How fast old counts decay; half-lives in seconds.

    The long half-life averages over the concurrent requests, as each has its own topics. When
    the average over the short half-life differs from it by ``jump`` or more, demand has shifted
    and the history is discarded. The difference is the sum of the absolute differences between
    the experts' shares of a layer, averaged over the layers: 0 to 2.
    """

    half_life_s: float = 2.0
    short_half_life_s: float = 0.1
    jump: float = 0.35


# A larger group gets a shorter half-life, so that it averages over as many requests as this one.
DEFAULT_HALF_LIFE_RANKS = 12
# Reading the counts of all ranks of a large group takes less than this.
MIN_HALF_LIFE_S = 0.4


def demand_settings(ranks: int) -> DemandSettings:
    """Return the settings for a group's size; more ranks give enough counts in less time."""
    defaults = DemandSettings()
    half_life_s = defaults.half_life_s * min(1.0, DEFAULT_HALF_LIFE_RANKS / max(1, ranks))
    return DemandSettings(
        max(MIN_HALF_LIFE_S, half_life_s), defaults.short_half_life_s, defaults.jump
    )


class DemandEstimator:
    """Exponentially decayed sums of the ranks' counts; times in seconds."""

    def __init__(self, layers: int, experts: int, settings: DemandSettings) -> None:
        self._layers = layers
        self._experts = experts
        self._settings = settings
        self._previous: dict[int, RankCounts] = {}
        self._previous_at: dict[int, float] = {}
        self._sums = [0.0] * (layers * experts)
        self._latest = [0.0] * (layers * experts)
        self._window = [0.0] * (layers * experts)
        self._decayed_at: float | None = None

    @property
    def settings(self) -> DemandSettings:
        """Return the decay settings."""
        return self._settings

    @settings.setter
    def settings(self, settings: DemandSettings) -> None:
        self._settings = settings

    @property
    def total(self) -> float:
        """Return the decayed number of choices over all layers and experts."""
        return sum(self._sums)

    def distance(self) -> float:
        """Return the difference between the short and the long average, 0 to 2."""
        usual_total, latest_total = sum(self._sums), sum(self._latest)
        if not usual_total or not latest_total:
            return 0.0
        usual, latest = 1 / usual_total, 1 / latest_total
        return sum(
            abs(old * usual - new * latest)
            for old, new in zip(self._sums, self._latest, strict=True)
        )

    def reset_on_shift(self) -> bool:
        """Discard the history if demand has shifted; return whether it has."""
        if self.distance() < self._settings.jump:
            return False
        self._sums = list(self._latest)
        return True

    def observe(self, read: RankCounts, now: float) -> bool:
        """Record a rank's counts; return false if they only set a new baseline or are invalid."""
        self._decay(now)
        before, before_at = self._previous.get(read.rank), self._previous_at.get(read.rank, now)
        self._previous[read.rank], self._previous_at[read.rank] = read, now
        if len(read.counts) != len(self._sums):
            del self._previous[read.rank]
            return False
        if before is None or (before.epoch, before.born) != (read.epoch, read.born):
            return False
        gained = list(map(sub, read.counts, before.counts))
        if min(gained) < 0:
            return False
        self._window = list(map(add, self._window, gained))
        latest = _weight(now - before_at, self._settings.short_half_life_s)
        self._sums = list(map(add, self._sums, gained))
        self._latest = [have + latest * new for have, new in zip(self._latest, gained, strict=True)]
        return True

    def take_window(self) -> list[float]:
        """Return the choices that were recorded since the last call, without decay."""
        window, self._window = self._window, [0.0] * len(self._window)
        return window

    def demand(self) -> list[list[float]]:
        """Return the decayed choices as ``[layer][expert]``."""
        size = self._experts
        return [self._sums[i * size : (i + 1) * size] for i in range(self._layers)]

    def _decay(self, now: float) -> None:
        """Apply the exponential decay since the last call."""
        if self._decayed_at is None:
            self._decayed_at = now
            return
        passed = now - self._decayed_at
        if passed <= 0:
            return
        self._decayed_at = now
        kept = 0.5 ** (passed / self._settings.half_life_s)
        self._sums = [value * kept for value in self._sums]
        kept = 0.5 ** (passed / self._settings.short_half_life_s)
        self._latest = [value * kept for value in self._latest]


def _weight(elapsed_s: float, half_life_s: float) -> float:
    """Return the fraction left of choices spread evenly over the elapsed time."""
    half_lives = elapsed_s / half_life_s
    return (1 - 0.5**half_lives) / (half_lives * log(2)) if half_lives > 0 else 1.0
