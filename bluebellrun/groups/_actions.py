"""The record of an engine's latest action, written before its order is sent."""

from enum import StrEnum

import msgspec

from bluebellrun.groups._exceptions import GroupError
from bluebellrun.groups._gate import has_effect
from bluebellrun.groups._orders import EngineState, Order


class ActionState(StrEnum):
    """Progress of an action."""

    SENT = "sent"
    DONE = "done"
    FAILED = "failed"


class ActionRecord(msgspec.Struct, frozen=True):
    """The latest action of one engine. ``SENT`` means that the order may be in flight."""

    order: Order
    state: ActionState = ActionState.SENT
    reason: str = ""

    @property
    def settled(self) -> bool:
        """Return whether another action may begin."""
        return self.state is not ActionState.SENT

    def taken_over(self, fencing: int) -> "ActionRecord":
        """Return the record with a newer coordinator's fencing number and the same action."""
        order = msgspec.structs.replace(self.order, fencing=fencing)
        return msgspec.structs.replace(self, order=order)

    def with_engine_state(self, state: EngineState | None, failure: str) -> "ActionRecord":
        """Return the record updated from the engine's state, or from a failed call."""
        reported = state.actions.get(self.order.action) if state is not None else None
        if reported == "failed" or (failure and reported is None):
            reason = failure or "the engine says that it failed"
            return msgspec.structs.replace(self, state=ActionState.FAILED, reason=reason)
        if reported == "done" or (reported is None and state and not has_effect(self.order, state)):
            return msgspec.structs.replace(self, state=ActionState.DONE)
        return self


def encode_action(record: ActionRecord) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_action(data: bytes) -> ActionRecord:
    """Read a record; raise ``GroupError`` when it is malformed."""
    try:
        return msgspec.json.decode(data, type=ActionRecord)
    except msgspec.MsgspecError as error:
        raise GroupError(f"the record of an action is malformed: {error}") from error
