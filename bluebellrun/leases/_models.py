"""A lease on a role, and the holder's record in the key-value store."""

from dataclasses import dataclass

import msgspec

from bluebellrun.core import DecodingError, decode
from bluebellrun.leases._exceptions import LeaseError, LeaseLostError


@dataclass(frozen=True, slots=True)
class RoleLease:
    """The right to act for a role until a deadline.

    ``number`` is the fencing number: it increases with every acquisition, never decreases, and is
    sent with each order given for the role. ``deadline`` is a time of the holder's monotonic
    clock in seconds; it is counted from before the request was sent, so it passes before the
    store can grant the role to another process.
    """

    role: str
    holder: str
    number: int
    deadline: float

    def valid(self, now: float) -> bool:
        """Return whether the holder may act for the role at clock time ``now``."""
        return now < self.deadline

    def check(self, now: float) -> None:
        """Raise ``LeaseLostError`` unless the lease is valid at ``now``."""
        if not self.valid(now):
            raise LeaseLostError(self.role, self.holder, now - self.deadline)


class RoleRecord(msgspec.Struct, frozen=True):
    """The holder of a role; the nonce distinguishes acquisitions by the same process."""

    holder: str
    nonce: str
    lease: int


_decoder = msgspec.json.Decoder(RoleRecord)


def encode_record(record: RoleRecord) -> bytes:
    """Return a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> RoleRecord:
    """Read a record; raise ``LeaseError`` if it is malformed."""
    try:
        return decode(_decoder, data)
    except DecodingError as error:
        raise LeaseError(f"the record of a role reads {data[:100]!r}: {error}") from error
