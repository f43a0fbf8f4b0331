"""The stored record of a group: its active map and the map change in progress."""

from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from bluebellrun.groups._exceptions import GroupError


class ChangePhase(StrEnum):
    """The phase of a map change in progress; aborted and finished changes are not recorded."""

    PREPARING = "preparing"
    COMMITTED = "committed"


class InvalidTransitionError(GroupError):
    """The record's phase or fencing number does not allow the transition."""


@dataclass(frozen=True, slots=True)
class MapChange:
    """A change to map ``version``; once committed, ``step`` is the first step that uses it."""

    version: int
    digest: str
    phase: ChangePhase = ChangePhase.PREPARING
    step: int = 0


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """The version of the active map, the next version, and the change in progress.

    ``fencing`` is the fencing number of the last coordinator that took the record over. ``digest``
    is that of the active map; it is empty for the first one, which assigns experts to ranks in
    order.
    """

    active: int
    next_version: int
    fencing: int = 0
    change: MapChange | None = None
    digest: str = ""

    @property
    def preparing(self) -> bool:
        """Return whether a change is in progress that may still be aborted."""
        return self.change is not None and self.change.phase is ChangePhase.PREPARING

    @property
    def latest(self) -> int:
        """Return the version of the latest change that was started."""
        return self.next_version - 1

    def taken_over(self, fencing: int) -> "GroupRecord":
        """Return the record after a coordinator with this fencing number has taken it over."""
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
        """Return the record with the change committed, to be used from ``step`` on."""
        change = self._preparing()
        committed_change = replace(change, phase=ChangePhase.COMMITTED, step=step)
        return replace(self, change=committed_change)

    def aborted(self) -> "GroupRecord":
        """Return the record without the change that was in progress."""
        self._preparing()
        return replace(self, change=None)

    def finished(self) -> "GroupRecord":
        """Return the record with the committed change active, once all ranks have confirmed it."""
        if self.change is None or self.change.phase is not ChangePhase.COMMITTED:
            raise InvalidTransitionError("no committed change to finish")
        return replace(self, active=self.change.version, change=None, digest=self.change.digest)

    def _preparing(self) -> MapChange:
        """Return the change; raise ``InvalidTransitionError`` unless it is being prepared."""
        if self.change is None or self.change.phase is not ChangePhase.PREPARING:
            raise InvalidTransitionError("no undecided change")
        return self.change


def encode_record(record: GroupRecord) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> GroupRecord:
    """Return a record from JSON; raise ``GroupError`` when it is malformed."""
    try:
        return msgspec.json.decode(data, type=GroupRecord)
    except msgspec.MsgspecError as error:
        raise GroupError(f"the group's record is malformed: {error}") from error
