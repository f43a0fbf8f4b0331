"""The messages by which entries ask each other for permits to send to limited upstreams."""

from enum import Enum

import msgspec

from bluebellrun.core import DecodingError, decode
from bluebellrun.gateway._peers import LimitReport


class PermitOutcome(Enum):
    """The outcome of a request for a permit."""

    GRANTED = "granted"
    DENIED = "denied"
    UNANSWERED = "unanswered"


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="permit-request"):
    """An entry asks for a permit to send one request, and reports the limit that it knows.

    ``cold_left_s`` is how much longer it takes the upstream for cold.
    """

    number: int
    entry: str
    limit: LimitReport
    cold_left_s: float = 0.0


class PermitReply(msgspec.Struct, frozen=True, array_like=True, tag="permit-reply"):
    """The owner's reply; ``wait_s`` is the time until a permit may be available."""

    number: int
    granted: bool
    wait_s: float


PermitMessage = PermitRequest | PermitReply
_decoder = msgspec.msgpack.Decoder(PermitMessage)


def decode_permit_message(data: bytes) -> PermitMessage | None:
    """Read a datagram; none if it is no valid message about a permit."""
    try:
        return decode(_decoder, data)
    except DecodingError:
        return None
