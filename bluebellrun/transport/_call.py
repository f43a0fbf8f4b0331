"""A bidirectional streaming call on a link.

Each message has gRPC's five-byte prefix: a flag and the length in bytes.
"""

import struct
from collections import deque
from typing import Protocol

import curio

from bluebellrun.transport._exceptions import LinkLostError

MAX_MESSAGE_BYTES = 16_777_216
MESSAGE_PREFIX = struct.Struct(">BI")


class CallTransport(Protocol):
    """The operations that a call needs from its link."""

    async def send_data(self, call: "Call", data: bytes) -> None:
        """Send bytes on a call's stream within the peer's flow control window."""

    async def end_stream(self, call: "Call") -> None:
        """End this side of a call."""

    async def reset_stream(self, call: "Call") -> None:
        """Reset a call's stream."""

    async def acknowledge(self, call: "Call", count: int) -> None:
        """Return the credit for consumed bytes to the peer's flow control window."""


class Call:
    """A call that streams messages in both directions until each side ends."""

    def __init__(self, link: CallTransport, stream_id: int, path: str) -> None:
        self._link = link
        self._stream_id = stream_id
        self._path = path
        self._partial = bytearray()
        self._charged = 0
        self._inbox: deque[bytes] = deque()
        self._receive_ready = curio.Event()
        self._ended = False
        self._error: Exception | None = None
        self._window_updated = curio.Event()
        self._send_lock = curio.Lock()

    @property
    def path(self) -> str:
        """Return the method's path, such as ``/bluebellrun.Agent/Fate``."""
        return self._path

    @property
    def stream_id(self) -> int:
        """Return the id of the call's HTTP/2 stream."""
        return self._stream_id

    @property
    def charged(self) -> int:
        """Return how many bytes the link's memory is charged for this call."""
        return self._charged

    @property
    def error(self) -> Exception | None:
        """Return the error that ended the call, or none."""
        return self._error

    async def send(self, message: bytes) -> None:
        """Send one message; wait while the peer's flow control window is full."""
        async with self._send_lock:
            await self._link.send_data(self, MESSAGE_PREFIX.pack(0, len(message)) + message)

    def charge(self, size: int) -> None:
        """Note that the link's memory is charged more bytes for this call."""
        self._charged += size

    def discharge(self, size: int) -> int:
        """Note that up to ``size`` bytes need no memory any more; return how many were charged."""
        size = min(size, self._charged)
        self._charged -= size
        return size

    async def receive(self) -> bytes | None:
        """Return the next message, or none when the peer has ended its side."""
        while not self._inbox:
            if self._error is not None:
                raise self._error
            if self._ended:
                return None
            self._receive_ready.clear()
            await self._receive_ready.wait()
        message = self._inbox.popleft()
        await self._link.acknowledge(self, len(message) + MESSAGE_PREFIX.size)
        return message

    async def end(self) -> None:
        """End the sending side of a call that this process made."""
        await self._link.end_stream(self)

    async def reset(self) -> None:
        """Reset the call in both directions."""
        await self._link.reset_stream(self)

    async def feed(self, data: bytes) -> None:
        """Add bytes received on the stream and queue the messages they complete.

        Raises ``LinkLostError`` for a message over ``MAX_MESSAGE_BYTES``.
        """
        self._partial += data
        while len(self._partial) >= MESSAGE_PREFIX.size:
            _, length = MESSAGE_PREFIX.unpack_from(self._partial)
            if length > MAX_MESSAGE_BYTES:
                raise LinkLostError(f"a message of {length} bytes is over the limit")
            if len(self._partial) < MESSAGE_PREFIX.size + length:
                return
            self._inbox.append(
                bytes(self._partial[MESSAGE_PREFIX.size : MESSAGE_PREFIX.size + length])
            )
            del self._partial[: MESSAGE_PREFIX.size + length]
            await self._receive_ready.set()

    async def close(self, error: Exception | None) -> None:
        """Mark the peer's side as ended, with an error or normally."""
        self._ended = True
        if self._error is None:
            self._error = error
        await self._receive_ready.set()
        await self._window_updated.set()

    def mark_window_full(self) -> None:
        """Record that the window is full; no ``await`` may separate that check from this call."""
        self._window_updated.clear()

    async def wait_for_window(self) -> None:
        """Wait until the window may have grown or the call ends; raise if it already failed."""
        if self._error is not None:
            raise self._error
        await self._window_updated.wait()

    async def notify_window_update(self) -> None:
        """Wake a sender that waits for the peer's window to grow."""
        await self._window_updated.set()
