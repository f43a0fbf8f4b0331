"""What members say of themselves and of each other."""

from enum import StrEnum

import msgspec


class MemberState(StrEnum):
    """What is believed of a member; ``leaving`` is its own word."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


STATE_PRECEDENCE = {
    MemberState.LIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.GONE: 3,
}


class MemberRow(msgspec.Struct, frozen=True):
    """One member as it is believed to be.

    ``epoch`` numbers the lives of the process; ``counter`` is raised by the member alone, to
    refute a suspicion or to say that it is leaving. ``leaving`` stays set while it is suspect.
    """

    name: str
    role: str
    host: str
    region: str
    failure_domain: str
    address: str
    epoch: int
    counter: int = 0
    state: MemberState = MemberState.LIVE
    leaving: bool = False

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Return what decides between two rows of one member: the greater one wins."""
        return (self.epoch, self.counter, STATE_PRECEDENCE[self.state])

    def supersedes(self, other: "MemberRow | None") -> bool:
        """Return whether this row is newer than another of the same member."""
        return other is None or self.precedence > other.precedence

    def with_state(self, state: MemberState) -> "MemberRow":
        """Return the row with another state."""
        return msgspec.structs.replace(self, state=state)
