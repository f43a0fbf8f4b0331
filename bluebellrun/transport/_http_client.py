"""An HTTP/1.1 client for one address, with kept connections and deadlines on each wait."""

import select
from typing import Any

import curio
import h11
from curio import socket

from bluebellrun.core import Address
from bluebellrun.transport._exceptions import (
    BadResponseError,
    ConnectError,
    ConnectionLostError,
    PeerTimeoutError,
)
from bluebellrun.transport._http_models import ClientTimeouts, Headers, decode_headers

READ_SIZE = 65_536


async def connect(address: Address, timeout_s: float, tls: Any = None) -> Any:
    """Open a TCP connection; raise ``ConnectError`` when it cannot be made in time."""
    try:
        async with curio.timeout_after(timeout_s):
            sock = await curio.open_connection(address.ip, address.port, ssl=tls)
    except curio.TaskTimeout:
        raise ConnectError(f"{address} did not accept within {timeout_s} s") from None
    except OSError as error:
        raise ConnectError(f"{address}: {error}") from error
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class HttpResponse:
    """A response whose body is read piece by piece."""

    def __init__(self, connection: "_ClientConnection", client: "HttpClient") -> None:
        self._connection = connection
        self._client = client
        self._released = False
        self.status = 0
        self.headers: Headers = []

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

    async def read_all(self, gap_s: float) -> bytes:
        """Return the rest of the body."""
        body = bytearray()
        while piece := await self.read(gap_s):
            body += piece
        return bytes(body)

    async def close(self) -> None:
        """Give up the response; its connection is closed unless the response has ended."""
        if not self._released:
            await self._connection.close()


class HttpClient:
    """Send requests to one address over kept connections."""

    def __init__(self, address: Address, timeouts: ClientTimeouts, max_idle: int = 32) -> None:
        self._address = address
        self._timeouts = timeouts
        self._max_idle = max_idle
        self._idle: list[_ClientConnection] = []

    @property
    def address(self) -> Address:
        """Return the address requests are sent to."""
        return self._address

    async def open(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        first_byte_s: float | None = None,
    ) -> HttpResponse:
        """Send a request and return its response once the head has arrived.

        Raises ``ConnectError`` when no byte was sent, ``PeerTimeoutError``,
        ``ConnectionLostError`` or ``BadResponseError`` when the request may have been received.
        """
        connection = await self._take()
        try:
            await connection.send_request(self._address, method, target, headers, body)
            response = HttpResponse(connection, self)
            timeout_s = self._timeouts.first_byte_s if first_byte_s is None else first_byte_s
            head = await connection.read_head(timeout_s)
        except BaseException:
            await connection.close()
            raise
        response.status = head.status_code
        response.headers = decode_headers(head.headers)
        return response

    async def fetch(
        self, method: str, target: str, headers: Headers, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Send a request and return the response's status and whole body."""
        response = await self.open(method, target, headers, body)
        try:
            return response.status, await response.read_all(self._timeouts.gap_s)
        except BaseException:
            await response.close()
            raise

    async def release(self, connection: "_ClientConnection") -> None:
        """Keep a connection whose response has ended, if it can serve another."""
        if connection.start_next_cycle() and len(self._idle) < self._max_idle:
            self._idle.append(connection)
            return
        await connection.close()

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _take(self) -> "_ClientConnection":
        """Return a kept connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.fresh():
                return connection
            await connection.close()
        return _ClientConnection(await connect(self._address, self._timeouts.connect_s))


class _ClientConnection:
    """One connection to a server."""

    def __init__(self, sock: Any) -> None:
        self._socket = sock
        self._protocol = h11.Connection(h11.CLIENT)

    def fresh(self) -> bool:
        """Return whether the server has neither closed nor sent anything unasked."""
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return not poll.poll(0)

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
        data = protocol.send(h11.Request(method=method, target=target, headers=complete)) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        try:
            await self._socket.sendall(data)
        except OSError as error:
            raise ConnectionLostError(str(error)) from error

    async def read_head(self, timeout_s: float) -> Any:
        """Return the response's head."""
        deadline = await curio.clock() + timeout_s
        while True:
            event = await self.next_event(max(0.001, deadline - await curio.clock()))
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError("closed before the response")

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
                raise ConnectionLostError(str(error)) from error
        return event

    async def _read_event(self) -> Any:
        """Read from the socket until an event is complete."""
        while True:
            data = await self._socket.recv(READ_SIZE)
            if not data and self._protocol.their_state is h11.SEND_RESPONSE:
                self._protocol.receive_data(data)
                raise ConnectionLostError("closed before the response")
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
                raise ConnectionLostError(str(error)) from error
            raise BadResponseError(str(error)) from error

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return whether the connection allows one."""
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self._socket.close()
