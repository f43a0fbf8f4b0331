"""What became of one send of a request to an upstream."""

from dataclasses import dataclass

from bluebellrun.gateway._models import UpstreamAnswer


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream did not run the request."""

    reason: str
    unreachable: bool = False
    had_places: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run; its answer is not known or not whole."""

    reason: str


@dataclass(frozen=True, slots=True)
class Failed:
    """The upstream answered that it failed; the answer is whole."""

    answer: UpstreamAnswer
    body: bytes


@dataclass(frozen=True, slots=True)
class Moved:
    """The stream was ended here to go on at another upstream; that send is granted."""

    reason: str = "the upstream is slow and holds up its group"


@dataclass(frozen=True, slots=True)
class Done:
    """The caller has the whole answer."""

    status: int


Outcome = Declined | Lost | Failed | Moved | Done
