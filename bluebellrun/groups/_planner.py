"""Plan a better expert map, weighing saved idle time against the weights moved."""

from collections.abc import Generator, Sequence
from dataclasses import dataclass, field

import numpy as np

from bluebellrun.core import invariants
from bluebellrun.groups._expert_map import EMPTY, ExpertMap, FloatArray, IntArray, weights_to_load
from bluebellrun.groups._layer import (
    Dedication,
    Exchange,
    LayerState,
    Move,
    ReplicateAndSwap,
    Replication,
)

MOVES_PER_STEP = 2


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Gain, cost and size limits of a map change.

    ``seconds_per_unit`` is a rank's time for a unit of an expert's load; ``weight_cost_s`` is the
    rank time that loading one weight costs, in s; ``horizon_s`` is the time within which a
    move has to gain ``min_gain_ratio`` times its cost. ``max_weights`` bounds the weights of one
    change, which are all in flight at once, and ``max_weights_per_rank`` those of one rank.
    """

    seconds_per_unit: float = 2.5e-6
    weight_cost_s: float = 0.3
    horizon_s: float = 600.0
    min_gain_ratio: float = 1.5
    target_skew: float = 1.02
    max_weights: int = 4_096
    max_weights_per_rank: int = 128
    max_moves_per_layer: int = 160


@dataclass(frozen=True, slots=True)
class RankConditions:
    """Conditions of the ranks: time for a unit of work (1 is healthy) and ranks to drain."""

    slowness: FloatArray
    drained: tuple[int, ...] = ()
    failure_domains: tuple[str, ...] = ()

    def domain_numbers(self) -> IntArray:
        """Return the failure domain of each rank as a number."""
        names = self.failure_domains or ("",) * len(self.slowness)
        order = {name: number for number, name in enumerate(sorted(set(names)))}
        return np.array([order[name] for name in names], dtype=np.int16)


@dataclass(frozen=True, slots=True)
class MapPlan:
    """A new map with its gain and cost; ``expert_map`` is none if no move is worth its cost.

    Skews are the maximum over the mean rank time, summed over the layers. ``gain_s`` is rank
    time no longer idle within the horizon, ``cost_s`` the rank time spent on ``weights``.
    """

    expert_map: ExpertMap | None
    skew_before: float
    skew_after: float
    weights: int = 0
    gain_s: float = 0.0
    cost_s: float = 0.0


@dataclass(slots=True)
class _LayerMoves:
    """The moves found for a layer, the maximum time and the weights after each."""

    layer: int
    moves: list[Move] = field(default_factory=list)
    max_times: list[float] = field(default_factory=list)
    weights: list[int] = field(default_factory=list)

    def worth(self, count: int, settings: PlannerSettings, ranks: int) -> tuple[float, float]:
        """Return gain and cost, in s of rank time, of the first moves."""
        saved = self.max_times[0] - self.max_times[count]
        gain = saved * ranks * settings.seconds_per_unit * settings.horizon_s
        return gain, self.weights[count] * settings.weight_cost_s


def plan_map(
    current: ExpertMap,
    load: FloatArray,
    conditions: RankConditions,
    settings: PlannerSettings,
) -> MapPlan:
    """Return a plan at once; ``load[layer, expert]`` is in units of work a second."""
    steps = plan_in_steps(current, load, conditions, settings)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


def plan_in_steps(
    current: ExpertMap,
    load: FloatArray,
    conditions: RankConditions,
    settings: PlannerSettings,
) -> Generator[None, None, MapPlan]:
    """Plan in short steps and yield between them, so that the event loop can do other work."""
    domains = conditions.domain_numbers()
    before = SkewTotals()
    after = SkewTotals()
    found: list[_LayerMoves] = []
    placement = current.placement.copy()
    drained_weights = 0
    for layer in range(current.shape.layers):
        state = LayerState(
            placement[layer], load[layer], conditions.slowness, conditions.drained, domains
        )
        before.add(state)
        for rank in conditions.drained:
            drained_weights += state.drain(rank)
        placement[layer] = state.placement
        found.append((yield from _search(layer, state, settings)))
        yield
    chosen = yield from _choose(found, settings, current.shape.ranks, drained_weights)
    gain_s = cost_s = 0.0
    for moves, count in chosen:
        gain, cost = moves.worth(count, settings, current.shape.ranks)
        gain_s, cost_s = gain_s + gain, cost_s + cost
        yield from _apply(placement, moves, count, load, conditions, domains)
    for layer in range(current.shape.layers):
        after.add(
            LayerState(
                placement[layer], load[layer], conditions.slowness, conditions.drained, domains
            )
        )
        yield
    if not chosen and not drained_weights:
        return MapPlan(None, before.skew, before.skew)
    planned = ExpertMap(current.version + 1, current.shape, placement)
    yield
    weights = weights_to_load(current, planned)
    yield
    invariants.check(
        weights <= max(settings.max_weights, drained_weights),
        "a change of map stays within its bound of weights",
        weights=weights,
        bound=settings.max_weights,
    )
    cost_s += drained_weights * settings.weight_cost_s
    return MapPlan(planned, before.skew, after.skew, weights, gain_s, cost_s)


class SkewTotals:
    """Sums the maximum and the mean rank time over layers."""

    def __init__(self) -> None:
        self._maximum = 0.0
        self._mean = 0.0

    @property
    def skew(self) -> float:
        """Return the maximum over the mean; 1 when there is no load."""
        return self._maximum / self._mean if self._mean > 0 else 1.0

    def add(self, state: LayerState) -> None:
        """Add one layer."""
        self._maximum += state.max_time
        self._mean += float(state.times.mean())


def _search(
    layer: int, state: LayerState, settings: PlannerSettings
) -> Generator[None, None, _LayerMoves]:
    """Find moves for one layer by greedy search."""
    result = _LayerMoves(layer, max_times=[state.max_time], weights=[0])
    while len(result.moves) < settings.max_moves_per_layer and state.skew > settings.target_skew:
        candidate = state.best_move()
        if candidate is None:
            break
        state.apply(candidate.move)
        result.moves.append(candidate.move)
        result.max_times.append(state.max_time)
        result.weights.append(result.weights[-1] + candidate.weights)
        if len(result.moves) % MOVES_PER_STEP == 0:
            yield
    return result


def _choose(
    found: Sequence[_LayerMoves], settings: PlannerSettings, ranks: int, drained_weights: int
) -> Generator[None, None, list[tuple[_LayerMoves, int]]]:
    """Choose how many moves of each layer to make, by the marginal gain per weight."""
    segments = []
    for moves in found:
        segments += _segments(moves, settings, ranks)
        yield
    segments.sort(key=lambda segment: -segment.gain_per_weight)
    budget = _Budget(settings.max_weights - drained_weights, settings.max_weights_per_rank, ranks)
    counts: dict[int, int] = {}
    for segment in segments:
        begun = counts.get(segment.moves.layer, 0)
        if begun == segment.start:
            counts[segment.moves.layer] = budget.accept_moves(segment)
            yield
    yield
    chosen = []
    for moves in found:
        count = counts.get(moves.layer, 0)
        gain, cost = moves.worth(count, settings, ranks)
        if count and gain > settings.min_gain_ratio * cost:
            chosen.append((moves, count))
    return chosen


@dataclass(frozen=True, slots=True)
class _Segment:
    """Moves of a layer, from ``start`` to before ``end``, with the highest gain per weight."""

    moves: _LayerMoves
    start: int
    end: int
    gain_per_weight: float


def _segments(moves: _LayerMoves, settings: PlannerSettings, ranks: int) -> list[_Segment]:
    """Split a layer's moves where the marginal gain per weight falls.

    The segments are the sides of the upper hull of gain over weights; only those that are worth
    their cost are kept.
    """
    max_times = np.array(moves.max_times)
    weights = np.array(moves.weights, dtype=np.float64)
    gains = (max_times[0] - max_times) * ranks * settings.seconds_per_unit * settings.horizon_s
    least = settings.min_gain_ratio * settings.weight_cost_s
    result = []
    start = 0
    while start < len(moves.moves):
        slopes = (gains[start + 1 :] - gains[start]) / (weights[start + 1 :] - weights[start])
        best = int(slopes.argmax())
        if slopes[best] <= least:
            break
        result.append(_Segment(moves, start, start + 1 + best, float(slopes[best])))
        start += 1 + best
    return result


class _Budget:
    """The remaining number of weights to load, in total and per rank."""

    def __init__(self, max_weights: int, max_per_rank: int, ranks: int) -> None:
        self._remaining = max_weights
        self._max_per_rank = max_per_rank
        self._incoming = np.zeros(ranks, dtype=np.int64)

    def accept_moves(self, segment: _Segment) -> int:
        """Accept the moves of a segment that fit; return how many of the layer's are accepted."""
        for number in range(segment.start, segment.end):
            weights = segment.moves.weights[number + 1] - segment.moves.weights[number]
            incoming = self._incoming.copy()
            _count_incoming(segment.moves.moves[number], incoming)
            if weights > self._remaining or incoming.max() > self._max_per_rank:
                return number
            self._remaining -= weights
            self._incoming = incoming
        return segment.end


def _count_incoming(move: Move, incoming: IntArray) -> None:
    """Count the weights that each rank loads for a move."""
    match move:
        case Exchange() | ReplicateAndSwap():
            incoming[move.rank] += 1
            incoming[move.other_rank] += 1
        case Dedication(settings):
            for rank, _, expert in settings:
                incoming[rank] += expert != EMPTY
        case Replication():
            incoming[move.rank] += 1


def _apply(
    placement: IntArray,
    moves: _LayerMoves,
    count: int,
    load: FloatArray,
    conditions: RankConditions,
    domains: IntArray,
) -> Generator[None, None, None]:
    """Apply the chosen moves of one layer."""
    layer = moves.layer
    state = LayerState(
        placement[layer], load[layer], conditions.slowness, conditions.drained, domains
    )
    for number, move in enumerate(moves.moves[:count], start=1):
        state.apply(move)
        if number % (MOVES_PER_STEP * 8) == 0:
            yield
    placement[layer] = state.placement
    yield
