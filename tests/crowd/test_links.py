"""Crowds of peers outside the protocol at the links of an entry and an agent."""

import struct
from collections.abc import Callable, Iterator
from functools import partial
from itertools import count, repeat

import curio
import pytest

from bluebellrun.core import Address, parse_address
from bluebellrun.distribution import fetch_status
from bluebellrun.http import ConnectError
from bluebellrun.transport import LinkLostError, LinkTiming
from standins.fleet import FleetProcess, LocalFleet
from tests.crowd.callers import MEGABYTE, SENT_AT_ONCE
from tests.crowd.checks import check_descriptors, check_pieces, descriptor_limit
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
ENOUGH_DESCRIPTORS, MAX_DESCRIPTORS = 1_024, 240
LINKS = 300
PING_S = 0.5
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


async def keep_pinging(address: Address, data: Iterator[bytes]) -> None:
    """Keep a link alive without calls; read no answer."""
    try:
        sock = await curio.open_connection(address.ip, address.port)
        async with sock:
            for piece in data:
                await sock.sendall(piece)
            while True:
                await curio.sleep(PING_S)
                await sock.sendall(frame(PING, 0, 0, bytes(8)))
    except OSError:
        return


def start_role(fleet: LocalFleet, role: str, descriptors: int) -> FleetProcess:
    """Start an entry or an agent, with what it needs, and wait until it is ready."""
    fleet.start_platform()
    fleet.declare([{"kind": "service", "name": SERVICE, "protocol": "plain"}])
    fleet.start_plain("plain-1")
    with descriptor_limit(descriptors):
        if role == "agent":
            return fleet.start_agent("jobs-1", SERVICE, "plain-1", "--protocol", "plain")
        process = fleet.start_entry("entry-1")
    fleet.wait_ready("entry-1")
    return process


async def answers(address: Address) -> bool:
    """Return whether a new link is accepted and its call answered."""
    timing = LinkTiming(ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S)
    try:
        await fetch_status(address, timing, timeout_s=ROUTE_TIMEOUT_S)
    except (ConnectError, LinkLostError):
        return False
    return True


# Guards: a peer that sent control frames without a pause kept a process from all other work, and
# nothing bounded what a process read from its peers.
@pytest.mark.parametrize("role", ["entry", "agent"])
@pytest.mark.parametrize("kind", [*KINDS, "all together"])
def test_a_crowd_of_peers_leaves_memory_and_room_for_an_ordinary_call(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, role: str, kind: str
) -> None:
    # By the environment: a build that does not know the setting ignores it.
    monkeypatch.setenv("BLUEBELLRUN_MEMORY_MB", str(MEMORY_MB))
    process = start_role(fleet, role, ENOUGH_DESCRIPTORS)
    address = links_of(process)
    kinds = [KINDS[kind]] if kind in KINDS else list(KINDS.values())
    memory = MEMORY_MB * MEGABYTE
    ordinary = partial(answers, address)
    curio.run(check_pieces, process.process, address, kinds, memory, ordinary)


# Guards: an entry and an agent accepted 4,096 links however few descriptors they had.
@pytest.mark.parametrize("role", ["entry", "agent"])
def test_links_without_calls_leave_descriptors_for_an_ordinary_call(
    fleet: LocalFleet, role: str
) -> None:
    process = start_role(fleet, role, MAX_DESCRIPTORS)
    address = links_of(process)

    async def check() -> None:
        await check_descriptors(
            process.process,
            address,
            opening(),
            LINKS,
            MAX_DESCRIPTORS,
            partial(answers, address),
            keep_pinging,
        )

    curio.run(check)
