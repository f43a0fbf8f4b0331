"""Ranks of a group in lock-step on an expert map: orders, holds and replacement.

A step is made by all ranks together or by none. Each step checks that all ranks use one map.
"""

from dataclasses import dataclass, field

import msgspec

from bluebellrun.groups import (
    ActivateMap,
    AdoptMap,
    ChangeRole,
    EngineState,
    HoldStep,
    LoadAdapter,
    LoadVersion,
    Order,
    PrepareMap,
    ReleaseHold,
    Role,
)


class MixedMapsError(AssertionError):
    """Ranks would have made one step with different maps."""


class OrderRejectedError(Exception):
    """The engine does not carry out an order."""


@dataclass(slots=True)
class RankEngine:
    """One rank. ``fenced`` is whether the engine refuses old fencing numbers by itself."""

    fenced: bool
    life: int = 1
    epoch: int = 0
    alive: bool = True
    learned: bool = True
    active: int = 1
    prepared: int = 0
    prepared_digest: str = ""
    hold: HoldStep | None = None
    following: ActivateMap | None = None
    fencing: int = 0
    versions: list[str] = field(default_factory=list)
    adapters: list[str] = field(default_factory=list)
    role: Role = Role.MIXED
    actions: dict[str, str] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)

    def version_at(self, step: int) -> int:
        """Return the map that this rank uses in a step."""
        if self.following is not None and step >= self.following.step:
            return self.following.version
        return self.active


class LockStepGroup:
    """The ranks of one group and the step they make next."""

    def __init__(self, fenced: list[bool]) -> None:
        self.ranks = [RankEngine(item) for item in fenced]
        self.step = 0
        self.epoch = 0
        self.history: list[int] = []

    def try_step(self) -> bool:
        """Make one step if all ranks are ready; return whether it was made."""
        if not all(self._ready(rank) for rank in self.ranks):
            return False
        used = {rank.version_at(self.step) for rank in self.ranks}
        if len(used) != 1:
            raise MixedMapsError(f"step {self.step} would use the maps {sorted(used)}")
        self.history.append(used.pop())
        for rank in self.ranks:
            self._turn(rank)
        self.step += 1
        return True

    def state(self, number: int) -> EngineState:
        """Return what a rank tells of itself."""
        rank = self.ranks[number]
        return EngineState(
            epoch=rank.epoch,
            step=self.step,
            learned=rank.learned,
            active=rank.version_at(self.step),
            prepared=rank.prepared,
            prepared_digest=rank.prepared_digest,
            hold=rank.hold,
            following=rank.following,
            versions=tuple(rank.versions),
            adapters=tuple(rank.adapters),
            role=rank.role,
            actions=dict(rank.actions),
        )

    def kill(self, number: int) -> None:
        """End a rank; the group makes no step without it."""
        self.ranks[number].alive = False

    def replace(self, number: int) -> None:
        """Put a new engine in a rank's place; all ranks join anew."""
        old = self.ranks[number]
        self.ranks[number] = RankEngine(old.fenced, life=old.life + 1, learned=False, active=0)
        self.epoch += 1
        for rank in self.ranks:
            rank.epoch = self.epoch

    def apply(self, number: int, order: Order) -> None:
        """Carry out an order; raise ``OrderRejectedError`` when it does not fit."""
        rank = self.ranks[number]
        if not rank.alive:
            raise OrderRejectedError("the engine is dead")
        if rank.fenced and order.fencing < rank.fencing:
            raise OrderRejectedError(f"fencing number {order.fencing} is old")
        rank.fencing = max(rank.fencing, order.fencing)
        self._carry_out(rank, order)
        rank.runs[order.action] = rank.runs.get(order.action, 0) + 1
        rank.actions[order.action] = "done"

    def _carry_out(self, rank: RankEngine, order: Order) -> None:
        """Change a rank as an order says."""
        content = order.content
        match content:
            case PrepareMap(version, digest):
                rank.prepared, rank.prepared_digest = version, digest
            case HoldStep(_, step):
                if self.step > step:
                    raise OrderRejectedError(f"step {step} is past")
                rank.hold = content
            case ActivateMap(version, step):
                if rank.prepared != version and rank.active != version:
                    raise OrderRejectedError(f"map {version} is not prepared")
                rank.following, rank.hold = content, None
            case ReleaseHold(version):
                if rank.hold is not None and rank.hold.version == version:
                    rank.hold = None
            case AdoptMap(version, epoch, following):
                if rank.learned or epoch != rank.epoch:
                    raise OrderRejectedError(f"epoch {epoch} is over, or the map is known")
                rank.active, rank.following, rank.learned = version, following, True
            case LoadVersion(model, name):
                rank.versions.append(f"{model}@{name}")
            case LoadAdapter(name, _):
                rank.adapters.append(name)
            case ChangeRole(role):
                rank.role = role

    def _ready(self, rank: RankEngine) -> bool:
        """Return whether a rank would enter the next step."""
        held = rank.hold is not None and self.step >= rank.hold.step
        return rank.alive and rank.learned and not held

    def _turn(self, rank: RankEngine) -> None:
        """Make the following map the active one at its step."""
        if rank.following is not None and self.step >= rank.following.step:
            rank.active, rank.following = rank.following.version, None


def encode_state(state: EngineState) -> bytes:
    """Return a state as JSON."""
    return msgspec.json.encode(state)
