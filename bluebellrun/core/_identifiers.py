"""Identifiers of requests, attempts and process incarnations, and network addresses."""

from dataclasses import dataclass
from functools import lru_cache
from typing import NewType

RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
Incarnation = NewType("Incarnation", str)

MAX_PORT = 65_535
# Digits of the largest whole number that is read from outside: those of 64 bits.
MAX_DIGITS = 20
NUMBER_CACHE_SIZE = 8_192


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``IP:PORT``."""
        return f"{self.ip}:{self.port}"


@lru_cache(maxsize=NUMBER_CACHE_SIZE)
def is_whole_number(text: str) -> bool:
    """Return whether a text is a whole number that ``int`` reads: some digits are none to it.

    More digits than any number of the project has are not read: that takes time, or is refused.
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def parse_address(text: str) -> Address:
    """Read ``IP:PORT``; raise ``ValueError`` that names the bad value."""
    ip, separator, port = text.rpartition(":")
    if not separator or not ip or not is_whole_number(port) or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} is not an address; write IP:PORT, such as 127.0.0.1:8080")
    return Address(ip, int(port))


def new_request_id() -> RequestId:
    """Return a request id that is unique and sorts by time of creation."""
    return RequestId(_new_ulid())


def new_incarnation() -> Incarnation:
    """Return an id for one life of a process; a later life sorts after an earlier one."""
    return Incarnation(_new_ulid())


def attempt_id(request: RequestId, number: int) -> AttemptId:
    """Return the id of a request's numbered try, counted from 1."""
    return AttemptId(f"{request}.{number}")


def _new_ulid() -> str:
    """Return a new ULID; the library is loaded at the first use, as serving needs it rarely."""
    from ulid import ULID

    return str(ULID())
