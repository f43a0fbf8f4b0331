"""Follow how often each expert is chosen, from counts that ranks keep since their start."""

from dataclasses import dataclass
from math import log


@dataclass(frozen=True, slots=True)
class RankCounts:
    """A rank's counts since its start, layer after layer; ``epoch`` and ``born`` name its life.

    ``step`` is the latest step of its group.
    """

    rank: int
    epoch: int
    born: int
    counts: tuple[int, ...]
    step: int = 0


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """How fast the past is forgotten, with half-lives in seconds.

    The usual half-life averages over the requests of a moment, as each has its own topics. When
    the latest choices, by the short half-life, differ from the usual ones by ``jump`` or more,
    demand has moved and the past is dropped. The difference is the sum over the experts of a
    layer of how far their shares lie apart, averaged over the layers: 0 to 2.
    """

    half_life_s: float = 2.0
    short_half_life_s: float = 0.1
    jump: float = 0.35


# The usual half-life averages over as many requests in a large group as in one of so many ranks.
RANKS_OF_USUAL_HALF_LIFE = 12
# Counts of all ranks of a large group are read within less than this.
SHORTEST_HALF_LIFE_S = 0.4


def demand_settings(ranks: int) -> DemandSettings:
    """Return the settings for a group of so many ranks: the more, the sooner demand is known."""
    usual = DemandSettings()
    half_life_s = usual.half_life_s * min(1.0, RANKS_OF_USUAL_HALF_LIFE / max(1, ranks))
    return DemandSettings(
        max(SHORTEST_HALF_LIFE_S, half_life_s), usual.short_half_life_s, usual.jump
    )


class DemandEstimator:
    """Sum up the ranks' counts, the older the less; times in seconds."""

    def __init__(self, layers: int, experts: int, settings: DemandSettings) -> None:
        self._layers = layers
        self._experts = experts
        self._settings = settings
        self._seen: dict[int, RankCounts] = {}
        self._seen_at: dict[int, float] = {}
        self._sums = [0.0] * (layers * experts)
        self._latest = [0.0] * (layers * experts)
        self._decayed_at: float | None = None

    @property
    def settings(self) -> DemandSettings:
        """Return how fast the past is forgotten."""
        return self._settings

    @settings.setter
    def settings(self, settings: DemandSettings) -> None:
        self._settings = settings

    @property
    def total(self) -> float:
        """Return the remembered choices over all layers and experts."""
        return sum(self._sums)

    def distance(self) -> float:
        """Return how far the latest choices differ from the usual ones, 0 to 2."""
        usual_total, latest_total = sum(self._sums), sum(self._latest)
        if not usual_total or not latest_total:
            return 0.0
        usual, latest = 1 / usual_total, 1 / latest_total
        return sum(
            abs(old * usual - new * latest)
            for old, new in zip(self._sums, self._latest, strict=True)
        )

    def reset_on_shift(self) -> bool:
        """Keep only the latest choices if demand has moved; return whether it has."""
        if self.distance() < self._settings.jump:
            return False
        self._sums = list(self._latest)
        return True

    def observe(self, read: RankCounts, now: float) -> bool:
        """Take a rank's counts; return false if they only give a new start to count from."""
        self._decay(now)
        before, before_at = self._seen.get(read.rank), self._seen_at.get(read.rank, now)
        self._seen[read.rank], self._seen_at[read.rank] = read, now
        if len(read.counts) != len(self._sums):
            del self._seen[read.rank]
            return False
        if before is None or (before.epoch, before.born) != (read.epoch, read.born):
            return False
        gained = [new - old for new, old in zip(read.counts, before.counts, strict=True)]
        if min(gained) < 0:
            return False
        latest = _weight(now - before_at, self._settings.short_half_life_s)
        self._sums = [have + new for have, new in zip(self._sums, gained, strict=True)]
        self._latest = [have + latest * new for have, new in zip(self._latest, gained, strict=True)]
        return True

    def demand(self) -> list[list[float]]:
        """Return the remembered choices as ``[layer][expert]``."""
        size = self._experts
        return [self._sums[i * size : (i + 1) * size] for i in range(self._layers)]

    def _decay(self, now: float) -> None:
        """Let the past fade."""
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


def _weight(passed_s: float, half_life_s: float) -> float:
    """Return what is remembered of choices that came evenly over the time that passed."""
    turns = passed_s / half_life_s
    return (1 - 0.5**turns) / (turns * log(2)) if turns > 0 else 1.0
