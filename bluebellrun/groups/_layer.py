"""Local search on one layer of an expert map."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from bluebellrun.groups._expert_map import EMPTY, FloatArray, IntArray, count_replicas

MIN_MEAN_TIME = 1e-12
SMALL_GAIN = 0.003
RANKS_TO_DEDICATE = 2
HEAVY_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Exchange:
    """Two experts swap slots, or one moves into an empty slot."""

    rank: int
    slot: int
    other_rank: int
    other_slot: int


@dataclass(frozen=True, slots=True)
class Replication:
    """An expert gets one more replica, replacing a redundant one."""

    expert: int
    rank: int
    slot: int


@dataclass(frozen=True, slots=True)
class ReplicateAndSwap:
    """An expert gets a replica on another rank, whose expert there comes to ``slot`` instead.

    This relieves a rank that holds one very heavy expert: no other rank has free capacity for
    half of its load unless it passes an expert back.
    """

    expert: int
    rank: int
    slot: int
    other_rank: int
    other_slot: int


@dataclass(frozen=True, slots=True)
class Dedication:
    """A rank moves all its experts to others and holds a replica of a very heavy one instead.

    ``assignments`` lists the slots to set in order, as (rank, slot, expert).
    """

    assignments: tuple[tuple[int, int, int], ...]


Move = Exchange | Replication | ReplicateAndSwap | Dedication


@dataclass(frozen=True, slots=True)
class Candidate:
    """A move, the maximum time of the affected ranks after it, and the weights it loads."""

    move: Move
    max_time: float
    weights: int


class LayerState:
    """Placement and loads of one layer.

    ``load[expert]`` is in any unit of work per second; ``slowness[rank]`` is the rank's time for a
    unit of work, 1 for a healthy rank. A drained rank receives no replicas.
    """

    def __init__(
        self,
        placement: IntArray,
        load: FloatArray,
        slowness: FloatArray,
        drained: Sequence[int],
        domains: IntArray,
    ) -> None:
        self.placement = placement.astype(np.int64)
        self.load = load
        self._slowness = slowness
        self._not_drained = np.ones(len(slowness), dtype=bool)
        self._not_drained[list(drained)] = False
        self._domains = domains
        self._domain_count = int(domains.max()) + 1
        self.replicas = count_replicas(placement, len(load)).astype(np.int64)
        self._held = np.zeros((len(load) + 1, len(slowness)), dtype=bool)
        self._in_domain = np.zeros((len(load) + 1, self._domain_count), dtype=np.int64)
        for rank, held in enumerate(self.placement):
            self._held[held, rank] = held != EMPTY
            np.add.at(self._in_domain, (held[held != EMPTY], domains[rank]), 1)
        self._refresh()

    @property
    def times(self) -> FloatArray:
        """Return the time of each rank."""
        return self._times

    @property
    def max_time(self) -> float:
        """Return the time of the slowest rank."""
        return float(self._times.max())

    @property
    def skew(self) -> float:
        """Return the maximum over the mean time of the ranks that are not drained."""
        return self.max_time / max(float(self._times[self._not_drained].mean()), MIN_MEAN_TIME)

    def best_move(self) -> Candidate | None:
        """Return the move that reduces the slowest rank's time most per weight loaded."""
        slowest = int(self._times.argmax())
        options = [self._best_exchange(slowest)]
        for expert in self._replicable(slowest):
            options.append(self._best_replication(int(expert)))
            options.append(self._best_replicate_and_swap(int(expert), slowest))
        best = self._most_efficient(options)
        if best is None or best.max_time > self.max_time * (1 - SMALL_GAIN):
            dedicated = self._best_dedication(slowest)
            best = self._most_efficient([best, dedicated])
        return best

    def _most_efficient(self, options: Sequence[Candidate | None]) -> Candidate | None:
        """Return the option that saves most time per weight, or none if none saves any."""
        max_time = self.max_time
        found = [option for option in options if option is not None]
        found = [option for option in found if option.max_time < max_time * (1 - 1e-9)]
        if not found:
            return None
        return max(found, key=lambda option: (max_time - option.max_time) / option.weights)

    def apply(self, move: Move) -> None:
        """Apply a move."""
        match move:
            case Exchange(rank, slot, other_rank, other_slot):
                expert = self.placement[rank, slot]
                other = self.placement[other_rank, other_slot]
                self._put(rank, slot, int(other))
                self._put(other_rank, other_slot, int(expert))
            case Replication(expert, rank, slot):
                self._put(rank, slot, expert)
            case ReplicateAndSwap(expert, rank, slot, other_rank, other_slot):
                other = int(self.placement[other_rank, other_slot])
                self._put(other_rank, other_slot, expert)
                self._put(rank, slot, other)
            case Dedication(assignments):
                for rank, slot, held in assignments:
                    self._put(rank, slot, held)
        self._refresh()

    def drain(self, rank: int) -> int:
        """Drain a rank as far as redundant slots allow; return the weights loaded."""
        loaded = 0
        by_load = sorted(range(self.placement.shape[1]), key=lambda s: -self._slot_load(rank, s))
        for slot in by_load:
            expert = int(self.placement[rank, slot])
            if expert == EMPTY:
                continue
            if self.replicas[expert] == 1:
                option = self._best_replication(expert)
                if option is None:
                    continue
                self.apply(option.move)
                loaded += 1
            self._put(rank, slot, EMPTY)
            self._refresh()
        return loaded

    def _slot_load(self, rank: int, slot: int) -> float:
        """Return the load of one slot."""
        return float(self._padded[self.placement[rank, slot]])

    def _put(self, rank: int, slot: int, expert: int) -> None:
        """Set one slot and update the counts."""
        old = int(self.placement[rank, slot])
        domain = self._domains[rank]
        if old != EMPTY:
            self.replicas[old] -= 1
            self._held[old, rank] = False
            self._in_domain[old, domain] -= 1
        if expert != EMPTY:
            self.replicas[expert] += 1
            self._held[expert, rank] = True
            self._in_domain[expert, domain] += 1
        self.placement[rank, slot] = expert

    def _refresh(self) -> None:
        """Recompute the loads and times."""
        per_replica = self.load / np.maximum(self.replicas, 1)
        self._padded = np.append(per_replica, 0.0)
        self._slot_loads = self._padded[self.placement]
        self._loads = self._slot_loads.sum(axis=1)
        self._times = self._loads * self._slowness

    def _replicable(self, rank: int) -> IntArray:
        """Return the heaviest experts of a rank, which may be worth another replica."""
        held = self.placement[rank]
        held = held[held != EMPTY]
        heaviest = np.argsort(-self._padded[held], kind="stable")[:2]
        return held[heaviest]

    def _best_exchange(self, rank: int) -> Candidate | None:
        """Return the best exchange between a rank's experts and those of other ranks."""
        mine = self.placement[rank][:, None, None]
        theirs = self.placement[None]
        delta = self._slot_loads[rank][:, None, None] - self._slot_loads[None]
        mine_after = (self._loads[rank] - delta) * self._slowness[rank]
        theirs_after = (self._loads[None, :, None] + delta) * self._slowness[None, :, None]
        max_time = np.maximum(mine_after, theirs_after)
        allowed = (delta > 0) & self._not_drained[None, :, None] & (mine != EMPTY)
        allowed &= ~self._held[mine, np.arange(len(self._loads))[None, :, None]]
        allowed &= ~self._held[theirs, rank]
        allowed &= self._may_move(mine, self._domains[rank], self._domains[None, :, None])
        allowed &= self._may_move(theirs, self._domains[None, :, None], self._domains[rank])
        gain = np.where(allowed, (self.max_time - max_time) / np.where(theirs == EMPTY, 1, 2), -1.0)
        slot, other, other_slot = np.unravel_index(int(gain.argmax()), gain.shape)
        if gain[slot, other, other_slot] <= 0:
            return None
        weights = 1 if self.placement[other, other_slot] == EMPTY else 2
        move = Exchange(rank, int(slot), int(other), int(other_slot))
        return Candidate(move, float(max_time[slot, other, other_slot]), weights)

    def _may_move(self, expert: IntArray, source: IntArray, target: IntArray) -> IntArray:
        """Return where a replica may move without exceeding its limit in a failure domain."""
        after = self._in_domain[expert, target] + (source != target)
        limit = -(-np.append(self.replicas, 0)[expert] // self._domain_count)
        return (expert == EMPTY) | (after <= np.maximum(limit, self._in_domain[expert, source]))

    def _best_replication(self, expert: int, moves: bool = False) -> Candidate | None:
        """Return the best slot for one more replica of an expert, or for moving its only one."""
        ranks, slots = np.nonzero(self._spare() & ~self._held[expert][:, None])
        limit = -(-(int(self.replicas[expert]) + 1) // self._domain_count)
        fits = self._in_domain[expert, self._domains[ranks]] < limit
        ranks, slots = ranks[fits], slots[fits]
        if not len(ranks):
            return None
        smaller = self.load[expert] / (self.replicas[expert] + (0 if moves else 1))
        replaced = self.placement[ranks, slots]
        kept = (self._loads[ranks] - self._slot_loads[ranks, slots] + smaller) * self._slowness[
            ranks
        ]
        max_time = np.maximum(kept, self._others_after(replaced, ranks))
        if not moves:
            max_time = np.maximum(max_time, self._holders_after(expert))
        best = int(max_time.argmin())
        move = Replication(expert, int(ranks[best]), int(slots[best]))
        return Candidate(move, float(max_time[best]), 1)

    def _best_replicate_and_swap(self, expert: int, rank: int) -> Candidate | None:
        """Return the best replication to another rank combined with a swap back."""
        slot = self._lightest_redundant_slot(expert, rank)
        if slot is None:
            return None
        given = self.placement[rank, slot]
        smaller = self.load[expert] / (self.replicas[expert] + 1)
        kept = self._loads[rank] - self._padded[expert] + smaller - self._padded[given]
        mine = (kept + self._slot_loads) * self._slowness[rank]
        theirs = (self._loads[:, None] - self._slot_loads + smaller) * self._slowness[:, None]
        max_time = np.maximum(np.maximum(mine, theirs), self._others_max_time(given, rank))
        allowed = (self._not_drained & ~self._held[expert])[:, None] & (self.placement != EMPTY)
        allowed &= ~self._held[self.placement, rank] & (self.placement != given)
        allowed &= self._may_move(
            self.placement, self._domains[:, None], np.asarray(self._domains[rank])
        )
        limit = -(-(int(self.replicas[expert]) + 1) // self._domain_count)
        allowed &= (self._in_domain[expert, self._domains] < limit)[:, None]
        max_time = np.where(allowed, max_time, np.inf)
        other, other_slot = np.unravel_index(int(max_time.argmin()), max_time.shape)
        if not np.isfinite(max_time[other, other_slot]):
            return None
        move = ReplicateAndSwap(expert, rank, slot, int(other), int(other_slot))
        return Candidate(move, float(max_time[other, other_slot]), 2)

    def _best_dedication(self, slowest: int) -> Candidate | None:
        """Return the best dedication of a rank to the slowest rank's heaviest expert."""
        heaviest = int(self._slot_loads[slowest].argmax())
        expert = int(self.placement[slowest, heaviest])
        if self._slot_loads[slowest, heaviest] < HEAVY_SHARE * float(self._loads.mean()):
            return None
        times = np.where(self._not_drained & ~self._held[expert], self._times, np.inf)
        lightest = np.argsort(times, kind="stable")[:RANKS_TO_DEDICATE]
        options = [
            self._dedicate(expert, int(rank)) for rank in lightest if np.isfinite(times[rank])
        ]
        found = [option for option in options if option is not None]
        return min(found, key=lambda option: option.max_time, default=None)

    def _dedicate(self, expert: int, rank: int) -> Candidate | None:
        """Evaluate draining a rank for an expert, without changing the layer."""
        before = self.placement.copy()
        assignments = self._drain_completely(rank)
        candidate = None
        if assignments is not None:
            assignments.append((rank, 0, expert))
            self._put(rank, 0, expert)
            self._refresh()
            touched = {rank, *(item[0] for item in assignments)}
            touched |= set(np.flatnonzero(self._held[expert]))
            max_time = float(self._times[sorted(touched)].max())
            weights = sum(1 for item in assignments if item[2] != EMPTY)
            candidate = Candidate(Dedication(tuple(assignments)), max_time, weights)
        self._restore(before)
        return candidate

    def _drain_completely(self, rank: int) -> list[tuple[int, int, int]] | None:
        """Drain a rank, heaviest expert first; return the assignments, or none if impossible."""
        assignments = []
        for slot in np.argsort(-self._slot_loads[rank], kind="stable"):
            expert = int(self.placement[rank, slot])
            if expert == EMPTY:
                continue
            if self.replicas[expert] == 1:
                place = self._best_replication(expert, moves=True)
                if place is None or not isinstance(place.move, Replication):
                    return None
                assignments.append((place.move.rank, place.move.slot, expert))
                self._put(place.move.rank, place.move.slot, expert)
            assignments.append((rank, int(slot), EMPTY))
            self._put(rank, int(slot), EMPTY)
            self._refresh()
        return assignments

    def _restore(self, placement: IntArray) -> None:
        """Restore an earlier placement."""
        changed = np.argwhere(self.placement != placement)
        for rank, slot in changed:
            self._put(int(rank), int(slot), EMPTY)
        for rank, slot in changed:
            self._put(int(rank), int(slot), int(placement[rank, slot]))
        self._refresh()

    def _lightest_redundant_slot(self, expert: int, rank: int) -> int | None:
        """Return the least loaded redundant slot of a rank, except that of an expert."""
        held = self.placement[rank]
        spare = (np.append(self.replicas, 2)[held] > 1) & (held != expert)
        if not spare.any():
            return None
        return int(np.where(spare, self._slot_loads[rank], np.inf).argmin())

    def _others_max_time(self, given: IntArray, rank: int) -> float:
        """Return the maximum time of the other holders of a replica that a rank drops."""
        if given == EMPTY:
            return 0.0
        return float(self._others_after(np.array([given]), np.array([rank]))[0])

    def _spare(self) -> IntArray:
        """Return which slots are redundant and not on a drained rank."""
        counts = np.append(self.replicas, 2)[self.placement]
        return (counts > 1) & self._not_drained[:, None]

    def _holders_after(self, expert: int) -> float:
        """Return the maximum time of an expert's holders with one more replica."""
        holders = self._held[expert] & self._not_drained
        if not holders.any():
            return 0.0
        less = self._padded[expert] - self.load[expert] / (self.replicas[expert] + 1)
        return float(((self._loads - less) * self._slowness)[holders].max())

    def _others_after(self, replaced: IntArray, ranks: IntArray) -> FloatArray:
        """Return the maximum time of the other holders of replicas that would be dropped."""
        counts = np.append(self.replicas, 0)[replaced]
        more = np.append(self.load, 0.0)[replaced] / np.maximum(counts - 1, 1)
        more -= self._padded[replaced]
        after = (self._loads[None] + more[:, None]) * self._slowness[None]
        others = self._held[replaced].copy()
        others[np.arange(len(ranks)), ranks] = False
        return np.where(others, after, 0.0).max(axis=1)
