"""Decode the registrations of upstreams."""

import socket

import msgspec

from bluebellrun.core import Address, DecodingError, decode, parse_address
from bluebellrun.gateway import Upstream
from bluebellrun.platform._names import UPSTREAM_KEY_PREFIX


class _Registration(msgspec.Struct):
    """An upstream's own record in the store; its instance is part of the key."""

    service: str
    addr: str
    zone: str
    state: str
    slots: int
    born: int = 0
    cold_left_ms: float = 0


_decoder = msgspec.json.Decoder(_Registration)


# More than any engine's batch.
MAX_SLOTS = 1_000_000
# Starts are exchanged as 64-bit numbers.
MAX_START_MS = (1 << 63) - 1
MAX_REASON = 200
MILLISECOND_S = 0.001


class RegistrationError(Exception):
    """A registration does not describe a usable upstream."""


def _address(text: str) -> Address:
    """Parse an IP address and a port that can be connected to; raise ``ValueError``."""
    address = parse_address(text)
    try:
        socket.inet_pton(socket.AF_INET, address.ip)
    except (OSError, ValueError) as error:
        raise ValueError(f"{text!r} has no IPv4 address") from error
    if address.port == 0:
        raise ValueError(f"{text!r} has port 0")
    return address


def read_registration(key: str, data: bytes) -> Upstream:
    """Return the registered upstream; raise ``RegistrationError`` if the record is not valid."""
    instance = key.removeprefix(UPSTREAM_KEY_PREFIX)
    try:
        record = decode(_decoder, data)
        address = _address(record.addr)
    except (DecodingError, ValueError) as error:
        raise RegistrationError(f"{key} cannot be read: {str(error)[:MAX_REASON]}") from error
    if not instance or record.state not in ("ready", "draining"):
        raise RegistrationError(f"{key} has state {record.state[:MAX_REASON]!r}")
    if not 1 <= record.slots <= MAX_SLOTS or not 0 <= record.born <= MAX_START_MS:
        raise RegistrationError(f"{key} has {record.slots} slots and started at {record.born} ms")
    return Upstream(
        instance=instance,
        service=record.service,
        address=address,
        failure_domain=record.zone,
        slots=record.slots,
        leaving=record.state == "draining",
        started_ms=record.born,
        cold_left_s=max(0.0, record.cold_left_ms) * MILLISECOND_S,
    )
