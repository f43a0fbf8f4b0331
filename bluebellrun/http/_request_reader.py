"""Reads requests from a connection: a head, then the whole body, within limits.

What is read is charged to the process's memory budget, and the work of each turn of the loop is
bounded: a caller that sends small pieces does not keep the others waiting.
"""

import re
import time
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Any, NoReturn

import curio
import h11

from bluebellrun.http._caller_wait import CallerWait, ClosedForOthersError
from bluebellrun.http._exchange import CallerGoneError
from bluebellrun.http._memory import SMALL_BYTES
from bluebellrun.http._memory_gate import NoMemoryError
from bluebellrun.http._models import HttpLimits, HttpRequest, decode_headers
from bluebellrun.http._work import WorkLimit

READ_SIZE = 65_536
# The beginning of a body that comes with its head is in memory before there is room for the body.
HEAD_READ_SIZE = SMALL_BYTES
LEAST_READ_SIZE = 4_096
BAD_REQUEST = 400
UNAVAILABLE = 503
REQUEST_TIMEOUT = 408
PAYLOAD_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# A head arrives in a few reads; after more of them, pauses let its bytes gather.
MAX_HEAD_READS = 32
HEAD_READ_PAUSE_S = 0.01
# What a parsed header takes beside its name and value, and how much of a head is not charged:
# connections of usual callers hold as much.
HEADER_COST_BYTES = 256
FREE_HEAD_BYTES = 8_192
# Chunks of a byte are sent in six bytes; what is far over that only makes work.
MAX_FRAMING = 8
# What a turn of the loop that reads some bytes costs, beside parsing them.
READ_COST_S = 0.000_05
NO_MEMORY_RETRY_S = 1

_HEAD_END = re.compile(rb"\n\r?\n")


class BadRequestError(Exception):
    """A request that cannot be accepted, and the status that says why."""

    def __init__(self, status: int, detail: str, retry_after_s: int | None = None) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.retry_after_s = retry_after_s


class _Turn(Enum):
    """How a turn of parsing a body ended."""

    WHOLE = auto()
    MORE = auto()
    NEEDS_DATA = auto()


class RequestReader:
    """Reads the requests of one connection."""

    def __init__(
        self,
        sock: Any,
        protocol: h11.Connection,
        limits: HttpLimits,
        wait: CallerWait,
        work: WorkLimit,
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        self._socket = sock
        self._protocol = protocol
        self._limits = limits
        self._wait = wait
        self._work = work
        self._send = send
        self._task: Any = None
        self._on_bytes: Callable[[], None] | None = None
        self._pieces = 0
        self._raw_bytes = 0
        self._began_at = 0.0
        self._head_bytes = 0

    @property
    def limits(self) -> HttpLimits:
        """Return the limits on the next request."""
        return self._limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._limits = limits

    @property
    def idle_task(self) -> Any:
        """Return the task that waits for the first byte of a request, if one does."""
        return None if self._on_bytes is None else self._task

    @property
    def began_at(self) -> float:
        """Return when the first bytes of the current request arrived, by the monotonic clock."""
        return self._began_at

    @property
    def unparsed_bytes(self) -> int:
        """Return how many bytes have been read that belong to no request yet."""
        return len(self._protocol.trailing_data[0])

    async def read(self, on_bytes: Callable[[], None], is_first: bool) -> HttpRequest:
        """Read one request with its body; ``on_bytes`` is called as its first bytes arrive.

        Raises ``BadRequestError`` and ``CallerGoneError``.
        """
        self._task = await curio.current_task()
        self._pieces = self._raw_bytes = self._head_bytes = 0
        self._began_at = time.monotonic()
        self._on_bytes = None if self.unparsed_bytes else on_bytes
        if self._on_bytes is None:
            on_bytes()
        limits = self._limits
        head = await self._read_head(limits.header_timeout_s if is_first else limits.idle_timeout_s)
        self._check_size(head)
        length = self._body_length(head)
        headers = decode_headers(head.headers)
        body = await self._read_no_body() if length == 0 else await self._read_body(length)
        return HttpRequest(
            head.method.decode("latin-1"), head.target.decode("latin-1"), headers, body
        )

    async def _read_head(self, timeout_s: float) -> Any:
        """Read the request line and headers within the deadline."""
        try:
            async with curio.timeout_after(timeout_s):
                event = await self._pull_head()
        except curio.TaskTimeout:
            if not self.unparsed_bytes:
                raise CallerGoneError("idle") from None
            self._time_out("the request's headers")
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from None
        except OSError as error:
            raise CallerGoneError(str(error)) from error
        if isinstance(event, h11.Request):
            return event
        raise CallerGoneError("closed between requests")

    async def _pull_head(self) -> Any:
        """Return the head's event, reading from the socket as needed."""
        reads = 0
        while True:
            await self._hold_head()
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            if reads:
                await self._acquire(self.unparsed_bytes)
            if reads > MAX_HEAD_READS:
                await curio.sleep(HEAD_READ_PAUSE_S)
            self._protocol.receive_data(await self._receive(HEAD_READ_SIZE))
            reads += 1

    async def _hold_head(self) -> None:
        """Hold what a head that is complete takes once it is parsed: more than its bytes."""
        data = self._protocol.trailing_data[0]
        end = _HEAD_END.search(data)
        if end is None:
            return
        size = end.end() + HEADER_COST_BYTES * data.count(b"\n", 0, end.end())
        self._head_bytes = max(0, size - FREE_HEAD_BYTES)
        if self._head_bytes:
            await self._acquire(self._head_bytes + len(data))

    def _check_size(self, head: Any) -> None:
        """Refuse headers over the limit, which h11 checks only while they are incomplete."""
        size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
        limit = self._limits.max_header_bytes
        if size > limit:
            raise BadRequestError(HEADERS_TOO_LARGE, f"headers are over {limit} bytes; send less")

    def _body_length(self, head: Any) -> int | None:
        """Return the length of a request's body, none if it is chunked.

        Refuses a request whose length can be read in two ways or is over the limit.
        """
        length, is_chunked = None, False
        for name, value in head.headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                is_chunked = True
        if length is not None and is_chunked:
            raise BadRequestError(
                BAD_REQUEST, "send Content-Length or Transfer-Encoding, not both in one request"
            )
        if length is not None and length > self._limits.max_body_bytes:
            self._refuse_size()
        return None if is_chunked else length or 0

    async def _read_no_body(self) -> bytes:
        """Read the end of a request without a body."""
        if held := self._head_bytes + self.unparsed_bytes:
            await self._acquire(held)
        event = self._protocol.next_event()
        if not isinstance(event, h11.EndOfMessage):
            raise CallerGoneError("closed within a request")
        return b""

    async def _read_body(self, length: int | None) -> bytes:
        """Read the body within the deadline and the size limit."""
        body = bytearray()
        try:
            async with curio.timeout_after(self._limits.body_timeout_s):
                size = SMALL_BYTES if length is None else length
                await self._acquire(self._head_bytes + max(size, self.unparsed_bytes))
                if self._protocol.they_are_waiting_for_100_continue:
                    await self._send(h11.InformationalResponse(status_code=100, headers=[]))
                await self._collect_body(body, length)
            return bytes(body)
        except curio.TaskTimeout:
            self._time_out("the request's body")
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from None
        except OSError as error:
            raise CallerGoneError(str(error)) from error
        finally:
            # Errors keep this frame, and with it the bytes, until the caller has been refused.
            body.clear()

    async def _collect_body(self, body: bytearray, length: int | None) -> None:
        """Append the body's bytes as they arrive."""
        wait = self._wait
        while True:
            before, started = len(body), time.perf_counter()
            turn = self._parse_body(body)
            spent_s = time.perf_counter() - started
            if turn is _Turn.WHOLE:
                return
            wait.record_progress(len(body) - before, time.monotonic())
            room = wait.size - self._head_bytes
            if length is None and len(body) + LEAST_READ_SIZE > room:
                most = self._limits.max_body_bytes + READ_SIZE
                room = min(most, max(2 * room, len(body) + READ_SIZE))
                await self._acquire(self._head_bytes + room)
            pause_s = self._work.pause_s(self._pieces, spent_s + READ_COST_S, time.monotonic())
            if pause_s or turn is _Turn.MORE:
                await curio.sleep(pause_s)
            if turn is _Turn.NEEDS_DATA:
                await self._read_piece(max(LEAST_READ_SIZE, room - len(body)))

    def _parse_body(self, body: bytearray) -> _Turn:
        """Append what one turn parses of the bytes that have arrived."""
        for _ in range(self._work.settings.pieces_per_turn):
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                return _Turn.NEEDS_DATA
            if isinstance(event, h11.EndOfMessage):
                return _Turn.WHOLE
            if not isinstance(event, h11.Data):
                raise CallerGoneError("closed within a request")
            self._pieces += 1
            body += event.data
            if len(body) > self._limits.max_body_bytes:
                self._refuse_size()
        return _Turn.MORE

    async def _read_piece(self, room: int) -> None:
        """Read bytes of a body, at most as many as there is room for."""
        data = await self._receive(min(READ_SIZE, room))
        self._pieces += 1
        self._raw_bytes += len(data)
        if self._raw_bytes > MAX_FRAMING * self._limits.max_body_bytes + READ_SIZE:
            self._refuse_size()
        self._protocol.receive_data(data)

    async def _receive(self, size: int) -> bytes:
        """Return bytes from the socket; the connection may be closed while none arrive."""
        self._wait.begin(self._task)
        try:
            data: bytes = await self._socket.recv(size)
        except ClosedForOthersError:
            data = b""
        finally:
            self._wait.end()
        if self._wait.reason is not None:
            raise BadRequestError(
                REQUEST_TIMEOUT, f"the request did not arrive in time; {self._wait.reason}"
            )
        if len(data) == size:
            # A caller that sends faster than this process reads lets other tasks run.
            await curio.sleep(0)
        if self._on_bytes is not None:
            self._began_at = time.monotonic()
            self._on_bytes()
            self._on_bytes = None
        return data

    async def _acquire(self, size: int) -> None:
        """Hold some bytes for the request that is being read."""
        try:
            await self._wait.acquire(size)
        except NoMemoryError as error:
            raise BadRequestError(UNAVAILABLE, str(error), NO_MEMORY_RETRY_S) from None

    def _refuse_size(self) -> NoReturn:
        limit = self._limits.max_body_bytes
        raise BadRequestError(PAYLOAD_TOO_LARGE, f"the body is over {limit} bytes; send less")

    def _time_out(self, what: str) -> NoReturn:
        raise BadRequestError(REQUEST_TIMEOUT, f"{what} did not arrive in time; send faster")
