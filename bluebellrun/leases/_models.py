"""A lease on a role, and the record of its holder in the key-value service."""

from dataclasses import dataclass

import msgspec

from bluebellrun.leases._exceptions import LeaseError, LeaseLostError


@dataclass(frozen=True, slots=True)
class RoleLease:
    """The right to act for a role until a deadline.

    ``number`` is the fencing number: it is greater with every acquisition, for good, and goes
    with each order given in the role's name. ``deadline`` is a reading of the holder's monotonic
    clock in seconds; it counts from before the request was sent, so it passes before the
    service gives the role to another process.
    """

    role: str
    holder: str
    number: int
    deadline: float

    def valid(self, now: float) -> bool:
        """Return whether the role may be acted for at this reading of the clock."""
        return now < self.deadline

    def check(self, now: float) -> None:
        """Raise ``LeaseLostError`` unless the role may be acted for now."""
        if not self.valid(now):
            raise LeaseLostError(self.role, self.holder, now - self.deadline)


class RoleRecord(msgspec.Struct, frozen=True):
    """Who holds a role; the nonce tells two acquisitions by one process apart."""

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
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise LeaseError(f"the record of a role reads {data[:100]!r}: {error}") from error
