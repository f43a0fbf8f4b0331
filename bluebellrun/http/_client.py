"""An HTTP/1.1 client for one address, with kept connections and deadlines on each wait."""

import time
from collections.abc import Callable
from typing import Any

import curio
import h11
from curio import socket

from bluebellrun.core import Address, is_whole_number
from bluebellrun.http._exceptions import (
    AnswerTooLongError,
    BadResponseError,
    ConnectError,
    ConnectionLostError,
    NotSentError,
    PeerTimeoutError,
)
from bluebellrun.http._listener import is_readable
from bluebellrun.http._models import (
    ClientTimeouts,
    Headers,
    decode_headers,
    encode_headers,
    header_value,
)
from bluebellrun.http._tls import Tls

READ_SIZE = 65_536
# A larger body is sent while the response is read: the server may answer before it read it all.
BODY_SENT_AT_ONCE_BYTES = 16_384
# A silent connection is found after the idle time and all probes, three seconds in all,
# as platforms usually allow for it.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged bytes end a connection after as long as unanswered probes would.
USER_TIMEOUT_MS = 3_000
# A kept connection is not used this close to its end: the request needs time to arrive.
IDLE_MARGIN_S = 0.5
# What has arrived already is read past a deadline too: this process may have been paused.
LEAST_WAIT_S = 0.001
MAX_STRAY_RESPONSES = 4
# Bytes of responses to other requests that are skipped: they are second copies of small answers.
MAX_SKIPPED_BYTES = 262_144
# Heads that only announce a response; servers send one or two.
MAX_INFORMATIONAL = 16
# A body that is read whole may have as many bytes unless the client's owner says otherwise: the
# largest that the project's own calls get are pages of a store, about a megabyte.
MAX_WHOLE_BYTES = 16_777_216

AcceptResponse = Callable[[int, Headers], bool]


async def connect(address: Address, timeout_s: float, tls: Any = None) -> Any:
    """Open a TCP connection; raise ``ConnectError`` when it cannot be made in time."""
    try:
        async with curio.timeout_after(timeout_s):
            sock = await curio.open_connection(address.ip, address.port, ssl=tls)
    except curio.TaskTimeout:
        raise ConnectError(f"{address} did not accept within {timeout_s} s") from None
    except OSError as error:
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectError(f"{address}: {error}", refused) from error
    if isinstance(tls, Tls):
        await _check_peer(sock, tls)
    detect_silence(sock)
    return sock


def detect_silence(sock: Any) -> None:
    """Let the kernel find a connection whose other end no longer answers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def _check_peer(sock: Any, tls: Tls) -> None:
    """Close a connection to a peer that has no allowed name."""
    try:
        tls.check_peer(sock)
    except ConnectError:
        await sock.close()
        raise


class HttpResponse:
    """A response whose body is read piece by piece."""

    def __init__(self, connection: "_ClientConnection", client: "HttpClient") -> None:
        self._connection = connection
        self._client = client
        self._released = False
        self._on_kept_connection = connection.is_kept
        self.status = 0
        self.headers: Headers = []

    @property
    def on_kept_connection(self) -> bool:
        """Return whether its connection had served another request before."""
        return self._on_kept_connection

    @property
    def ends_by_close(self) -> bool:
        """Return whether only the end of its connection marks the end of the body."""
        framing = ("content-length", "transfer-encoding")
        return all(header_value(self.headers, name) is None for name in framing)

    async def read(self, gap_s: float) -> bytes:
        """Return the next piece of the body, empty at its proper end.

        Raises ``PeerTimeoutError`` when nothing arrives for ``gap_s`` seconds and
        ``ConnectionLostError`` when the body is cut short.
        """
        event = await self._connection.next_event(gap_s)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._released = True
            await self._client.release(self._connection)
            return b""
        raise BadResponseError(f"unexpected {type(event).__name__} in a body")

    async def read_all(self, within_s: float, max_bytes: int | None = None) -> bytes:
        """Return the rest of the body if it ends within ``within_s`` seconds from now.

        Raises ``AnswerTooLongError`` when it is over ``max_bytes``, or the client's limit, and
        otherwise what ``read`` raises. The caller closes the response then.
        """
        limit = self._client.max_whole_bytes if max_bytes is None else max_bytes
        deadline = time.monotonic() + within_s
        body = bytearray()
        while piece := await self.read(max(LEAST_WAIT_S, deadline - time.monotonic())):
            body += piece
            if len(body) > limit:
                raise AnswerTooLongError(f"the answer's body is over {limit} bytes")
        return bytes(body)

    async def close(self) -> None:
        """Give up the response; its connection is closed unless the response has ended."""
        if not self._released:
            await self._connection.close()


class HttpClient:
    """Send requests to one address over kept connections."""

    def __init__(
        self,
        address: Address,
        timeouts: ClientTimeouts,
        max_whole_bytes: int = MAX_WHOLE_BYTES,
        max_idle: int = 32,
        tls: Any = None,
    ) -> None:
        self._address = address
        self._max_whole_bytes = max_whole_bytes
        self._tls = tls
        self._timeouts = timeouts
        self._max_idle = max_idle
        self._idle: list[_ClientConnection] = []

    @property
    def address(self) -> Address:
        """Return the address requests are sent to."""
        return self._address

    @property
    def max_whole_bytes(self) -> int:
        """Return how many bytes a body that is read whole may have."""
        return self._max_whole_bytes

    async def open(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        first_byte_s: float | None = None,
        accept: AcceptResponse | None = None,
        max_idle_s: float | None = None,
        new_connection: bool = False,
        may_send: Callable[[], bool] | None = None,
    ) -> HttpResponse:
        """Send a request and return its response once the head has arrived.

        A response that ``accept`` turns down answers another request and is skipped. A kept
        connection is used only if it has been idle for at most ``max_idle_s`` seconds, and none
        with ``new_connection``. ``may_send`` is asked again once there is a connection.

        Raises ``ConnectError`` or ``NotSentError`` when no byte was sent, ``PeerTimeoutError``,
        ``ConnectionLostError`` or ``BadResponseError`` when the request may have been received.
        """
        connection = await (self._connect() if new_connection else self._take(max_idle_s))
        if may_send is not None and not may_send():
            await self._keep(connection)
            raise NotSentError(f"the request to {self._address} was withdrawn before it was sent")
        try:
            await connection.send_request(self._address, method, target, headers, body)
            response = HttpResponse(connection, self)
            timeout_s = self._timeouts.first_byte_s if first_byte_s is None else first_byte_s
            head = await connection.read_head(timeout_s, accept)
        except BaseException:
            await connection.close()
            raise
        response.status = head.status_code
        response.headers = decode_headers(head.headers)
        connection.note_keep_alive(response.headers)
        return response

    async def fetch(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        within_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return the response's status and whole body.

        ``within_s`` bounds the head and the body, each, instead of the client's timeouts. Raises
        what ``open`` and ``HttpResponse.read_all`` raise.
        """
        status, _, data = await self.fetch_with_headers(method, target, headers, body, within_s)
        return status, data

    async def fetch_with_headers(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        within_s: float | None = None,
    ) -> tuple[int, Headers, bytes]:
        """Send a request as ``fetch`` does and return the response's headers too."""
        response = await self.open(method, target, headers, body, within_s)
        whole_s = self._timeouts.whole_s if within_s is None else within_s
        try:
            return response.status, response.headers, await response.read_all(whole_s)
        except BaseException:
            await response.close()
            raise

    async def release(self, connection: "_ClientConnection") -> None:
        """Keep a connection whose response has ended, if it can serve another."""
        if connection.start_next_cycle():
            await self._keep(connection)
            return
        await connection.close()

    async def _keep(self, connection: "_ClientConnection") -> None:
        """Keep an idle connection if there is room for it."""
        if len(self._idle) < self._max_idle:
            self._idle.append(connection)
            return
        await connection.close()

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _take(self, max_idle_s: float | None) -> "_ClientConnection":
        """Return a kept connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(max_idle_s) and connection.fresh():
                return connection
            await connection.close()
        return await self._connect()

    async def _connect(self) -> "_ClientConnection":
        """Return a new connection."""
        sock = await connect(self._address, self._timeouts.connect_s, self._tls)
        return _ClientConnection(sock)


class _ClientConnection:
    """One connection to a server."""

    def __init__(self, sock: Any) -> None:
        self._socket = sock
        self._protocol = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._sender: Any = None
        self._keep_s: float | None = None
        self._more_waits = False
        self._is_kept = False
        self._idle_since = time.monotonic()

    @property
    def is_kept(self) -> bool:
        """Return whether the connection has served a request before the current one."""
        return self._is_kept

    def usable(self, max_idle_s: float | None) -> bool:
        """Return whether the connection was used recently enough to be used again."""
        idle_s = time.monotonic() - self._idle_since
        if max_idle_s is not None and idle_s > max_idle_s:
            return False
        return self._keep_s is None or idle_s < self._keep_s - IDLE_MARGIN_S

    def note_keep_alive(self, headers: Headers) -> None:
        """Note how long the server keeps the connection when it is idle."""
        for key, value in headers:
            if key != "keep-alive":
                continue
            for part in value.split(","):
                name, _, seconds = part.strip().partition("=")
                if name == "timeout" and is_whole_number(seconds):
                    self._keep_s = float(seconds)

    def fresh(self) -> bool:
        """Return whether the server has neither closed nor sent anything unasked."""
        return not is_readable(self._socket)

    async def send_request(
        self, address: Address, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a complete request."""
        names = {name for name, _ in headers}
        complete = list(headers)
        if "host" not in names:
            complete.append(("host", str(address)))
        if "content-length" not in names and (body or method in ("POST", "PUT", "PATCH")):
            complete.append(("content-length", str(len(body))))
        protocol = self._protocol
        self._request = h11.Request(method=method, target=target, headers=encode_headers(complete))
        data = protocol.send(self._request) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        if len(body) > BODY_SENT_AT_ONCE_BYTES:
            self._sender = await curio.spawn(self._send_quietly, data, daemon=True)
            return
        try:
            await self._socket.sendall(data)
        except OSError as error:
            raise _lost(error) from error

    async def _send_quietly(self, data: bytes) -> bool:
        """Send while the response is read; return whether all was sent."""
        try:
            await self._socket.sendall(data)
        except OSError:
            return False
        return True

    async def read_head(self, timeout_s: float, accept: AcceptResponse | None = None) -> Any:
        """Return the head of the response that answers the request."""
        deadline = await curio.clock() + timeout_s
        strays = informational = 0
        while True:
            event = await self.next_event(max(LEAST_WAIT_S, deadline - await curio.clock()))
            if isinstance(event, h11.Response):
                if accept is None or accept(event.status_code, decode_headers(event.headers)):
                    return event
                strays += 1
                if strays > MAX_STRAY_RESPONSES:
                    raise BadResponseError(f"{strays} responses to other requests")
                await self._skip_response(deadline)
            elif isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL:
                    raise BadResponseError(f"{informational} heads that announce a response")
            else:
                raise ConnectionLostError("closed before the response", ended_by_peer=True)

    async def _skip_response(self, deadline: float) -> None:
        """Read a response to another request to its end and await the next one."""
        skipped = 0
        while True:
            event = await self.next_event(max(LEAST_WAIT_S, deadline - await curio.clock()))
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                skipped += len(event.data)
            if skipped > MAX_SKIPPED_BYTES:
                raise AnswerTooLongError(
                    f"a response to another request is over {MAX_SKIPPED_BYTES} bytes"
                )
        rest, closed = self._protocol.trailing_data
        if closed or self._request is None:
            raise ConnectionLostError(
                "closed after a response to another request", ended_by_peer=closed
            )
        self._protocol = _awaiting_response(self._request)
        if rest:
            self._protocol.receive_data(rest)

    async def next_event(self, timeout_s: float) -> Any:
        """Return the next event of the response.

        What arrived while this process was paused past the deadline is still read.
        """
        event = self._parse()
        while event is h11.NEED_DATA:
            try:
                async with curio.timeout_after(timeout_s):
                    event = await self._read_event()
            except curio.TaskTimeout:
                if self.fresh():
                    raise PeerTimeoutError(f"nothing arrived for {timeout_s:.3f} s") from None
            except OSError as error:
                raise _lost(error) from error
        return event

    async def _read_event(self) -> Any:
        """Read from the socket until an event is complete.

        A socket that always has more would never let other tasks run, nor a deadline pass.
        """
        while True:
            if self._more_waits:
                self._more_waits = False
                await curio.sleep(0)
            data = await self._socket.recv(READ_SIZE)
            self._more_waits = len(data) == READ_SIZE
            if not data and self._protocol.their_state is h11.SEND_RESPONSE:
                self._protocol.receive_data(data)
                raise ConnectionLostError("closed before the response", ended_by_peer=True)
            self._protocol.receive_data(data)
            event = self._parse()
            if event is not h11.NEED_DATA:
                return event

    def _parse(self) -> Any:
        """Return the next event already received."""
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            if "peer" in str(error) and "closed" in str(error):
                raise ConnectionLostError(str(error), ended_by_peer=True) from error
            raise BadResponseError(str(error)) from error

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        if self._protocol.trailing_data[0]:
            return False
        if self._sender is not None:
            if not self._sender.terminated or not self._sender.result:
                return False
            self._sender = None
        self._protocol.start_next_cycle()
        self._is_kept = True
        self._idle_since = time.monotonic()
        return True

    async def close(self) -> None:
        """Close the connection."""
        if self._sender is not None:
            await self._sender.cancel(blocking=False)
        await self._socket.close()


def _awaiting_response(request: h11.Request) -> h11.Connection:
    """Return a protocol state in which the whole request has been sent."""
    protocol = h11.Connection(h11.CLIENT)
    framing = (b"content-length", b"transfer-encoding")
    headers = [(name, value) for name, value in request.headers if name not in framing]
    protocol.send(h11.Request(method=request.method, target=request.target, headers=headers))
    protocol.send(h11.EndOfMessage())
    return protocol


def _lost(error: OSError) -> ConnectionLostError:
    """Return the error of a connection on which a system call failed."""
    ended_by_peer = isinstance(error, ConnectionResetError | BrokenPipeError)
    return ConnectionLostError(str(error), ended_by_peer)
