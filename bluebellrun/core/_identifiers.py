"""Identifiers of requests, attempts and process incarnations, and network addresses."""

from dataclasses import dataclass
from functools import lru_cache
from typing import NewType

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
Incarnation = NewType("Incarnation", str)

MAX_PORT = 65_535
# An unsigned 64-bit integer has at most 20 decimal digits.
MAX_DIGITS = 20
NUMBER_CACHE_SIZE = 8_192


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``IP:PORT``."""
        return f"{self.ip}:{self.port}"


@lru_cache(maxsize=NUMBER_CACHE_SIZE)
def is_whole_number(text: str) -> bool:
    """Return whether a text is a non-negative integer in ASCII digits.

    Non-ASCII digits are excluded because ``int`` does not parse all of them. Longer texts than any
    number in use are excluded because ``int`` is slow on them or refuses them.
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raise ``ValueError`` naming the invalid value."""
    ip, separator, port = text.rpartition(":")
    if not separator or not ip or not is_whole_number(port) or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not an address; write IP:PORT, such as 127.0.0.1:8080")
    return Address(ip, int(port))


def new_request_id() -> RequestId:
    """Return a request id that is unique and sorts by time of creation."""
    return RequestId(_new_ulid())


def new_incarnation() -> Incarnation:
    """Return an id for one incarnation of a process; ids sort by time of creation."""
    return Incarnation(_new_ulid())


def attempt_id(request: RequestId, number: int) -> AttemptId:
    """Return the id of a request's attempt; attempts are numbered from 1."""
    return AttemptId(f"{request}.{number}")


def _new_ulid() -> str:
    """Return a new ULID; the library is imported on first use, as serving rarely needs it."""
    from ulid import ULID

    return str(ULID())
