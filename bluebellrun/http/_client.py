"""An HTTP/1.1 client for one address, with kept connections and deadlines on each wait."""

import time
from collections.abc import Callable
from typing import Any

import h11

from bluebellrun.core import Address
from bluebellrun.http._client_connection import LEAST_WAIT_S, AcceptResponse, ClientConnection
from bluebellrun.http._connect import connect
from bluebellrun.http._exceptions import AnswerTooLongError, BadResponseError, NotSentError
from bluebellrun.http._models import ClientTimeouts, Headers, decode_headers, header_value

# A body that is read whole may have as many bytes unless the client's owner says otherwise: the
# largest that the project's own calls get are pages of a store, about a megabyte.
MAX_WHOLE_BYTES = 16_777_216


class HttpResponse:
    """A response whose body is read piece by piece."""

    def __init__(self, connection: ClientConnection, client: "HttpClient") -> None:
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
        self._idle: list[ClientConnection] = []

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

    async def release(self, connection: ClientConnection) -> None:
        """Keep a connection whose response has ended, if it can serve another."""
        if connection.start_next_cycle():
            await self._keep(connection)
            return
        await connection.close()

    async def _keep(self, connection: ClientConnection) -> None:
        """Keep an idle connection if there is room for it."""
        if len(self._idle) < self._max_idle:
            self._idle.append(connection)
            return
        await connection.close()

    async def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _take(self, max_idle_s: float | None) -> ClientConnection:
        """Return a kept connection that is still open, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(max_idle_s) and connection.fresh():
                return connection
            await connection.close()
        return await self._connect()

    async def _connect(self) -> ClientConnection:
        """Return a new connection."""
        sock = await connect(self._address, self._timeouts.connect_s, self._tls)
        return ClientConnection(sock)
