"""What the key-value service keeps of a group: the map in force and the change in progress."""

from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from bluebellrun.groups._exceptions import GroupError


class ChangePhase(StrEnum):
    """How far a change of map has come; an aborted or finished one is no longer recorded."""

    PREPARING = "preparing"
    COMMITTED = "committed"


class InvalidTransitionError(GroupError):
    """A record was asked for a transition that its phase does not allow."""


@dataclass(frozen=True, slots=True)
class MapChange:
    """A change to the map ``version``; ``step`` is its first step, once committed."""

    version: int
    digest: str
    phase: ChangePhase = ChangePhase.PREPARING
    step: int = 0


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """The map in force, the number for the next one, and the change in progress.

    ``fencing`` is that of the coordinator that last took the record over.
    """

    active: int
    next_version: int
    fencing: int = 0
    change: MapChange | None = None

    @property
    def preparing(self) -> bool:
        """Return whether a change may still be aborted."""
        return self.change is not None and self.change.phase is ChangePhase.PREPARING

    @property
    def latest(self) -> int:
        """Return the number of the latest change that was begun."""
        return self.next_version - 1

    def taken_over(self, fencing: int) -> "GroupRecord":
        """Return the record in the hands of a newer coordinator."""
        if fencing < self.fencing:
            raise InvalidTransitionError(f"fencing number {fencing} is older than {self.fencing}")
        return replace(self, fencing=fencing)

    def begun(self, digest: str) -> "GroupRecord":
        """Return the record with a new change in progress."""
        if self.change is not None:
            raise InvalidTransitionError(f"change {self.change.version} is in progress")
        change = MapChange(self.next_version, digest)
        return replace(self, change=change, next_version=self.next_version + 1)

    def committed(self, step: int) -> "GroupRecord":
        """Return the record with the change in force from a step on."""
        change = self._preparing()
        decided = replace(change, phase=ChangePhase.COMMITTED, step=step)
        return replace(self, change=decided)

    def aborted(self) -> "GroupRecord":
        """Return the record without the change that was in progress."""
        self._preparing()
        return replace(self, change=None)

    def finished(self) -> "GroupRecord":
        """Return the record after all ranks have confirmed a committed change."""
        if self.change is None or self.change.phase is not ChangePhase.COMMITTED:
            raise InvalidTransitionError("no committed change to finish")
        return replace(self, active=self.change.version, change=None)

    def _preparing(self) -> MapChange:
        """Return the change, which must not be decided yet."""
        if self.change is None or self.change.phase is not ChangePhase.PREPARING:
            raise InvalidTransitionError("no undecided change")
        return self.change


def encode_record(record: GroupRecord) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> GroupRecord:
    """Read a record; raise ``GroupError`` when it is malformed."""
    try:
        return msgspec.json.decode(data, type=GroupRecord)
    except msgspec.MsgspecError as error:
        raise GroupError(f"the group's record is malformed: {error}") from error
