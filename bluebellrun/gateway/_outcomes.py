"""The outcome of one attempt of a request at an upstream."""

from dataclasses import dataclass

from bluebellrun.gateway._models import UpstreamAnswer


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream did not run the request."""

    reason: str
    unreachable: bool = False
    had_slots: bool = False


@dataclass(frozen=True, slots=True)
class NotSent:
    """The request was not sent: after the choice of the upstream, it may get no requests."""

    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run; its answer is unknown or incomplete.

    ``ended_by_peer`` tells that the upstream closed or reset the connection.
    """

    reason: str
    ended_by_peer: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """The upstream answered that it failed; the answer is complete."""

    answer: UpstreamAnswer
    body: bytes


@dataclass(frozen=True, slots=True)
class Moved:
    """The stream was ended here to resume at another upstream; that attempt is granted."""

    reason: str = "the upstream is slow and holds up its group"


@dataclass(frozen=True, slots=True)
class Done:
    """The caller has the complete answer."""

    status: int


Outcome = Declined | NotSent | Lost | Failed | Moved | Done
