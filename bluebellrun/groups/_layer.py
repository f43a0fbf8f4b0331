"""One layer of an expert map while it is being improved."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from bluebellrun.groups._expert_map import EMPTY, FloatArray, IntArray, count_replicas

NO_TIME = 1e-12


@dataclass(frozen=True, slots=True)
class Exchange:
    """Two experts change places, or one moves into an empty slot."""

    rank: int
    slot: int
    other_rank: int
    other_slot: int


@dataclass(frozen=True, slots=True)
class Replication:
    """An expert gets one more replica, in the place of a replica that can be spared."""

    expert: int
    rank: int
    slot: int


@dataclass(frozen=True, slots=True)
class Share:
    """An expert gets a replica on another rank, whose expert there comes to ``slot`` instead.

    This is what relieves a rank that holds one very heavy expert: no other rank has room for
    half of it unless it gives something back.
    """

    expert: int
    rank: int
    slot: int
    other_rank: int
    other_slot: int


Move = Exchange | Replication | Share


@dataclass(frozen=True, slots=True)
class Candidate:
    """A move, the longest time of the ranks it touches afterwards, and the weights it loads."""

    move: Move
    longest: float
    weights: int


class LayerState:
    """Placement and loads of one layer.

    ``load[expert]`` is in any unit of work a second; ``slowness[rank]`` is the rank's time for a
    unit of work, 1 for a sound rank. A closed rank takes no replicas.
    """

    def __init__(
        self,
        placement: IntArray,
        load: FloatArray,
        slowness: FloatArray,
        closed: Sequence[int],
        domains: IntArray,
    ) -> None:
        self.placement = placement.astype(np.int64)
        self.load = load
        self._slowness = slowness
        self._open = np.ones(len(slowness), dtype=bool)
        self._open[list(closed)] = False
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
    def longest(self) -> float:
        """Return the time of the slowest rank."""
        return float(self._times.max())

    @property
    def skew(self) -> float:
        """Return the longest over the mean time of the open ranks."""
        return self.longest / max(float(self._times[self._open].mean()), NO_TIME)

    def best_move(self) -> Candidate | None:
        """Return the move that shortens the slowest rank's time most for each weight loaded."""
        slowest = int(self._times.argmax())
        options = [self._best_exchange(slowest)]
        for expert in self._replicable(slowest):
            options.append(self._best_replication(int(expert)))
            options.append(self._best_share(int(expert), slowest))
        found = [option for option in options if option is not None]
        if not found:
            return None
        longest = self.longest
        best = max(found, key=lambda option: (longest - option.longest) / option.weights)
        return best if best.longest < longest * (1 - 1e-9) else None

    def apply(self, move: Move) -> None:
        """Make a move."""
        match move:
            case Exchange(rank, slot, other_rank, other_slot):
                expert = self.placement[rank, slot]
                other = self.placement[other_rank, other_slot]
                self._put(rank, slot, int(other))
                self._put(other_rank, other_slot, int(expert))
            case Replication(expert, rank, slot):
                self._put(rank, slot, expert)
            case Share(expert, rank, slot, other_rank, other_slot):
                other = int(self.placement[other_rank, other_slot])
                self._put(other_rank, other_slot, expert)
                self._put(rank, slot, other)
        self._refresh()

    def evacuate(self, rank: int) -> int:
        """Empty a closed rank as far as spare slots allow; return the weights loaded."""
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
        """Set one slot and keep the counts."""
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
        """Work out the times again."""
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
        """Return the best exchange of one of a rank's experts for one of another rank."""
        mine = self.placement[rank][:, None, None]
        theirs = self.placement[None]
        delta = self._slot_loads[rank][:, None, None] - self._slot_loads[None]
        mine_after = (self._loads[rank] - delta) * self._slowness[rank]
        theirs_after = (self._loads[None, :, None] + delta) * self._slowness[None, :, None]
        longest = np.maximum(mine_after, theirs_after)
        allowed = (delta > 0) & self._open[None, :, None] & (mine != EMPTY)
        allowed &= ~self._held[mine, np.arange(len(self._loads))[None, :, None]]
        allowed &= ~self._held[theirs, rank]
        allowed &= self._may_leave(mine, self._domains[rank], self._domains[None, :, None])
        allowed &= self._may_leave(theirs, self._domains[None, :, None], self._domains[rank])
        gain = np.where(allowed, (self.longest - longest) / np.where(theirs == EMPTY, 1, 2), -1.0)
        slot, other, other_slot = np.unravel_index(int(gain.argmax()), gain.shape)
        if gain[slot, other, other_slot] <= 0:
            return None
        weights = 1 if self.placement[other, other_slot] == EMPTY else 2
        move = Exchange(rank, int(slot), int(other), int(other_slot))
        return Candidate(move, float(longest[slot, other, other_slot]), weights)

    def _may_leave(self, expert: IntArray, source: IntArray, target: IntArray) -> IntArray:
        """Return where a replica may go without crowding a failure domain."""
        after = self._in_domain[expert, target] + (source != target)
        limit = -(-np.append(self.replicas, 0)[expert] // self._domain_count)
        return (expert == EMPTY) | (after <= np.maximum(limit, self._in_domain[expert, source]))

    def _best_replication(self, expert: int) -> Candidate | None:
        """Return the best place for one more replica of an expert."""
        ranks, slots = np.nonzero(self._spare() & ~self._held[expert][:, None])
        limit = -(-(int(self.replicas[expert]) + 1) // self._domain_count)
        fits = self._in_domain[expert, self._domains[ranks]] < limit
        ranks, slots = ranks[fits], slots[fits]
        if not len(ranks):
            return None
        smaller = self.load[expert] / (self.replicas[expert] + 1)
        replaced = self.placement[ranks, slots]
        kept = (self._loads[ranks] - self._slot_loads[ranks, slots] + smaller) * self._slowness[
            ranks
        ]
        longest = np.maximum(kept, self._others_after(replaced, ranks))
        longest = np.maximum(longest, self._holders_after(expert))
        best = int(longest.argmin())
        move = Replication(expert, int(ranks[best]), int(slots[best]))
        return Candidate(move, float(longest[best]), 1)

    def _best_share(self, expert: int, rank: int) -> Candidate | None:
        """Return the best way to give another rank a replica in return for one of its experts."""
        slot = self._lightest_spare_slot(expert, rank)
        if slot is None:
            return None
        given = self.placement[rank, slot]
        smaller = self.load[expert] / (self.replicas[expert] + 1)
        kept = self._loads[rank] - self._padded[expert] + smaller - self._padded[given]
        mine = (kept + self._slot_loads) * self._slowness[rank]
        theirs = (self._loads[:, None] - self._slot_loads + smaller) * self._slowness[:, None]
        longest = np.maximum(np.maximum(mine, theirs), self._others_longest(given, rank))
        allowed = (self._open & ~self._held[expert])[:, None] & (self.placement != EMPTY)
        allowed &= ~self._held[self.placement, rank] & (self.placement != given)
        allowed &= self._may_leave(
            self.placement, self._domains[:, None], np.asarray(self._domains[rank])
        )
        limit = -(-(int(self.replicas[expert]) + 1) // self._domain_count)
        allowed &= (self._in_domain[expert, self._domains] < limit)[:, None]
        longest = np.where(allowed, longest, np.inf)
        other, other_slot = np.unravel_index(int(longest.argmin()), longest.shape)
        if not np.isfinite(longest[other, other_slot]):
            return None
        move = Share(expert, rank, slot, int(other), int(other_slot))
        return Candidate(move, float(longest[other, other_slot]), 2)

    def _lightest_spare_slot(self, expert: int, rank: int) -> int | None:
        """Return the slot of a rank that can best be spared, but not that of an expert."""
        held = self.placement[rank]
        spare = (np.append(self.replicas, 2)[held] > 1) & (held != expert)
        if not spare.any():
            return None
        return int(np.where(spare, self._slot_loads[rank], np.inf).argmin())

    def _others_longest(self, given: IntArray, rank: int) -> float:
        """Return the longest time of the other holders of a replica that a rank gives up."""
        if given == EMPTY:
            return 0.0
        return float(self._others_after(np.array([given]), np.array([rank]))[0])

    def _spare(self) -> IntArray:
        """Return which slots could take another expert."""
        counts = np.append(self.replicas, 2)[self.placement]
        return (counts > 1) & self._open[:, None]

    def _holders_after(self, expert: int) -> float:
        """Return the longest time of an expert's holders once there is one replica more."""
        holders = self._held[expert] & self._open
        if not holders.any():
            return 0.0
        less = self._padded[expert] - self.load[expert] / (self.replicas[expert] + 1)
        return float(((self._loads - less) * self._slowness)[holders].max())

    def _others_after(self, replaced: IntArray, ranks: IntArray) -> FloatArray:
        """Return the longest time of the other holders of replicas that would go."""
        counts = np.append(self.replicas, 0)[replaced]
        more = np.append(self.load, 0.0)[replaced] / np.maximum(counts - 1, 1)
        more -= self._padded[replaced]
        after = (self._loads[None] + more[:, None]) * self._slowness[None]
        others = self._held[replaced].copy()
        others[np.arange(len(ranks)), ranks] = False
        return np.where(others, after, 0.0).max(axis=1)
