"""Writes the frames of a link to its socket."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bluebellrun.transport._exceptions import LinkLostError


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

    @property
    def bytes_sent(self) -> int:
        """Return how many bytes have been sent."""
        return self._bytes_sent

    async def flush(self) -> None:
        """Wake the writer to send the pending frames."""
        await self._frames_ready.set()

    async def close(self) -> None:
        """Let the writer end."""
        self._closed = True
        await self._frames_ready.set()

    async def run(self) -> None:
        """Write frames as they become ready, until closed."""
        while not self._closed:
            await self._frames_ready.wait()
            self._frames_ready.clear()
            try:
                data = self._protocol.data_to_send()
                await self._socket.sendall(data)
                self._bytes_sent += len(data)
            except OSError as error:
                await self._on_error(LinkLostError(str(error)))
