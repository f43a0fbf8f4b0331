"""Decode the registrations of upstreams."""

import msgspec

from bluebellrun.core import parse_address
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


_decoder = msgspec.json.Decoder(_Registration)


class RegistrationError(Exception):
    """A registration does not describe a usable upstream."""


def read_registration(key: str, data: bytes) -> Upstream:
    """Return the registered upstream; raise ``RegistrationError`` if the record is not valid."""
    instance = key.removeprefix(UPSTREAM_KEY_PREFIX)
    try:
        record = _decoder.decode(data)
        address = parse_address(record.addr)
    except (msgspec.DecodeError, ValueError) as error:
        raise RegistrationError(f"{key} cannot be read: {error}") from error
    if not instance or record.state not in ("ready", "draining") or record.slots < 1:
        raise RegistrationError(f"{key} has state {record.state!r} and {record.slots} slots")
    return Upstream(
        instance=instance,
        service=record.service,
        address=address,
        failure_domain=record.zone,
        slots=record.slots,
        leaving=record.state == "draining",
        started_ms=record.born,
    )
