"""The agent's checks of orders to an engine.

Some engines ignore fencing numbers, so the gate refuses outdated orders itself when they are
sent, and allows one order in flight. It also resolves from the stored record the state of a rank
that has joined the group, or that has held a step for too long.
"""

from dataclasses import dataclass

from bluebellrun.groups._orders import (
    ActivateMap,
    AdoptMap,
    ChangeRole,
    EngineOrder,
    EngineState,
    HoldStep,
    LoadAdapter,
    LoadVersion,
    Order,
    PrepareMap,
    ReleaseHold,
)
from bluebellrun.groups._record import ChangePhase, GroupRecord, MapChange


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an order was not sent; ``fencing`` is the highest number the gate has seen.

    After a transient refusal the same order may be sent again.
    """

    reason: str
    fencing: int
    transient: bool = False


@dataclass(frozen=True, slots=True)
class AbortChange:
    """Write the record without its undecided change, unless it was changed concurrently."""

    record: GroupRecord


@dataclass(frozen=True, slots=True)
class SendEngineOrder:
    """Send the engine an order derived from the record."""

    content: EngineOrder


Settlement = AbortChange | SendEngineOrder


class OrderGate:
    """Checks the orders to one engine."""

    def __init__(self) -> None:
        self._fencing = 0
        self._change = 0
        self._last_closed = 0
        self._started = False
        self._in_flight: str | None = None

    @property
    def fencing(self) -> int:
        """Return the highest fencing number seen."""
        return self._fencing

    @property
    def started(self) -> bool:
        """Return whether the record has been read since this agent started."""
        return self._started

    @property
    def in_flight(self) -> str | None:
        """Return the action whose order the engine is being sent, or none."""
        return self._in_flight

    def observe_record(self, record: GroupRecord) -> None:
        """Update the gate from a record that was read."""
        self._started = True
        self._fencing = max(self._fencing, record.fencing)
        self._change = max(self._change, record.latest)
        if record.change is None:
            self._last_closed = max(self._last_closed, record.latest)

    def start(self, fencing: int) -> None:
        """Begin with the highest fencing number recorded, for an engine without a group."""
        self._started = True
        self._fencing = max(self._fencing, fencing)

    def check(self, order: Order) -> Refusal | None:
        """Return why an order may not be sent now, or none."""
        if not self._started:
            return self._refuse("the agent has not read the fencing number yet", transient=True)
        if order.fencing < self._fencing:
            return self._refuse(f"fencing number {order.fencing} is older than {self._fencing}")
        if self._in_flight is not None:
            return self._refuse(f"action {self._in_flight} is in flight", transient=True)
        return self._check_change(order)

    def begin(self, order: Order) -> Refusal | None:
        """Check an order just before sending and mark it as in flight."""
        refusal = self.check(order)
        if self._started:
            self._fencing = max(self._fencing, order.fencing)
        if refusal is None:
            self._change = max(self._change, _map_version(order.content))
            if isinstance(order.content, ReleaseHold):
                self._last_closed = max(self._last_closed, order.content.version)
            self._in_flight = order.action
        return refusal

    def recheck(self, order: Order) -> Refusal | None:
        """Return why an order in flight may no longer be sent, or none."""
        if order.fencing < self._fencing:
            return self._refuse(f"fencing number {order.fencing} is older than {self._fencing}")
        return None

    def end(self) -> None:
        """Mark that no order is in flight."""
        self._in_flight = None

    def settle(
        self, state: EngineState, record: GroupRecord, hold_timed_out: bool
    ) -> Settlement | None:
        """Return the action that the record requires for an engine that joined or holds a step.

        ``hold_timed_out`` means that a hold has lasted so long that its coordinator has failed.
        """
        self.observe_record(record)
        if not state.learned:
            return AbortChange(record.aborted()) if record.preparing else _adoption(record, state)
        if state.hold is None:
            return None
        change = record.change
        if change is None or change.version != state.hold.version:
            return SendEngineOrder(ReleaseHold(state.hold.version))
        if change.phase is ChangePhase.COMMITTED:
            return SendEngineOrder(ActivateMap(change.version, change.step))
        return AbortChange(record.aborted()) if hold_timed_out else None

    def _check_change(self, order: Order) -> Refusal | None:
        """Return why an order belongs to a change that is over, or none.

        A release refers to an aborted change, which never becomes valid, so it is never outdated.
        """
        version = _map_version(order.content)
        if version == 0 or isinstance(order.content, ReleaseHold):
            return None
        if version < self._change:
            return self._refuse(f"change {version} is older than {self._change}")
        if version <= self._last_closed:
            return self._refuse(f"change {version} is over")
        return None

    def _refuse(self, reason: str, transient: bool = False) -> Refusal:
        """Return a refusal."""
        return Refusal(reason, self._fencing, transient)


def has_effect(order: Order, state: EngineState) -> bool:
    """Return whether an order would still change an engine; otherwise it is not resent."""
    if order.action in state.actions:
        return False
    content = order.content
    match content:
        case AdoptMap():
            return not state.learned
        case PrepareMap(version, digest):
            prepared = state.prepared == version and state.prepared_digest == digest
            return state.learned and not prepared and not state.knows(version)
        case HoldStep(version):
            return (
                state.learned
                and not state.knows(version)
                and not _holds_same_or_later(state, content)
            )
        case ActivateMap(version):
            return state.learned and not state.knows(version)
        case ReleaseHold(version):
            return state.hold is not None and state.hold.version == version
        case LoadVersion(model, name):
            return f"{model}@{name}" not in state.versions
        case LoadAdapter(name):
            return name not in state.adapters
        case ChangeRole(role):
            return state.role is not role


def _holds_same_or_later(state: EngineState, order: HoldStep) -> bool:
    """Return whether an engine holds before the same or a later step for the same change."""
    hold = state.hold
    return hold is not None and hold.version == order.version and hold.step >= order.step


def _map_version(content: EngineOrder) -> int:
    """Return the version of the map change that an order belongs to, 0 for other orders."""
    match content:
        case PrepareMap() | HoldStep() | ActivateMap() | ReleaseHold():
            return content.version
    return 0


def _adoption(record: GroupRecord, state: EngineState) -> SendEngineOrder:
    """Return the order that informs a joining rank of its map."""
    change: MapChange | None = record.change
    following = None if change is None else ActivateMap(change.version, change.step)
    return SendEngineOrder(AdoptMap(record.active, state.epoch, following))
