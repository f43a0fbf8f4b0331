"""An HTTP/1.1 server: h11 for the protocol, curio for the sockets.

A request's body is read whole, within a limit, before its handler starts. While a handler
runs, the connection is watched: a caller that hangs up cancels the handler.
"""

import socket
import time
from typing import Any

import curio
import h11

from bluebellrun.core import Address, InvariantError
from bluebellrun.http._connection import Connection
from bluebellrun.http._exchange import CallerGoneError, HttpExchange, HttpHandler
from bluebellrun.http._listener import Listener
from bluebellrun.http._memory_gate import MemoryGate
from bluebellrun.http._models import HttpLimits, HttpRequest
from bluebellrun.http._request_reader import BadRequestError
from bluebellrun.http._tls import Tls
from bluebellrun.http._work import WorkLimit
from bluebellrun.telemetry import get_logger

BAD_REQUEST = 400
INTERNAL_ERROR = 500
UNAVAILABLE = 503
# A connection whose next bytes are awaited for this long may be closed for a new one: callers send
# a request as soon as they are connected, and its head in one piece.
STALLED_S = 1.0
# At most one line in this time tells how many connections were closed and refused since the last.
REPORT_INTERVAL_S = 1.0

_log = get_logger("http-server")


class HttpServer:
    """Serve HTTP/1.1 on one address."""

    def __init__(
        self,
        address: Address,
        handler: HttpHandler,
        limits: HttpLimits,
        tls: Tls | None = None,
        listening: socket.socket | None = None,
        memory: MemoryGate | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._memory = memory or MemoryGate()
        self._work = WorkLimit()
        self._max_connections = limits.max_connections
        self._listener = Listener(
            address,
            self._serve,
            limits.max_connections,
            tls,
            self._turn_away,
            listening,
            self._close_longest_idle,
        )
        self._closing = False
        # All connections, and those without a request: the ones that have been open, or idle, for
        # longest come first.
        self._connections: dict[Connection, None] = {}
        self._idle: dict[Connection, float] = {}
        self._closed_idle = 0
        self._turned_away = 0
        self._reported = (0, 0)
        self._reported_at = -REPORT_INTERVAL_S

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

    @property
    def closed_idle(self) -> int:
        """Return how many connections were closed for new ones, since the start."""
        return self._closed_idle

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

    def _open_connection(self, sock: Any, is_turned_away: bool = False) -> Connection:
        """Return the state of a new connection."""
        return Connection(
            sock,
            self._limits,
            lambda: is_turned_away or self._closing,
            self._memory,
            self._work,
        )

    async def _serve(self, sock: Any) -> None:
        """Serve the requests of one connection."""
        connection = self._open_connection(sock)
        self._connections[connection] = None
        try:
            while await self._serve_one(connection):
                connection.limits = self._limits
            await connection.finish_writing()
        finally:
            self._connections.pop(connection, None)
            await connection.close()

    async def _turn_away(self, sock: Any) -> None:
        """Refuse a connection beyond the limit."""
        self._turned_away += 1
        self._report_connections()
        connection = self._open_connection(sock, is_turned_away=True)
        try:
            await connection.refuse(
                UNAVAILABLE,
                f"{self._max_connections} connections are open already; come back later",
                retry_after_s=1,
            )
        finally:
            await connection.close()

    def _report_connections(self) -> None:
        """Log how many connections were closed and refused since the last line."""
        now = time.monotonic()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        closed, refused = self._reported
        self._reported, self._reported_at = (self._closed_idle, self._turned_away), now
        _log.warning(
            "connections are short",
            closed=self._closed_idle - closed,
            refused=self._turned_away - refused,
            open=self.open_connections,
        )

    async def _close_longest_idle(self) -> bool:
        """Close a connection for a new one; return whether there was any to close."""
        if not await self._close_idle_or_stalled():
            return False
        self._closed_idle += 1
        self._report_connections()
        return True

    async def _close_idle_or_stalled(self) -> bool:
        """Close one connection for the sake of others; return whether there was any.

        The first choice is the one that has been idle longest, the second one whose caller has
        stalled within a request or an answer. The last one, whose caller sends requests ahead, ends
        with its next answer, so that callers who never pause take turns with others.
        """
        before = time.monotonic() - STALLED_S
        for connection, idle_since in list(self._idle.items()):
            if idle_since > before:
                break
            del self._idle[connection]
            if await connection.end_idle():
                return True
        for connection in self._connections:
            since = connection.waits_since
            if since is not None and since <= before:
                del self._connections[connection]
                await connection.close_stalled("connections are short and nothing moves")
                return True
        return self._end_busy_connection()

    def _end_busy_connection(self) -> bool:
        """End a connection with requests ahead after its answer; return whether there was any."""
        for connection in self._connections:
            if connection.has_requests_ahead:
                del self._connections[connection]
                connection.end_after_answer()
                return True
        return False

    async def _serve_one(self, connection: Connection) -> bool:
        """Serve one request; return whether the connection can take another."""
        request = await self._read_request(connection)
        if request is None:
            return False
        exchange = HttpExchange(connection, request)
        await self._run_handler(connection, exchange)
        if exchange.aborted or not exchange.finished:
            return False
        if exchange.announces_end or self._closing:
            return False
        return connection.start_next_cycle()

    async def _read_request(self, connection: Connection) -> HttpRequest | None:
        """Return a connection's next request, none if there is no acceptable one."""
        self._idle[connection] = time.monotonic()

        def begin() -> None:
            self._idle.pop(connection, None)

        try:
            return await connection.read_request(begin)
        except BadRequestError as error:
            refusal = error.status, error.detail, error.retry_after_s
        except CallerGoneError:
            return None
        finally:
            self._idle.pop(connection, None)
        await connection.refuse(*refusal)
        return None

    async def _run_handler(self, connection: Connection, exchange: HttpExchange) -> None:
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
