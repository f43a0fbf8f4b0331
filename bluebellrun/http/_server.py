"""An HTTP/1.1 server: h11 for the protocol, curio for the sockets.

A request's body is read whole, within a limit, before its handler starts. While a handler
runs, the connection is watched: a caller that hangs up cancels the handler.
"""

import json
import socket
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import curio
import h11

from bluebellrun.core import Address, InvariantError, new_request_id
from bluebellrun.http._listener import Listener, is_readable
from bluebellrun.http._models import (
    Headers,
    HttpLimits,
    HttpRequest,
    decode_headers,
    encode_headers,
)
from bluebellrun.http._tls import Tls
from bluebellrun.telemetry import get_logger

READ_SIZE = 65_536
BAD_REQUEST = 400
INTERNAL_ERROR = 500
UNAVAILABLE = 503
REQUEST_TIMEOUT = 408
PAYLOAD_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NO_BODY_STATUSES = frozenset({204, 304})
LINGER_S = 0.5
# What is read of a refused request so that its caller reads the refusal: a socket's usual buffer.
LINGER_BYTES = 262_144

_log = get_logger("http-server")


class CallerGoneError(Exception):
    """The caller closed its connection."""


class _BadRequestError(Exception):
    """A request that cannot be accepted, and the status that says why."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class HttpExchange:
    """One request and the answer being written to it."""

    def __init__(self, connection: "_Connection", request: HttpRequest) -> None:
        self._connection = connection
        self._request = request
        self._started = False
        self._finished = False
        self._aborted = False
        self._status = 0
        self._first_body_at: float | None = None
        self._received = time.monotonic()

    @property
    def received(self) -> float:
        """Return when the request was whole, by the monotonic clock in seconds."""
        return self._received

    @property
    def request(self) -> HttpRequest:
        """Return the request."""
        return self._request

    @property
    def started(self) -> bool:
        """Return whether the answer's head has been sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Return whether the whole answer has been sent."""
        return self._finished

    @property
    def aborted(self) -> bool:
        """Return whether the answer was broken off."""
        return self._aborted

    @property
    def status(self) -> int:
        """Return the status that was sent, 0 before the head."""
        return self._status

    @property
    def first_body_at(self) -> float | None:
        """Return when the first byte of the body was sent, by the monotonic clock in seconds."""
        return self._first_body_at

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers; without a length, the body is chunked."""
        if self._connection.closes_after_answer():
            headers = [*headers, ("connection", "close")]
        head = h11.Response(status_code=status, headers=encode_headers(headers))
        self._started = True
        self._status = status
        await self._connection.send(head)

    async def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            await self._connection.send(h11.Data(data=data))
            if self._first_body_at is None:
                self._first_body_at = time.monotonic()

    async def finish(self) -> None:
        """End the answer."""
        await self._connection.send(h11.EndOfMessage())
        self._finished = True

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        complete = [*headers, ("content-length", str(len(body)))]
        await self.send_head(status, complete)
        if self._request.method != "HEAD" and status not in NO_BODY_STATUSES:
            await self.send_body(body)
        await self.finish()

    async def answer_json(self, status: int, value: object) -> None:
        """Send a complete answer with a JSON body."""
        body = json.dumps(value).encode()
        await self.answer(status, [("content-type", "application/json")], body)

    def abort(self) -> None:
        """Break off the answer: the connection is closed without a proper end."""
        self._aborted = True


HttpHandler = Callable[[HttpExchange], Awaitable[None]]


class HttpServer:
    """Serve HTTP/1.1 on one address."""

    def __init__(
        self,
        address: Address,
        handler: HttpHandler,
        limits: HttpLimits,
        tls: Tls | None = None,
        listening: socket.socket | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._listener = Listener(
            address, self._serve, limits.max_connections, tls, self._turn_away, listening
        )
        self._closing = False
        self._idle: set[_Connection] = set()

    @property
    def limits(self) -> HttpLimits:
        """Return the limits on callers."""
        return self._limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        """Set the limits of requests that are not being read yet."""
        self._limits = limits

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._listener.address

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return self._listener.open_connections

    async def run(self) -> None:
        """Serve until cancelled or closed."""
        await self._listener.run()

    def end_connections(self) -> None:
        """Let each connection end after its next answer; new ones are still accepted."""
        self._closing = True

    async def close(self) -> None:
        """Stop accepting connections; answers in progress go on and their connections end."""
        self._closing = True
        await self._listener.close()

    async def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered."""
        for connection in list(self._idle):
            await connection.end_idle()

    async def _serve(self, sock: Any) -> None:
        """Serve the requests of one connection."""
        connection = _Connection(sock, self._limits, lambda: self._closing)
        while await self._serve_one(connection):
            connection.limits = self._limits

    async def _turn_away(self, sock: Any) -> None:
        """Refuse a connection beyond the limit."""
        connection = _Connection(sock, self._limits, lambda: True)
        limit = self._limits.max_connections
        await connection.refuse(
            UNAVAILABLE, f"{limit} connections are open already; come back later", retry_after_s=1
        )

    async def _serve_one(self, connection: "_Connection") -> bool:
        """Serve one request; return whether the connection can take another."""
        self._idle.add(connection)
        try:
            request = await connection.read_request(lambda: self._idle.discard(connection))
        except _BadRequestError as error:
            await connection.refuse(error.status, error.detail)
            return False
        except CallerGoneError:
            return False
        finally:
            self._idle.discard(connection)
        exchange = HttpExchange(connection, request)
        await self._run_handler(connection, exchange)
        if exchange.aborted or not exchange.finished or self._closing:
            return False
        return connection.start_next_cycle()

    async def _run_handler(self, connection: "_Connection", exchange: HttpExchange) -> None:
        """Run the handler until it ends or the caller hangs up."""
        try:
            async with curio.TaskGroup(wait=any) as group:
                handler = await group.spawn(self._handle, exchange)
                watcher = await group.spawn(connection.wait_until_gone)
        except (OSError, CallerGoneError, h11.LocalProtocolError):
            return
        if watcher.terminated and watcher.exception is None and not exchange.started:
            detail = "the connection was closed before the answer"
            await connection.refuse(BAD_REQUEST, detail, outcome="unknown")
        if handler.exception is not None and not isinstance(
            handler.exception, curio.CancelledError | OSError | CallerGoneError
        ):
            raise handler.exception

    async def _handle(self, exchange: HttpExchange) -> None:
        """Run the handler; that its caller left is no fault of it.

        After an unexpected error the caller gets an answer that does not tell whether the request
        has run.
        """
        path = exchange.request.path
        try:
            await self._handler(exchange)
        except CallerGoneError as error:
            _log.info("caller left", target=path, reason=str(error))
            exchange.abort()
        except (OSError, InvariantError):
            raise
        except Exception as error:
            _log.exception("handler failed", target=path, error=type(error).__name__)
            if exchange.started:
                exchange.abort()
            else:
                detail = "the server failed; its log has the error"
                await exchange.answer_json(INTERNAL_ERROR, {"detail": detail})


class _Connection:
    """The state of one connection from a caller."""

    def __init__(self, sock: Any, limits: HttpLimits, closing: Callable[[], bool]) -> None:
        self._socket = sock
        self._limits = limits
        self._closing = closing
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._served = 0
        self._on_bytes: Callable[[], None] | None = None
        self._reader: Any = None

    @property
    def limits(self) -> HttpLimits:
        """Return the limits on the next request."""
        return self._limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._limits = limits

    def closes_after_answer(self) -> bool:
        """Return whether the server ends this connection after the answer."""
        return self._closing()

    async def end_idle(self) -> None:
        """End a connection that waits for a request of which no byte has arrived."""
        if is_readable(self._socket):
            return
        if self._reader is not None and self._on_bytes is not None:
            await self._reader.cancel(blocking=False)

    async def read_request(self, on_bytes: Callable[[], None]) -> HttpRequest:
        """Read one request with its body; ``on_bytes`` is called as its first bytes arrive."""
        self._reader = await curio.current_task()
        self._on_bytes = None if self._protocol.trailing_data[0] else on_bytes
        if self._on_bytes is None:
            on_bytes()
        head = await self._read_head()
        self._check_size(head)
        self._check_framing(head)
        headers = decode_headers(head.headers)
        body = await self._read_body()
        return HttpRequest(
            head.method.decode("latin-1"), head.target.decode("latin-1"), headers, body
        )

    async def send(self, event: Any) -> None:
        """Send one h11 event; raise ``CallerGoneError`` if the caller takes no bytes."""
        data = self._protocol.send(event)
        if not data:
            return
        try:
            async with curio.timeout_after(self._limits.write_timeout_s):
                await self._socket.sendall(data)
        except curio.TaskTimeout:
            raise CallerGoneError("the caller takes no bytes") from None
        except OSError as error:
            raise CallerGoneError(str(error)) from error

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
        if self._protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        try:
            await self.send(h11.Response(status_code=status, headers=encode_headers(headers)))
            await self.send(h11.Data(data=body))
            await self.send(h11.EndOfMessage())
            await self._linger()
        except (CallerGoneError, h11.LocalProtocolError):
            return

    async def wait_until_gone(self) -> None:
        """Return when the caller closes its side while an answer is being made."""
        held = 0
        while True:
            try:
                data = await self._socket.recv(READ_SIZE)
            except OSError:
                return
            if not data:
                return
            held += len(data)
            if held > self._limits.max_header_bytes + self._limits.max_body_bytes:
                return
            self._protocol.receive_data(data)

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        self._served += 1
        return True

    async def _linger(self) -> None:
        """Discard what the caller still sends, so that it can read the refusal."""
        left = LINGER_BYTES
        async with curio.ignore_after(LINGER_S):
            while left > 0 and (data := await self._socket.recv(READ_SIZE)):
                left -= len(data)
                await curio.sleep(0)

    async def _read_head(self) -> Any:
        """Read the request line and headers within the deadline."""
        timeout = self._limits.idle_timeout_s if self._served else self._limits.header_timeout_s
        event = await self._next_event(timeout, "the request's headers")
        if isinstance(event, h11.Request):
            return event
        raise CallerGoneError("closed between requests")

    def _check_size(self, head: Any) -> None:
        """Refuse headers over the limit, which h11 checks only while they are incomplete."""
        size = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
        limit = self._limits.max_header_bytes
        if size > limit:
            raise _BadRequestError(HEADERS_TOO_LARGE, f"headers are over {limit} bytes; send less")

    def _check_framing(self, head: Any) -> None:
        """Refuse a request whose body length can be read in two ways."""
        names = [name for name, _ in head.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise _BadRequestError(
                BAD_REQUEST, "send Content-Length or Transfer-Encoding, not both in one request"
            )

    async def _read_body(self) -> bytes:
        """Read the body within the deadline and the size limit."""
        if self._protocol.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        deadline = await curio.clock() + self._limits.body_timeout_s
        while True:
            remaining = max(0.0, deadline - await curio.clock())
            event = await self._next_event(remaining, "the request's body")
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise CallerGoneError("closed within a request")
            body += event.data
            if len(body) > self._limits.max_body_bytes:
                limit = self._limits.max_body_bytes
                raise _BadRequestError(
                    PAYLOAD_TOO_LARGE, f"the body is over {limit} bytes; send less"
                )

    async def _next_event(self, timeout_s: float, what: str) -> Any:
        """Return the next h11 event, reading from the socket as needed."""
        try:
            async with curio.timeout_after(timeout_s):
                return await self._pull_event()
        except curio.TaskTimeout:
            if what.endswith("headers") and self._protocol.trailing_data[0] == b"":
                raise CallerGoneError("idle") from None
            raise _BadRequestError(
                REQUEST_TIMEOUT, f"{what} did not arrive in time; send faster"
            ) from None
        except h11.RemoteProtocolError as error:
            raise _BadRequestError(error.error_status_hint, str(error)) from None
        except OSError as error:
            raise CallerGoneError(str(error)) from error

    async def _pull_event(self) -> Any:
        """Return the next h11 event."""
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._socket.recv(READ_SIZE)
            if len(data) == READ_SIZE:
                # A caller that sends faster than this process reads lets other tasks run.
                await curio.sleep(0)
            if self._on_bytes is not None:
                self._on_bytes()
                self._on_bytes = None
            self._protocol.receive_data(data)
