"""What a caller has not taken yet of its answers: written by one task, bounded, and charged.

An upstream cuts off an answer that stays unread, so its bytes are read ahead of a slow caller.
"""

import time
from collections import deque
from typing import Any

import curio
from curio.io import WantRead, WantWrite

from bluebellrun.http._caller_wait import CallerWait, ClosedForOthersError
from bluebellrun.http._exchange import CallerGoneError
from bluebellrun.http._memory_gate import NoMemoryError

# More than this waits for the caller: a stream's whole answer of some thousand tokens has as much.
MAX_AHEAD_BYTES = 262_144


class Outgoing:
    """Writes the bytes of a connection in order."""

    def __init__(self, sock: Any, wait: CallerWait) -> None:
        self._socket = sock
        self._wait = wait
        self._pieces: deque[memoryview] = deque()
        self._ahead = 0
        self._error: CallerGoneError | None = None
        self._writer: Any = None
        # Set while the writer has bytes, and whoever adds more may have to wait.
        self._moved = curio.Event()

    async def write(self, data: bytes, timeout_s: float) -> None:
        """Write bytes, or keep them until the caller takes them; wait if too many are kept.

        Raises ``CallerGoneError`` if the caller is gone or takes no bytes for ``timeout_s``.
        """
        if self._error is not None:
            raise self._error
        sent = 0
        if not self._pieces:
            try:
                sent = self._socket._socket.send(data)
            except (*WantWrite, *WantRead):
                sent = 0
            except OSError as error:
                raise CallerGoneError(str(error)) from error
        if sent < len(data):
            await self._keep(memoryview(data)[sent:], timeout_s)

    async def flush(self) -> None:
        """Wait until all bytes are written; raise ``CallerGoneError`` if they cannot be."""
        await self._wait_for(0)

    async def close(self) -> None:
        """End the writer, before its socket is closed."""
        if self._writer is not None:
            await self._writer.cancel()

    async def _keep(self, rest: memoryview, timeout_s: float) -> None:
        """Keep bytes for the writer; wait while too many are kept."""
        try:
            await self._wait.acquire_held(len(rest))
        except NoMemoryError:
            raise CallerGoneError("the caller takes no bytes while memory is short") from None
        self._ahead += len(rest)
        if self._error is not None:
            # The writer gave up meanwhile: nothing may follow what it did not write.
            self._take(len(rest))
            raise self._error
        self._pieces.append(rest)
        if self._writer is None:
            # The caller has taken all that was sent before.
            self._wait.restart(time.monotonic())
            self._writer = await curio.spawn(self._write_all, timeout_s, daemon=True)
        await self._wait_for(MAX_AHEAD_BYTES)

    async def _wait_for(self, bound: int) -> None:
        """Wait until no more bytes than the bound are kept."""
        while self._ahead > bound:
            self._moved.clear()
            await self._moved.wait()
        if self._error is not None:
            raise self._error

    async def _write_all(self, timeout_s: float) -> None:
        """Write what is kept until nothing is left."""
        try:
            while self._pieces:
                await self._write_piece(self._pieces[0], timeout_s)
                self._pieces.popleft()
        except curio.TaskTimeout:
            self._error = CallerGoneError("the caller takes no bytes")
        except ClosedForOthersError:
            self._error = CallerGoneError("the caller takes no bytes while memory is short")
        except OSError as error:
            self._error = CallerGoneError(str(error))
        finally:
            self._pieces.clear()
            self._take(self._ahead)
            self._writer = None
            await self._moved.set()

    async def _write_piece(self, rest: memoryview, timeout_s: float) -> None:
        """Write one piece; the connection may be closed while its caller takes nothing."""
        task = await curio.current_task()
        while rest:
            self._wait.begin(task)
            try:
                async with curio.timeout_after(timeout_s):
                    sent = await self._socket.send(rest)
            finally:
                self._wait.end()
            rest = rest[sent:]
            self._wait.record_progress(sent, time.monotonic())
            self._take(sent)
            await self._moved.set()

    def _take(self, sent: int) -> None:
        """Hold less by the bytes that were sent."""
        self._ahead -= sent
        self._wait.resize(max(0, self._wait.size - sent), time.monotonic())
