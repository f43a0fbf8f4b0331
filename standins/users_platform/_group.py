"""A group of ranks that follows the rules of orders, and notes a pass begun with mixed maps."""

from dataclasses import dataclass, field, replace
from random import Random

from bluebellrun.placement import (
    ArmMap,
    ClaimRank,
    HoldPass,
    PrepareMap,
    RankOrder,
    RankState,
    ReleasePass,
)

ACCEPTED, CONFLICT, FENCED, LOST = "accepted", "conflict", "fenced", "lost"


@dataclass
class FakeGroup:
    """Ranks in lock-step; orders may be lost, or carried out some turns later."""

    size: int
    random: Random
    lost: float = 0.0
    late: float = 0.0
    states: dict[int, RankState] = field(default_factory=dict)
    fences: dict[int, int] = field(default_factory=dict)
    maps: dict[int, dict[int, object]] = field(default_factory=dict)
    pending: list[tuple[int, int, RankOrder, int]] = field(default_factory=list)
    turn: int = 0
    mixed: list[str] = field(default_factory=list)
    waited: int = 0

    def __post_init__(self) -> None:
        for rank in range(self.size):
            self.states[rank] = _first_state(rank, self.size, 1)
            self.maps[rank] = {0: None}

    def send_order(self, rank: int, order: RankOrder, fence: int) -> str:
        """Take an order, lose it, or carry it out later."""
        chance = self.random.random()
        if chance < self.lost:
            return LOST
        if chance < self.lost + self.late:
            self.pending.append((self.turn + self.random.randint(1, 60), rank, order, fence))
            return LOST
        return self.carry_out(rank, order, fence)

    def carry_out(self, rank: int, order: RankOrder, fence: int) -> str:
        """Carry an order out as a rank does."""
        if fence < self.fences.get(rank, 0):
            return FENCED
        self.fences[rank] = fence
        state = self.states[rank]
        match order:
            case ClaimRank():
                return ACCEPTED
            case PrepareMap(version, placement):
                if state.prepared == version:
                    return ACCEPTED
                if version <= max(self.maps[rank]) or state.armed_step is not None:
                    return CONFLICT
                self.maps[rank][version] = placement
                self.states[rank] = replace(state, prepared=version)
            case HoldPass(step):
                if state.step >= step or state.held not in (None, step):
                    return CONFLICT
                self.states[rank] = replace(state, held=step)
            case ArmMap(version, step):
                if state.prepared != version or state.step >= step:
                    return CONFLICT
                self.states[rank] = replace(state, armed_version=version, armed_step=step)
            case ReleasePass(step):
                if state.held == step:
                    self.states[rank] = replace(state, held=None)
        return ACCEPTED

    def begin_pass(self) -> None:
        """Carry out late orders that are due, then begin the next pass unless it is held."""
        self.turn += 1
        for due in [item for item in self.pending if item[0] <= self.turn]:
            self.pending.remove(due)
            self.carry_out(*due[1:])
        step = self.states[0].step + 1
        if any(state.held == step for state in self.states.values()):
            self.waited += 1
            return
        for rank, state in self.states.items():
            if state.armed_step == step and state.armed_version is not None:
                state = replace(
                    state, active=state.armed_version, armed_step=None, armed_version=None
                )
            self.states[rank] = replace(state, step=step)
        in_use = {(s.active, self.maps[r][s.active]) for r, s in self.states.items()}
        if len(in_use) > 1:
            self.mixed.append(f"pass {step}: versions {sorted(v for v, _ in in_use)}")

    def form_again(self) -> None:
        """Form the group in a new epoch, as after a rank was gone."""
        epoch = self.states[0].epoch + 1
        for rank in range(self.size):
            self.states[rank] = _first_state(rank, self.size, epoch)
            self.maps[rank] = {0: None}
        self.fences.clear()


def _first_state(rank: int, size: int, epoch: int) -> RankState:
    """Return the state of a rank whose group has just formed."""
    return RankState(
        rank=rank, size=size, group="g", epoch=epoch, born=1, is_open=True, step=0, active=0
    )
