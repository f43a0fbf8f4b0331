"""The agent's part in orders: the gate in front of an engine.

Some engines ignore fencing numbers, so the gate refuses old orders itself, at the moment of
sending, and has one order in flight. It also settles by the record in the store what a rank
that has joined, or holds a step for too long, cannot know.
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

    A passing refusal may be followed by the same order later.
    """

    reason: str
    fencing: int
    transient: bool = False


@dataclass(frozen=True, slots=True)
class AbortChange:
    """Write the record without its undecided change, if it has not changed meanwhile."""

    record: GroupRecord


@dataclass(frozen=True, slots=True)
class SendEngineOrder:
    """Give the engine an order that follows from the record."""

    content: EngineOrder


Settlement = AbortChange | SendEngineOrder


class OrderGate:
    """Admit orders to one engine."""

    def __init__(self) -> None:
        self._fencing = 0
        self._change = 0
        self._closed = 0
        self._started = False
        self._in_flight: str | None = None

    @property
    def fencing(self) -> int:
        """Return the highest fencing number seen."""
        return self._fencing

    @property
    def started(self) -> bool:
        """Return whether the record has been read since this agent began."""
        return self._started

    @property
    def in_flight(self) -> str | None:
        """Return the action whose order the engine is being sent, or none."""
        return self._in_flight

    def observe_record(self, record: GroupRecord) -> None:
        """Take a record that was read."""
        self._started = True
        self._fencing = max(self._fencing, record.fencing)
        self._change = max(self._change, record.latest)
        if record.change is None:
            self._closed = max(self._closed, record.latest)

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
        """Check an order at the moment of sending and note that it is in flight."""
        refusal = self.check(order)
        if self._started:
            self._fencing = max(self._fencing, order.fencing)
        if refusal is None:
            self._change = max(self._change, _change_of(order.content))
            if isinstance(order.content, ReleaseHold):
                self._closed = max(self._closed, order.content.version)
            self._in_flight = order.action
        return refusal

    def recheck(self, order: Order) -> Refusal | None:
        """Return why an order that was begun may no longer be sent, or none."""
        if order.fencing < self._fencing:
            return self._refuse(f"fencing number {order.fencing} is older than {self._fencing}")
        return None

    def end(self) -> None:
        """Note that no order is in flight any more."""
        self._in_flight = None

    def settle(
        self, state: EngineState, record: GroupRecord, hold_timed_out: bool
    ) -> Settlement | None:
        """Return what the record asks of an engine that joined or holds a step.

        ``hold_timed_out`` says that a hold has lasted too long for its coordinator to be alive.
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

        A release names a change that was aborted, which stays true, so it is never too old.
        """
        version = _change_of(order.content)
        if version == 0 or isinstance(order.content, ReleaseHold):
            return None
        if version < self._change:
            return self._refuse(f"change {version} is older than {self._change}")
        if version <= self._closed:
            return self._refuse(f"change {version} is over")
        return None

    def _refuse(self, reason: str, transient: bool = False) -> Refusal:
        """Return a refusal."""
        return Refusal(reason, self._fencing, transient)


def has_effect(order: Order, state: EngineState) -> bool:
    """Return whether an order would still change an engine; if not, it is not sent again."""
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
            return state.learned and not state.knows(version) and not _holds_as_late(state, content)
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


def _holds_as_late(state: EngineState, order: HoldStep) -> bool:
    """Return whether an engine holds before the same or a later step for the same change."""
    hold = state.hold
    return hold is not None and hold.version == order.version and hold.step >= order.step


def _change_of(content: EngineOrder) -> int:
    """Return the change of map an order belongs to, 0 for others."""
    match content:
        case PrepareMap() | HoldStep() | ActivateMap() | ReleaseHold():
            return content.version
    return 0


def _adoption(record: GroupRecord, state: EngineState) -> SendEngineOrder:
    """Return the order by which a rank that joined learns its map."""
    change: MapChange | None = record.change
    following = None if change is None else ActivateMap(change.version, change.step)
    return SendEngineOrder(AdoptMap(record.active, state.epoch, following))
