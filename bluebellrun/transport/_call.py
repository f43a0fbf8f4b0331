"""One call on a link: messages in both directions until each side ends.

A message travels behind gRPC's five-byte prefix: a flag and the length in bytes.
"""

import struct
from collections import deque
from typing import Protocol

import curio

from bluebellrun.transport._exceptions import LinkLostError

MAX_MESSAGE_BYTES = 16_777_216
PREFIX = struct.Struct(">BI")


class CallTransport(Protocol):
    """What a call asks of the link that carries it."""

    async def send_data(self, call: "Call", data: bytes) -> None:
        """Send bytes on a call's stream within the peer's window."""

    async def end_stream(self, call: "Call") -> None:
        """End this side of a call."""

    async def reset_stream(self, call: "Call") -> None:
        """Give up a call."""

    async def acknowledge(self, call: "Call", count: int) -> None:
        """Let the peer send as many bytes again as were consumed."""


class Call:
    """One call on a link: messages in both directions until each side ends."""

    def __init__(self, link: CallTransport, stream_id: int, path: str) -> None:
        self._link = link
        self._stream_id = stream_id
        self._path = path
        self._partial = bytearray()
        self._inbox: deque[bytes] = deque()
        self._arrived = curio.Event()
        self._ended = False
        self._error: Exception | None = None
        self._window_opened = curio.Event()
        self._sending = curio.Lock()

    @property
    def path(self) -> str:
        """Return the method's path, such as ``/bluebellrun.Agent/Fate``."""
        return self._path

    @property
    def stream_id(self) -> int:
        """Return the HTTP/2 stream the call runs on."""
        return self._stream_id

    @property
    def error(self) -> Exception | None:
        """Return why the call failed, or none."""
        return self._error

    async def send(self, message: bytes) -> None:
        """Send one message; wait while the peer's window is full."""
        async with self._sending:
            await self._link.send_data(self, PREFIX.pack(0, len(message)) + message)

    async def receive(self) -> bytes | None:
        """Return the next message, or none when the peer has ended its side."""
        while not self._inbox:
            if self._error is not None:
                raise self._error
            if self._ended:
                return None
            self._arrived.clear()
            await self._arrived.wait()
        message = self._inbox.popleft()
        await self._link.acknowledge(self, len(message) + PREFIX.size)
        return message

    async def end(self) -> None:
        """End this side of a call made by this process."""
        await self._link.end_stream(self)

    async def reset(self) -> None:
        """Give up the call in both directions."""
        await self._link.reset_stream(self)

    async def feed(self, data: bytes) -> None:
        """Take bytes that arrived on the stream."""
        self._partial += data
        while len(self._partial) >= PREFIX.size:
            _, length = PREFIX.unpack_from(self._partial)
            if length > MAX_MESSAGE_BYTES:
                raise LinkLostError(f"a message of {length} bytes is over the limit")
            if len(self._partial) < PREFIX.size + length:
                return
            self._inbox.append(bytes(self._partial[PREFIX.size : PREFIX.size + length]))
            del self._partial[: PREFIX.size + length]
            await self._arrived.set()

    async def close(self, error: Exception | None) -> None:
        """Mark the peer's side as ended, with an error or in peace."""
        self._ended = True
        if self._error is None:
            self._error = error
        await self._arrived.set()
        await self._window_opened.set()

    def mark_window_full(self) -> None:
        """Note that the peer allows no more bytes, as seen in the same step."""
        self._window_opened.clear()

    async def wait_for_window(self) -> None:
        """Wait until the peer allows more bytes or the call ends."""
        if self._error is not None:
            raise self._error
        await self._window_opened.wait()

    async def notify_window_update(self) -> None:
        """Wake a sender that waits for the peer's window."""
        await self._window_opened.set()
