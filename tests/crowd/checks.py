"""What must hold of a process while a crowd of callers stays open."""

import resource
import subprocess
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from itertools import chain, cycle

import curio

from bluebellrun.core import Address
from tests.crowd.callers import (
    MEGABYTE,
    Body,
    endless,
    in_chunks,
    many_headers,
    open_descriptors,
    peak_memory,
    repeated,
    request_head,
    request_pieces,
    resident_memory,
    start_crowd,
    stay_open,
    whole,
)

# How long a crowd sends before the ordinary request; the largest takes under two seconds.
CROWD_S = 6.0
CROWD = 60
# A head is small beside a body; still far fewer callers than a process accepts.
HEADERS_CROWD = 240
SAMPLES, SAMPLE_S = 15, 0.1
BIG_CHUNK, TINY_CHUNK = 65_536, 4


def crowds(size: int) -> dict[str, Callable[[], Body]]:
    """Return the kinds of callers by name, for a server that takes bodies of ``size`` bytes."""
    return {
        "whole": lambda: whole(size),
        "large chunks": lambda: in_chunks(size, BIG_CHUNK),
        "tiny chunks": lambda: in_chunks(size, TINY_CHUNK),
        "announced over the limit": lambda: endless(1_000 * size),
        "sent over the limit": lambda: endless(None),
    }


REQUEST_ID = "X-Bluebellrun-Request-Id: crowd\r\n"

Pieces = Callable[[], Iterator[bytes]]


def pipelines(
    path: str, slow_path: str, max_header_bytes: int, own_headers: str = REQUEST_ID
) -> dict[str, Pieces]:
    """Return kinds of callers by name that send whole requests, and read no answer.

    The server answers ``path`` at once and ``slow_path`` late.
    """
    headers = own_headers + many_headers(max_header_bytes)

    def complete(target: str, more: str = own_headers) -> bytes:
        return request_head(target, Body(iter(()), 0), more)

    return {
        "unread answers": lambda: repeated(complete(path)),
        "requests behind a slow one": lambda: chain(
            [complete(slow_path)], repeated(complete(path))
        ),
        "many headers, body cut": lambda: request_pieces(path, whole(10), headers),
        "many headers, slow": lambda: iter([complete(slow_path, headers)]),
    }


def crowd_of(kind: str) -> int:
    """Return how many callers a crowd of one of the ``pipelines`` has."""
    return HEADERS_CROWD if "headers" in kind else CROWD


def all_kinds(
    path: str, bodies: dict[str, Callable[[], Body]], others: dict[str, Pieces]
) -> list[Pieces]:
    """Return all kinds of callers that send bodies, and others."""

    def pieces(body: Callable[[], Body]) -> Iterator[bytes]:
        return request_pieces(path, body())

    return [*others.values(), *(partial(pieces, body) for body in bodies.values())]


async def check_crowd(
    process: "subprocess.Popen[bytes]",
    address: Address,
    path: str,
    body: Callable[[], Body],
    memory_bytes: int,
    ordinary: Callable[[], Awaitable[bool]],
) -> None:
    """Check memory and an ordinary request while callers send bodies and stay open."""
    kinds = [lambda: request_pieces(path, body())]
    await check_pieces(process, address, kinds, memory_bytes, ordinary)


async def check_pieces(
    process: "subprocess.Popen[bytes]",
    address: Address,
    kinds: list[Pieces],
    memory_bytes: int,
    ordinary: Callable[[], Awaitable[bool]],
    crowd: int = CROWD,
) -> None:
    """Check memory and an ordinary request while callers of some kinds, in turn, stay open."""
    callers = [kind() for kind, _ in zip(cycle(kinds), range(crowd), strict=False)]
    group = await start_crowd(address, callers)
    try:
        await curio.sleep(CROWD_S)
        answered = await ordinary()
        _check_process(process, memory_bytes)
        assert answered, "the ordinary request was not answered"
    finally:
        await group.cancel_remaining()
        await group.join()


async def check_descriptors(
    process: "subprocess.Popen[bytes]",
    address: Address,
    data: bytes,
    connections: int,
    max_fds: int,
    ordinary: Callable[[], Awaitable[bool]],
    keep: Callable[[Address, Iterator[bytes]], Awaitable[None]] = stay_open,
) -> None:
    """Check the open descriptors while more connections stay open than the process may have.

    Each sends ``data`` and is kept open by ``keep``.
    """
    group = curio.TaskGroup()
    for _ in range(connections):
        await group.spawn(keep, address, iter([data]))
    try:
        before = await _most_descriptors(process.pid)
        answered = await ordinary()
        held = max(before, await _most_descriptors(process.pid))
        print(f"descriptors {held} of {max_fds}")
        assert process.poll() is None, "the process has ended"
        assert held <= max_fds
        assert answered, "the ordinary request was not answered"
    finally:
        await group.cancel_remaining()
        await group.join()


@contextmanager
def descriptor_limit(count: int) -> Iterator[None]:
    """Limit the descriptors of the processes that are started meanwhile."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


async def _most_descriptors(pid: int) -> int:
    """Return the most descriptors that a process has open within some time."""
    most = 0
    for _ in range(SAMPLES):
        most = max(most, open_descriptors(pid))
        await curio.sleep(SAMPLE_S)
    return most


def _check_process(process: "subprocess.Popen[bytes]", memory_bytes: int) -> None:
    assert process.poll() is None, "the process has ended"
    peak = peak_memory(process.pid)
    resident = resident_memory(process.pid)
    print(f"peak {peak / MEGABYTE:.0f} MB, resident {resident / MEGABYTE:.0f} MB")
    assert max(peak, resident) <= memory_bytes
