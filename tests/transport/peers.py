"""Peers that send raw frames on a link."""

from collections.abc import Iterable
from typing import Any

import curio

from bluebellrun.core import Address

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, RESET, SETTINGS, PING, CONTINUATION = 0, 1, 3, 4, 6, 9
END_HEADERS = 4
MAX_FRAME_BYTES = 16_384


def frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    """Return an HTTP/2 frame."""
    size = len(payload).to_bytes(3, "big")
    return size + bytes([kind, flags]) + stream.to_bytes(4, "big") + payload


def opening() -> bytes:
    """Return what a peer sends first."""
    return PREFACE + frame(SETTINGS, 0, 0, b"")


def head(path: str) -> bytes:
    """Return the head of a call in HPACK without compression."""
    return b"\x83\x86\x04" + bytes([len(path)]) + path.encode() + b"\x01\x01x"


async def connect(address: Address, pieces: Iterable[bytes]) -> Any:
    """Open a connection and send pieces on it."""
    sock = await curio.open_connection(address.ip, address.port)
    for piece in pieces:
        await sock.sendall(piece)
    return sock


async def is_closed(sock: Any) -> bool:
    """Return whether the other side closes the connection within a second."""
    try:
        async with curio.timeout_after(1.0):
            while await sock.recv(65_536):
                pass
    except curio.TaskTimeout:
        return False
    except OSError:
        return True
    return True
