"""Callers outside the limits: requests that never end, and what they make a process hold."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import repeat
from pathlib import Path

import curio

from bluebellrun.core import Address

HOST = "h.example"
KILOBYTE, MEGABYTE = 1_024, 1_000_000
SENT_AT_ONCE = 65_536
RECONNECT_S = 0.01


@dataclass(frozen=True)
class Body:
    """A request's body in pieces as they are sent; ``length`` is what its head announces."""

    pieces: Iterator[bytes]
    length: int | None = None


def whole(size: int, missing: int = 1) -> Body:
    """Return a body of an announced length whose last bytes are not sent."""
    return Body(_plain(size - missing), size)


def in_chunks(size: int, chunk: int) -> Body:
    """Return a chunked body that stops a byte before the end of its last chunk."""
    framed = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    at_once = max(1, SENT_AT_ONCE // len(framed))
    count, rest = divmod(size // chunk - 1, at_once)
    pieces = [framed * at_once] * count + [framed * rest, framed[:-3]]
    return Body(iter(pieces))


def endless(length: int | None) -> Body:
    """Return a body without an end, of an announced length or chunked."""
    piece = b"x" * SENT_AT_ONCE
    framed = piece if length is not None else b"%x\r\n%b\r\n" % (len(piece), piece)
    return Body(iter(lambda: framed, b""), length)


def _plain(size: int) -> Iterator[bytes]:
    piece = b"x" * SENT_AT_ONCE
    for _ in range(size // SENT_AT_ONCE):
        yield piece
    yield piece[: size % SENT_AT_ONCE]


def request_head(path: str, body: Body, headers: str = "") -> bytes:
    """Return the head of a request with a body; each of the headers ends with its line."""
    framing = "Transfer-Encoding: chunked"
    if body.length is not None:
        framing = f"Content-Length: {body.length}"
    return f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}{framing}\r\n\r\n".encode()


def many_headers(max_header_bytes: int) -> str:
    """Return as many headers as fit into most of the bytes that a head may have."""
    count = max_header_bytes * 3 // 4 // len("a000:b\r\n")
    return "".join(f"a{number:03}:b\r\n" for number in range(count))


def repeated(request: bytes) -> Iterator[bytes]:
    """Return one whole request after the other without an end."""
    return repeat(request * (SENT_AT_ONCE // len(request)))


async def stay_open(address: Address, data: Iterator[bytes]) -> None:
    """Send as much as the server takes, then keep the connection open without reading."""
    try:
        sock = await curio.open_connection(address.ip, address.port)
    except OSError:
        return
    async with sock:
        try:
            for piece in data:
                await sock.sendall(piece)
        except OSError:
            return
        await curio.sleep(3_600)


async def keep_asking(address: Address, data: Iterator[bytes]) -> None:
    """Send the same request without an end and read no answer; connect again when closed."""
    request = b"".join(data)
    while True:
        try:
            sock = await curio.open_connection(address.ip, address.port)
            async with sock:
                for piece in repeated(request):
                    await sock.sendall(piece)
        except OSError:
            await curio.sleep(RECONNECT_S)


async def leave_at_once(address: Address, data: Iterator[bytes]) -> None:
    """Connect, send a request and leave, again and again."""
    request = b"".join(data)
    while True:
        try:
            sock = await curio.open_connection(address.ip, address.port)
            async with sock:
                await sock.sendall(request)
        except OSError:
            await curio.sleep(RECONNECT_S)


def request_pieces(path: str, body: Body, headers: str = "") -> Iterator[bytes]:
    """Return a request in pieces as they are sent."""
    yield request_head(path, body, headers)
    yield from body.pieces


async def start_crowd(address: Address, callers: list[Iterator[bytes]]) -> curio.TaskGroup:
    """Start callers that send pieces; the group's tasks go on until they are cancelled."""
    group = curio.TaskGroup()
    for pieces in callers:
        await group.spawn(stay_open, address, pieces)
    return group


def peak_memory(pid: int) -> int:
    """Return the most bytes of memory that a process has held."""
    return _status_bytes(pid, "VmHWM")


def resident_memory(pid: int) -> int:
    """Return the bytes of memory that a process holds."""
    return _status_bytes(pid, "VmRSS")


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


def _status_bytes(pid: int, name: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) * KILOBYTE
    raise LookupError(name)
