"""Crowds of peers outside the protocol at the links of an entry and an agent."""

import struct
from collections.abc import Callable, Iterator
from itertools import count, repeat

import curio
import pytest

from bluebellrun.core import Address, parse_address
from bluebellrun.distribution import fetch_status
from bluebellrun.http import ConnectError
from bluebellrun.transport import LinkLostError, LinkTiming
from standins.fleet import FleetProcess, LocalFleet
from tests.crowd.callers import MEGABYTE, SENT_AT_ONCE
from tests.crowd.checks import check_pieces
from tests.gateway.processes import ROUTE_TIMEOUT_S
from tests.transport.peers import (
    CONTINUATION,
    DATA,
    END_HEADERS,
    HEADERS,
    MAX_FRAME_BYTES,
    PING,
    RESET,
    SETTINGS,
    frame,
    head,
    opening,
)

MEMORY_MB = 160
SERVICE = "job-ledger"
MESSAGE_BYTES = 1_000_000
STREAMS = 60
CALLS = 1_000
HEAD = head("/unknown")


def many(one: bytes) -> bytes:
    return one * (SENT_AT_ONCE // len(one))


def pings() -> Iterator[bytes]:
    yield opening()
    yield from repeat(many(frame(PING, 0, 0, bytes(8))))


def settings() -> Iterator[bytes]:
    yield opening()
    yield from repeat(many(frame(SETTINGS, 0, 0, b"")))


def resets() -> Iterator[bytes]:
    yield opening()
    for stream in count(1, 2):
        yield frame(HEADERS, END_HEADERS, stream, HEAD) + frame(RESET, 0, stream, bytes(4))


def endless_head() -> Iterator[bytes]:
    yield opening() + frame(HEADERS, 0, 1, HEAD)
    yield from repeat(frame(CONTINUATION, 0, 1, bytes(MAX_FRAME_BYTES)))


def unfinished_messages() -> Iterator[bytes]:
    """Send the beginnings of long messages, as many as the link's windows allow."""
    yield opening()
    for stream in range(1, 2 * STREAMS, 2):
        yield frame(HEADERS, END_HEADERS, stream, HEAD)
        yield frame(DATA, 0, stream, struct.pack(">BI", 0, MESSAGE_BYTES))
        for _ in range(MESSAGE_BYTES // MAX_FRAME_BYTES):
            yield frame(DATA, 0, stream, bytes(MAX_FRAME_BYTES))


def open_calls() -> Iterator[bytes]:
    """Begin calls to which no message follows, answer nothing and keep the link alive."""
    yield opening()
    for stream in range(1, 2 * CALLS, 2):
        yield frame(HEADERS, END_HEADERS, stream, HEAD)


def silence() -> Iterator[bytes]:
    yield opening()


KINDS: dict[str, Callable[[], Iterator[bytes]]] = {
    "pings": pings,
    "settings": settings,
    "resets": resets,
    "endless head": endless_head,
    "unfinished messages": unfinished_messages,
    "open calls": open_calls,
    "silence": silence,
}


def links_of(process: FleetProcess) -> Address:
    """Return where an entry, or an agent, listens for links."""
    for line in process.log_lines():
        if line.get("event") == "ready" and "links" in line:
            return parse_address(str(line["links"]))
    return process.address


# Guards: a peer that sent control frames without a pause kept a process from all other work, and
# nothing bounded what a process read from its peers.
@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("kind", [*KINDS, "all together"])
def test_a_crowd_of_peers_leaves_memory_and_room_for_an_ordinary_call(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, role: str, kind: str
) -> None:
    # By the environment: a build that does not know the setting ignores it.
    monkeypatch.setenv("BLUEBELLRUN_MEMORY_MB", str(MEMORY_MB))
    fleet.start_platform()
    fleet.declare([{"kind": "service", "name": SERVICE, "protocol": "plain"}])
    fleet.start_plain("plain-1")
    if role == "agent":
        process = fleet.start_agent("jobs-1", SERVICE, "plain-1", "--protocol", "plain")
    else:
        process = fleet.start_entry("entry-1")
        fleet.wait_ready("entry-1")
    address = links_of(process)

    async def ordinary() -> bool:
        timing = LinkTiming(ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S)
        try:
            await fetch_status(address, timing, timeout_s=ROUTE_TIMEOUT_S)
        except (ConnectError, LinkLostError):
            return False
        return True

    kinds = [KINDS[kind]] if kind in KINDS else list(KINDS.values())
    memory = MEMORY_MB * MEGABYTE
    curio.run(check_pieces, process.process, address, kinds, memory, ordinary)
