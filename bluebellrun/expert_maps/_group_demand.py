"""Read how often the requests of a group choose each expert, from the counts of its ranks."""

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bluebellrun.deployment import ExpertTerms
from bluebellrun.expert_maps._ports import RankCallError, RankCalls
from bluebellrun.expert_maps._service_ranks import run_all
from bluebellrun.gateway._models import Upstream
from bluebellrun.placement import (
    DemandEstimator,
    DemandSettings,
    MixtureLibrary,
    MixtureSettings,
    StepTimes,
    StepTimesSettings,
    demand_settings,
)
from bluebellrun.telemetry import get_logger

# A jump of demand shows in any rank's counts: the first ranks are read on each turn and the others
# in rotation, as a call costs both hosts about a millisecond.
RANKS_READ_ALWAYS = 4
RANKS_READ_IN_ROTATION = 20
# For so long after a group formed again, a map may be planned for the demand from before.
PRIOR_S = 5.0
# Other mixtures that a plan takes into account; each makes planning longer. With fewer known than
# the second number, their average stands for them.
MAX_EXPECTED = 3
MIN_EXPECTED = 2
# Choices observed before the first plan: a few dozen for each expert of a group.
MIN_CHOICES_PER_EXPERT = 20

_log = get_logger("expert-maps")


@dataclass(frozen=True, slots=True)
class CountsRead:
    """What a reading of counts showed.

    A rank is in another epoch, the group's steps became longer, or demand has shifted.
    """

    other_epoch: bool = False
    slowed: bool = False
    shifted: bool = False


class GroupDemand:
    """The demand for the experts of one group."""

    def __init__(self, service: str, group: str, experts: ExpertTerms, calls: RankCalls) -> None:
        self._names = {"service": service, "group": group}
        self._calls = calls
        self._min_choices = MIN_CHOICES_PER_EXPERT * experts.layers * experts.experts
        self._estimator = DemandEstimator(experts.layers, experts.experts, DemandSettings())
        self._step_times = StepTimes(StepTimesSettings())
        self._mixtures = MixtureLibrary(experts.layers, experts.experts, MixtureSettings())
        self._experts = experts
        self._next_read = 0
        self._prior_until = 0.0

    @property
    def experts(self) -> ExpertTerms:
        """Return the sizes of the expert layers."""
        return self._experts

    @property
    def is_observed(self) -> bool:
        """Return whether enough choices were observed recently to plan for."""
        return self._estimator.total >= self._min_choices

    @property
    def is_known(self) -> bool:
        """Return whether there is a demand to plan for, observed recently or before."""
        return self.is_observed or self._prior() is not None

    @property
    def step_s(self) -> float | None:
        """Return the mean duration of a step, none if unknown."""
        return self._step_times.step_s

    def by_layer(self) -> list[list[float]]:
        """Return the choices, or shares of them, as ``[layer][expert]``."""
        known = self._mixtures.current if self.is_observed else self._prior()
        return self._estimator.demand() if known is None else self._layers(known)

    def expected_by_layer(self) -> list[list[list[float]]]:
        """Return the shares that may follow: of the mixtures seen last, or of all on average."""
        others = self._mixtures.others(MAX_EXPECTED)
        average = self._mixtures.average
        if len(others) < MIN_EXPECTED:
            others = [] if average is None else [average]
        return [self._layers(shares) for shares in others]

    def _layers(self, shares: Sequence[float]) -> list[list[float]]:
        """Return shares as ``[layer][expert]``."""
        size = self._experts.experts
        return [list(shares[start : start + size]) for start in range(0, len(shares), size)]

    def expect_prior(self) -> None:
        """Let the first map be replaced by one for the demand from before, if any is known."""
        self._prior_until = time.monotonic() + PRIOR_S

    def set_size(self, ranks: int) -> None:
        """Adapt to the group's size."""
        self._estimator.settings = demand_settings(ranks)

    async def read(self, upstreams: Mapping[int, Upstream], epoch: int) -> CountsRead:
        """Read the counts of some ranks: a few always, the others in rotation."""
        now = time.monotonic()
        ranks = sorted(upstreams)
        others = ranks[RANKS_READ_ALWAYS:]
        start = self._next_read % max(1, len(others))
        self._next_read = start + RANKS_READ_IN_ROTATION
        chosen = (others[start:] + others[:start])[:RANKS_READ_IN_ROTATION]
        steps: list[int] = []
        epochs: set[int] = set()

        async def read_one(rank: int) -> None:
            try:
                counts = await self._calls.counts(upstreams[rank], rank)
            except RankCallError as error:
                _log.info("counts not read", **self._names, rank=rank, reason=str(error))
                return
            epochs.add(counts.epoch)
            if counts.epoch == epoch:
                self._estimator.observe(counts, time.monotonic())
                steps.append(counts.step)

        await run_all([(read_one, (rank,)) for rank in (*ranks[:RANKS_READ_ALWAYS], *chosen)])
        slowed = bool(steps) and self._step_times.observe(max(steps), now)
        if slowed:
            _log.info("steps became longer", **self._names, step=max(steps))
        distance = self._estimator.distance()
        shifted = self._estimator.reset_on_shift()
        if shifted:
            _log.info("demand shifted", **self._names, distance=round(distance, 3))
        if self._mixtures.observe(self._estimator.take_window()):
            shifted = True
            _log.info("mixture of demand recognised", **self._names, known=self._mixtures.known)
        return CountsRead(bool(epochs - {epoch}), slowed, shifted)

    def _prior(self) -> Sequence[float] | None:
        """Return the average demand from before, while a group that has formed again needs it."""
        return self._mixtures.average if time.monotonic() < self._prior_until else None
