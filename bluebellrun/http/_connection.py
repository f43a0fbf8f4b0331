"""One connection from a caller: reads its requests and writes their answers.

What is held for it is charged to the process's memory budget, and what a turn of the loop spends
on it is bounded.
"""

import json
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import curio
import h11
from curio.traps import _read_wait

from bluebellrun.core import new_request_id
from bluebellrun.http._caller_wait import CallerWait
from bluebellrun.http._exchange import CallerGoneError
from bluebellrun.http._listener import has_hung_up, is_readable
from bluebellrun.http._memory_gate import MemoryGate
from bluebellrun.http._models import HttpLimits, HttpRequest, encode_headers
from bluebellrun.http._outgoing import Outgoing
from bluebellrun.http._request_reader import READ_SIZE, RequestReader
from bluebellrun.http._work import WorkLimit

LINGER_S = 0.5
# What is read of a refused request so that its caller reads the refusal: a socket's usual buffer.
LINGER_BYTES = 262_144
# What is read of the requests that a caller sends before it has its answer; the rest stays in the
# socket.
MAX_EARLY_BYTES = 65_536
EARLY_READ_SIZE = 4_096
# Interval of looking for a hang-up, and for room, while early bytes stay in the socket.
EARLY_BYTES_POLL_S = 0.1


class Connection:
    """The state of one connection from a caller."""

    def __init__(
        self,
        sock: Any,
        limits: HttpLimits,
        closing: Callable[[], bool],
        memory: MemoryGate,
        work: WorkLimit,
    ) -> None:
        self._socket = sock
        self._limits = limits
        self._closing = closing
        self._wait = CallerWait(memory)
        self._outgoing = Outgoing(sock, self._wait)
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._served = 0
        self._ends = False
        # Bytes that have been read of requests after the current one.
        self._early_bytes = 0
        # Bytes of an answer that are collected before the first of them is sent.
        self._collected = 0
        self._reader = RequestReader(sock, self._protocol, limits, self._wait, work, self.send)

    @property
    def limits(self) -> HttpLimits:
        """Return the limits on the next request."""
        return self._limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._limits = self._reader.limits = limits

    @property
    def waits_since(self) -> float | None:
        """Return since when nothing has moved, if a request or an answer waits for the caller."""
        if not self._wait.is_on or self._reader.idle_task is not None:
            return None
        return max(self._reader.began_at, self._wait.moved_at)

    @property
    def has_requests_ahead(self) -> bool:
        """Return whether the caller has sent more than the request that is being answered."""
        return self._early_bytes > 0

    def closes_after_answer(self) -> bool:
        """Return whether the server ends this connection after the answer."""
        return self._ends or self._closing()

    def end_after_answer(self) -> None:
        """End this connection with its next answer."""
        self._ends = True

    async def finish_writing(self) -> None:
        """Let the caller take what is kept of its last answer."""
        async with curio.ignore_after(LINGER_S):
            try:
                await self._outgoing.flush()
            except CallerGoneError:
                return
        if self._ends:
            # Closing a socket with unread bytes would discard the answer on its way.
            await self._linger()

    async def close(self) -> None:
        """Give up what is held, before the socket is closed."""
        try:
            await self._outgoing.close()
        finally:
            self._wait.close()

    async def end_idle(self) -> bool:
        """End a connection that waits for a request of which no byte has arrived."""
        if is_readable(self._socket):
            return False
        task = self._reader.idle_task
        if task is None:
            return False
        await task.cancel(blocking=False)
        return True

    async def close_stalled(self, reason: str) -> None:
        """Close the connection while it waits for its caller."""
        await self._wait.close_stalled(reason)

    async def read_request(self, on_bytes: Callable[[], None]) -> HttpRequest:
        """Read one request with its body; ``on_bytes`` is called as its first bytes arrive."""
        return await self._reader.read(on_bytes, is_first=not self._served)

    async def send(self, event: Any) -> None:
        """Send one h11 event; raise ``CallerGoneError`` if the caller takes no bytes.

        A bounded part is kept for a caller that is slow to take it, see ``flush``.
        """
        data = self._protocol.send(event)
        if not data:
            return
        await self._outgoing.write(data, self._limits.write_timeout_s)

    def collect(self, size: int) -> bool:
        """Hold the first ``size`` bytes of an answer; return false if there is no room."""
        held = self._wait.size - self._collected
        if not self._wait.resize(held + size, time.monotonic(), is_answer=True):
            return False
        self._collected = size
        return True

    async def flush(self) -> None:
        """Wait until the caller has taken all that was sent; raise ``CallerGoneError`` if not."""
        await self._outgoing.flush()

    async def refuse(
        self,
        status: int,
        detail: str,
        retry_after_s: int | None = None,
        outcome: str = "not_run",
    ) -> None:
        """Answer a request that was not accepted, then close gently."""
        request_id = new_request_id()
        problem = {
            "type": "about:blank",
            "title": HTTPStatus(status).phrase,
            "status": status,
            "detail": detail,
            "outcome": outcome,
            "request_id": request_id,
        }
        body = json.dumps(problem).encode()
        headers = [
            ("content-type", "application/problem+json"),
            ("content-length", str(len(body))),
            ("connection", "close"),
            ("request-id", request_id),
        ]
        if retry_after_s is not None:
            headers.append(("retry-after", str(retry_after_s)))
        self._wait.release()
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            await self.send(h11.Response(status_code=status, headers=encode_headers(headers)))
            await self.send(h11.Data(data=body))
            await self.send(h11.EndOfMessage())
            await self._outgoing.flush()
            await self._linger()
        except (CallerGoneError, h11.LocalProtocolError):
            return

    async def wait_until_gone(self) -> None:
        """Return when the caller closes its side while an answer is being made."""
        self._early_bytes = self._reader.unparsed_bytes
        while True:
            await _read_wait(self._socket._fileno)
            size = min(EARLY_READ_SIZE, MAX_EARLY_BYTES - self._early_bytes)
            # The bytes are charged before they are read: every connection may have as many.
            if size <= 0 or not self._wait.resize(self._wait.size + size, time.monotonic()):
                if has_hung_up(self._socket):
                    return
                await curio.sleep(EARLY_BYTES_POLL_S)
                continue
            try:
                data = await self._socket.recv(size)
            except OSError:
                return
            if not data:
                return
            self._early_bytes += len(data)
            self._wait.resize(self._wait.size - size + len(data), time.monotonic())
            self._protocol.receive_data(data)

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        self._collected = 0
        self._served += 1
        if self._wait.size:
            self._wait.resize(self._reader.unparsed_bytes, time.monotonic())
        return True

    async def _linger(self) -> None:
        """Discard what the caller still sends, so that it can read its answer."""
        left = LINGER_BYTES
        async with curio.ignore_after(LINGER_S):
            try:
                while left > 0 and (data := await self._socket.recv(READ_SIZE)):
                    left -= len(data)
                    await curio.sleep(0)
            except OSError:
                return
