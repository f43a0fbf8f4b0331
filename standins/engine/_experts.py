"""Traffic over a group's experts: how popular they are, and what ranks report of it."""

import numpy as np

from bluebellrun.groups import ExpertCounts, ExpertMap, GroupShape, rank_loads, static_map
from standins.engine._group import LockStepGroup

TOKENS_PER_S = 50_000.0
STEP_BASE_S = 0.005
STEP_S_PER_TOKEN_PER_S = 2e-7


class ExpertTraffic:
    """Count tokens by expert; popularity and the slowness of ranks can be ordered."""

    def __init__(self, shape: GroupShape, group: LockStepGroup, seed: int) -> None:
        self._shape = shape
        self._group = group
        self._rng = np.random.default_rng(seed)
        self._popularity = np.ones((shape.layers, shape.experts))
        self._slowness = np.ones(shape.ranks)
        self._told = [0.0] * shape.ranks
        self._numbers = [0] * shape.ranks

    def heat(self, expert: int, times: float) -> None:
        """Make an expert more popular in all layers."""
        self._popularity[:, expert] *= times

    def slow(self, rank: int, slowness: float) -> None:
        """Make a rank take so many times as long."""
        self._slowness[rank] = slowness

    def counts(self, rank: int, now: float) -> ExpertCounts:
        """Return what a rank reports since its last report; the first covers one second."""
        started = self._told[rank] or now - 1.0
        self._told[rank] = now
        self._numbers[rank] += 1
        shares = self._popularity / self._popularity.sum(axis=1, keepdims=True)
        mean = shares * TOKENS_PER_S * (now - started) / self._shape.ranks
        load = float(self._loads(shares)[rank])
        return ExpertCounts(
            number=self._numbers[rank],
            started=started,
            ended=now,
            layers=self._shape.layers,
            experts=self._shape.experts,
            slots=self._shape.slots,
            tokens=self._rng.poisson(mean).astype("<f4").tobytes(),
            step_s=(STEP_BASE_S + STEP_S_PER_TOKEN_PER_S * load) * float(self._slowness[rank]),
            processed=load * (now - started),
        )

    def skew(self) -> float:
        """Return the longest over the mean load of the ranks, with the map in use."""
        loads = self._loads(self._popularity / self._popularity.sum(axis=1, keepdims=True))
        return float(loads.max() / loads.mean())

    def _loads(self, shares: np.ndarray) -> np.ndarray:
        """Return the tokens a second that each rank's experts work on."""
        version = self._group.ranks[0].version_at(self._group.step)
        data = self._group.maps.get(version)
        in_use = static_map(self._shape)
        if data:
            in_use = ExpertMap.decode(version, self._shape, data)
        loads = np.zeros(self._shape.ranks)
        for layer, share in enumerate(shares):
            loads += rank_loads(in_use.placement[layer], share * TOKENS_PER_S)
        return loads
