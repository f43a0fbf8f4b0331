"""Member rows and states."""

from enum import StrEnum

import msgspec


class MemberState(StrEnum):
    """A member's state; only the member itself sets ``leaving``."""

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
    """The known state of one member.

    ``epoch`` numbers the incarnations of the process; ``counter`` is raised by the member alone, to
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
        """Return the precedence among rows of one member: the greater one wins."""
        return (self.epoch, self.counter, STATE_PRECEDENCE[self.state])

    def supersedes(self, other: "MemberRow | None") -> bool:
        """Return whether this row is newer than another of the same member."""
        return other is None or self.precedence > other.precedence

    def with_state(self, state: MemberState) -> "MemberRow":
        """Return the row with another state."""
        return msgspec.structs.replace(self, state=state)
