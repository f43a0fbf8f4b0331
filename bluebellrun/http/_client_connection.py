"""One connection of the client: sends requests and reads the events of their responses."""

import time
from collections.abc import Callable
from typing import Any

import curio
import h11

from bluebellrun.core import Address, is_whole_number
from bluebellrun.http._exceptions import (
    AnswerTooLongError,
    BadResponseError,
    ConnectionLostError,
    PeerTimeoutError,
)
from bluebellrun.http._listener import is_readable
from bluebellrun.http._models import Headers, decode_headers, encode_headers

READ_SIZE = 65_536
# A larger body is sent while the response is read: the server may answer before it read it all.
BODY_SENT_AT_ONCE_BYTES = 16_384
# A kept connection is not used this close to its end: the request needs time to arrive.
IDLE_MARGIN_S = 0.5
# What has arrived already is read past a deadline too: this process may have been paused.
LEAST_WAIT_S = 0.001
MAX_STRAY_RESPONSES = 4
# Bytes of responses to other requests that are skipped: they are second copies of small answers.
MAX_SKIPPED_BYTES = 262_144
# Heads that only announce a response; servers send one or two.
MAX_INFORMATIONAL = 16

AcceptResponse = Callable[[int, Headers], bool]


class ClientConnection:
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
        head = protocol.send(self._request) or b""
        framed = (protocol.send(h11.Data(data=body)) or b"") if body else b""
        framed += protocol.send(h11.EndOfMessage()) or b""
        if len(body) > BODY_SENT_AT_ONCE_BYTES:
            # In two pieces: joining them would hold a large body twice.
            self._sender = await curio.spawn(self._send_quietly, head, framed, daemon=True)
            return
        try:
            await self._socket.sendall(head + framed)
        except OSError as error:
            raise _lost(error) from error

    async def _send_quietly(self, head: bytes, body: bytes) -> bool:
        """Send while the response is read; return whether all was sent."""
        try:
            await self._socket.sendall(head)
            await self._socket.sendall(body)
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
