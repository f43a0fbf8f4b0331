"""Plan a better placement with a greedy search.

Each step adds a replica of a busy expert to a less loaded rank, moves an expert there, or swaps
two. The goal is a low maximum rank time; the objective sums a high power of the rank times, so
that a step that relieves one of several equally busy ranks counts too.

Demand shifts about as often as a map can be changed. Where other demands are expected, such as
mixtures that return, a step is judged by them too, so that the map is less bad after the next one.
"""

from collections.abc import Generator, Sequence
from dataclasses import dataclass

from bluebellrun.placement._maps import Demand, Layer, Placement, copies_needed, skew

POWER = 6
# Candidates of a step: experts of the busiest rank, and the least loaded ranks.
CANDIDATE_EXPERTS = 5
CANDIDATE_RANKS = 5


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """Bounds of a plan.

    A rank holds up to ``slots`` experts of a layer, of which one change may replace
    ``max_new_experts``. A layer whose skew is below ``target_skew`` is not changed. A step has to
    reduce the objective by at least ``min_step_gain`` times the mean contribution of a rank, so
    that relieving one rank counts as much in a large group as in a small one. ``expected_weight``
    is the weight of the objectives under all expected demands, beside that under the present one.
    """

    slots: int
    max_new_experts: int
    target_skew: float = 1.1
    min_step_gain: float = 0.72
    max_steps: int = 40
    expected_weight: float = 0.3


@dataclass(frozen=True, slots=True)
class PlacementPlan:
    """A placement, the skews before and after it, and the number of experts to copy."""

    placement: Placement
    skew_before: float
    skew_after: float
    copies: int


def plan_placement(
    current: Placement,
    demand: Sequence[Demand],
    slowness: Sequence[float],
    settings: PlanSettings,
    expected: Sequence[Sequence[Demand]] = (),
) -> Generator[None, None, PlacementPlan]:
    """Plan in short steps and yield between them, so that the event loop can do other work.

    ``expected`` are other demands that may follow the present one.
    """
    layers: list[Layer] = []
    for number, (layer, layer_demand) in enumerate(zip(current.layers, demand, strict=True)):
        search = _LayerSearch(layer, layer_demand, slowness, settings)
        for other in expected:
            search.add_expected(_LayerSearch(layer, other[number], slowness, settings))
        while search.step():
            yield
        layers.append(search.layer)
        yield
    planned = Placement(tuple(layers))
    return PlacementPlan(
        planned,
        skew(current, demand, slowness),
        skew(planned, demand, slowness),
        copies_needed(current, planned),
    )


@dataclass(frozen=True, slots=True)
class _Step:
    """Replicate or move ``expert`` from ``source`` to ``target``, dropping or swapping another."""

    expert: int
    source: int
    target: int
    moves: bool = False
    dropped: int | None = None
    swapped: int | None = None


class _LayerSearch:
    """Greedy search in one layer."""

    def __init__(
        self,
        layer: Layer,
        demand: Demand,
        slowness: Sequence[float],
        settings: PlanSettings,
    ) -> None:
        self._before = layer
        self._held = [set(experts) for experts in layer]
        self._demand = demand
        self._slowness = slowness
        self._settings = settings
        self._replicas = [0] * len(demand)
        for experts in layer:
            for expert in experts:
                self._replicas[expert] += 1
        self._loads = [
            sum(demand[e] / self._replicas[e] for e in experts) * slow
            for experts, slow in zip(layer, slowness, strict=True)
        ]
        self._mean = sum(demand) / len(layer) or 1.0
        self._steps = 0
        # The same placement under expected demands, which follow each step.
        self._expected: list[_LayerSearch] = []

    def add_expected(self, search: "_LayerSearch") -> None:
        """Judge the steps by another demand too."""
        self._expected.append(search)

    @property
    def layer(self) -> Layer:
        """Return the placement so far."""
        return tuple(frozenset(experts) for experts in self._held)

    def step(self) -> bool:
        """Apply the best step; return whether there was one."""
        max_time = max(self._loads)
        self._steps += 1
        if self._steps > self._settings.max_steps:
            return False
        if max_time <= self._settings.target_skew * self._mean:
            return False
        source = self._loads.index(max_time)
        objective = sum((load / self._mean) ** POWER for load in self._loads)
        best, best_gain = None, self._settings.min_step_gain * objective / len(self._loads)
        for step in self._candidates(source):
            gain = self._gain(step)
            if gain > best_gain:
                best, best_gain = step, gain
        if best is None:
            return False
        self._apply(best)
        return True

    def _candidates(self, source: int) -> Generator[_Step, None, None]:
        """Yield the candidate steps that relieve a rank."""
        held = self._held
        experts = sorted(held[source], key=self._share, reverse=True)[:CANDIDATE_EXPERTS]
        order = sorted(range(len(held)), key=self._loads.__getitem__)[:CANDIDATE_RANKS]
        for target in order:
            if target == source:
                continue
            redundant = self._redundant(target)
            for expert in experts:
                if expert in held[target] or not self._can_hold(target, expert):
                    continue
                if len(held[target]) < self._settings.slots:
                    yield _Step(expert, source, target)
                    yield _Step(expert, source, target, moves=True)
                elif redundant is not None and redundant != expert:
                    yield _Step(expert, source, target, dropped=redundant)
                    yield _Step(expert, source, target, moves=True, dropped=redundant)
                yield from self._swaps(expert, source, target)

    def _swaps(self, expert: int, source: int, target: int) -> Generator[_Step, None, None]:
        """Yield the swaps of an expert with less loaded ones of another rank."""
        share = self._share(expert)
        for other in self._held[target]:
            if other in self._held[source] or self._share(other) >= share:
                continue
            if self._can_hold(source, other):
                yield _Step(expert, source, target, moves=True, swapped=other)

    def _share(self, expert: int) -> float:
        """Return the demand for one replica of an expert."""
        return self._demand[expert] / self._replicas[expert]

    def _redundant(self, rank: int) -> int | None:
        """Return the least loaded expert of a rank that has replicas elsewhere, or none."""
        spare = [expert for expert in self._held[rank] if self._replicas[expert] > 1]
        if not spare:
            return None
        return min(spare, key=self._worth_of_replica)

    @property
    def _weight(self) -> float:
        """Return the weight of each expected demand."""
        return self._settings.expected_weight / max(1, len(self._expected))

    def _worth_of_replica(self, expert: int) -> float:
        """Return the demand for one replica relative to a rank's, with expected demands added."""
        share = self._share(expert) / self._mean
        expected = sum(search._worth_of_replica(expert) for search in self._expected)
        return share + self._weight * expected

    def _can_hold(self, rank: int, expert: int) -> bool:
        """Return whether a rank may hold an expert within the bound on new experts."""
        before = self._before[rank]
        if expert in before:
            return True
        return len(self._held[rank] - before) < self._settings.max_new_experts

    def _new_loads(self, step: _Step) -> dict[int, float]:
        """Return the new loads of the ranks that a step affects."""
        loads: dict[int, float] = {}

        def add(rank: int, amount: float) -> None:
            loads[rank] = loads.get(rank, self._loads[rank]) + amount * self._slowness[rank]

        demand, replicas = self._demand, self._replicas
        expert = step.expert
        if step.moves:
            share = demand[expert] / replicas[expert]
            add(step.source, -share)
            add(step.target, share)
        else:
            count = replicas[expert]
            less = demand[expert] / count - demand[expert] / (count + 1)
            for rank, held in enumerate(self._held):
                if expert in held:
                    add(rank, -less)
            add(step.target, demand[expert] / (count + 1))
        if step.dropped is not None:
            count = replicas[step.dropped]
            more = demand[step.dropped] / (count - 1) - demand[step.dropped] / count
            add(step.target, -demand[step.dropped] / count)
            for rank, held in enumerate(self._held):
                if step.dropped in held and rank != step.target:
                    add(rank, more)
        if step.swapped is not None:
            share = demand[step.swapped] / replicas[step.swapped]
            add(step.target, -share)
            add(step.source, share)
        return loads

    def _gain(self, step: _Step) -> float:
        """Return by how much a step reduces the objective.

        One that is worse under the present demand is never taken for the sake of others.
        """
        mean = self._mean
        gain = sum(
            (self._loads[rank] / mean) ** POWER - (load / mean) ** POWER
            for rank, load in self._new_loads(step).items()
        )
        if not self._expected or gain <= 0:
            return gain
        return gain + self._weight * sum(search._gain(step) for search in self._expected)

    def _apply(self, step: _Step) -> None:
        """Apply a step."""
        for search in self._expected:
            search._apply(step)
        for rank, load in self._new_loads(step).items():
            self._loads[rank] = load
        if step.moves:
            self._held[step.source].discard(step.expert)
        else:
            self._replicas[step.expert] += 1
        if step.dropped is not None:
            self._held[step.target].discard(step.dropped)
            self._replicas[step.dropped] -= 1
        if step.swapped is not None:
            self._held[step.target].discard(step.swapped)
            self._held[step.source].add(step.swapped)
        self._held[step.target].add(step.expert)
