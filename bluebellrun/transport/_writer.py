"""Writes the frames of a link to its socket."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bluebellrun.transport._exceptions import LinkLostError

# A peer that takes no bytes for so long is given up.
WRITE_STALL_S = 10.0
# Senders wait while so many bytes of messages are unsent, however large the peer's windows are.
MAX_UNSENT_BYTES = 262_144


class FrameWriter:
    """The only task that writes to a link's socket.

    So cancelling a caller never truncates a frame.
    """

    def __init__(
        self, sock: Any, protocol: Any, on_error: Callable[[LinkLostError], Awaitable[None]]
    ) -> None:
        self._socket = sock
        self._protocol = protocol
        self._on_error = on_error
        self._frames_ready = curio.Event()
        self._closed = False
        self._bytes_sent = 0
        # Bytes of messages that the protocol holds, and bytes taken from it, that are not sent.
        self._queued = 0
        self._unsent = 0
        self._sent = curio.Event()

    @property
    def bytes_sent(self) -> int:
        """Return how many bytes have been sent."""
        return self._bytes_sent

    @property
    def is_full(self) -> bool:
        """Return whether senders have to wait for bytes to be sent."""
        return not self._closed and self._queued + self._unsent > MAX_UNSENT_BYTES

    def queue(self, size: int) -> None:
        """Record that the protocol holds more bytes of a message."""
        self._queued += size

    async def wait_for_progress(self) -> None:
        """Wait until bytes are sent or the writer is closed."""
        self._sent.clear()
        await self.flush()
        await self._sent.wait()

    async def flush(self) -> None:
        """Wake the writer to send the pending frames."""
        await self._frames_ready.set()

    async def close(self) -> None:
        """Let the writer end."""
        self._closed = True
        await self._frames_ready.set()
        await self._sent.set()

    async def run(self) -> None:
        """Write frames as they become ready, until closed."""
        while not self._closed:
            await self._frames_ready.wait()
            self._frames_ready.clear()
            try:
                await self._write_pending()
            except OSError as error:
                await self._on_error(LinkLostError(str(error)))
            except curio.TaskTimeout:
                await self._on_error(LinkLostError(f"the peer read nothing for {WRITE_STALL_S} s"))

    async def _write_pending(self) -> None:
        """Write what the protocol holds, as long as the peer takes bytes from time to time."""
        rest = memoryview(self._protocol.data_to_send())
        self._queued, self._unsent = 0, len(rest)
        while rest:
            async with curio.timeout_after(WRITE_STALL_S):
                sent = await self._socket.send(rest)
            self._bytes_sent += sent
            rest = rest[sent:]
            self._unsent = len(rest)
            await self._sent.set()
