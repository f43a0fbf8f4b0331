"""Links between processes: gRPC framing over HTTP/2, driven by h2 on curio.

grpclib needs asyncio's loop, so this module drives h2, the protocol library below grpclib.
Messages are bytes; their codec belongs to the caller of this module.
"""

import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
from curio.socket import SHUT_RDWR

from bluebellrun.core import Address
from bluebellrun.http import ConnectError, connect, link_security
from bluebellrun.telemetry import get_logger
from bluebellrun.transport._call import Call
from bluebellrun.transport._exceptions import CallError, LinkLostError

READ_SIZE = 262_144
STREAM_WINDOW_BYTES = 16_777_216
CONNECTION_WINDOW_BYTES = 67_108_864
MAX_CALLS = 1_000
PING_DATA = b"bluebell"
CONTENT_TYPE = "application/grpc+msgpack"
PAUSED_INTERVALS = 2
STATUS_OK = 0
STATUS_INTERNAL = 13

_log = get_logger("transport")


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Deadlines of a link, in seconds."""

    connect_s: float = 1.0
    ping_interval_s: float = 1.0
    ping_timeout_s: float = 2.0


CallHandler = Callable[[Call], Awaitable[None]]


class Link:
    """An HTTP/2 connection to another process."""

    def __init__(
        self, sock: Any, client: bool, timing: LinkTiming, handler: CallHandler | None = None
    ) -> None:
        self._socket = sock
        self._client = client
        self._timing = timing
        self._handler = handler
        config = h2.config.H2Configuration(client_side=client, header_encoding="utf-8")
        self._protocol = h2.connection.H2Connection(config=config)
        self._protocol.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: STREAM_WINDOW_BYTES,
                h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_CALLS,
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
            },
        )
        self._protocol.initiate_connection()
        self._protocol.increment_flow_control_window(CONNECTION_WINDOW_BYTES)
        self._calls: dict[int, Call] = {}
        self._frames_ready = curio.Event()
        self._closed = curio.Event()
        self._error: LinkLostError | None = None
        self._last_heard = time.monotonic()
        self._bytes_sent = 0
        self._bytes_received = 0

    @property
    def closed(self) -> bool:
        """Return whether the link is closed."""
        return self._closed.is_set()

    @property
    def bytes_sent(self) -> int:
        """Return how many bytes this side has sent."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """Return how many bytes this side has received."""
        return self._bytes_received

    async def run(self) -> None:
        """Exchange frames until the link is closed, breaks or goes silent."""
        self._last_heard = time.monotonic()
        error: LinkLostError = LinkLostError("closed")
        pinger = await curio.spawn(self._keep_alive, daemon=True)
        writer = await curio.spawn(self._write_frames, daemon=True)
        try:
            await self._flush()
            await self._read_frames()
        except LinkLostError as lost:
            error = lost
        except (OSError, h2.exceptions.ProtocolError) as broken:
            error = LinkLostError(str(broken))
        finally:
            await self._shut(error)
            await pinger.cancel()
            await writer.cancel()
            await self._socket.close()

    async def wait_closed(self) -> None:
        """Wait until the link is closed."""
        await self._closed.wait()

    async def close(self) -> None:
        """Close the link."""
        await self._shut(LinkLostError("closed by this process"))

    async def call(self, path: str) -> Call:
        """Start a call."""
        if self._error is not None:
            raise self._error
        stream_id = self._protocol.get_next_available_stream_id()
        call = Call(self, stream_id, path)
        self._calls[stream_id] = call
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "bluebellrun"),
            ("content-type", CONTENT_TYPE),
            ("te", "trailers"),
        ]
        self._protocol.send_headers(stream_id, headers)
        await self._flush()
        return call

    async def call_unary(self, path: str, message: bytes, timeout_s: float) -> bytes:
        """Make a call with one message each way; raise ``LinkLostError`` past the deadline."""
        try:
            async with curio.timeout_after(timeout_s):
                call = await self.call(path)
                await call.send(message)
                await call.end()
                answer = await call.receive()
        except curio.TaskTimeout:
            raise LinkLostError(f"no answer to {path} within {timeout_s} s") from None
        if answer is None:
            raise CallError(STATUS_INTERNAL, "the call ended without an answer")
        return answer

    async def send_data(self, call: Call, data: bytes) -> None:
        """Send bytes on a call's stream within the peer's window.

        A caller that is cancelled between two parts has its call reset: half a message would
        garble those after it.
        """
        view = memoryview(data)
        try:
            while view:
                error = self._error or call.error
                if error is not None:
                    raise error
                allowed = self._allowance(call)
                if allowed > 0:
                    self._protocol.send_data(call.stream_id, bytes(view[:allowed]))
                    view = view[allowed:]
                    continue
                call.mark_window_full()
                await self._flush()
                await call.wait_for_window()
        except curio.CancelledError:
            if len(view) < len(data):
                await self.reset_stream(call)
            raise
        await self._flush()

    async def end_stream(self, call: Call) -> None:
        """End this side of a call."""
        if self._error is None and call.stream_id in self._calls:
            self._protocol.end_stream(call.stream_id)
            await self._flush()

    async def reset_stream(self, call: Call) -> None:
        """Give up a call."""
        await call.close(LinkLostError("this process gave up the call"))
        if self._error is None and self._calls.pop(call.stream_id, None) is not None:
            try:
                self._protocol.reset_stream(call.stream_id)
            except h2.exceptions.ProtocolError:
                return
            await self._flush()

    async def acknowledge(self, call: Call, count: int) -> None:
        """Let the peer send as many bytes again as were consumed."""
        if self._error is not None:
            return
        try:
            self._protocol.acknowledge_received_data(count, call.stream_id)
        except (h2.exceptions.ProtocolError, KeyError):
            return
        await self._flush()

    def _allowance(self, call: Call) -> int:
        """Return how many bytes may be sent on a call now."""
        try:
            window = self._protocol.local_flow_control_window(call.stream_id)
        except h2.exceptions.ProtocolError as error:
            raise LinkLostError(f"the call is over: {error}") from error
        return min(window, self._protocol.max_outbound_frame_size)

    async def _flush(self) -> None:
        """Let the writer send the frames that are ready."""
        await self._frames_ready.set()

    async def _write_frames(self) -> None:
        """Write frames as they become ready.

        Only this task writes, so that a cancelled caller never leaves half a frame behind.
        """
        while not self._closed.is_set():
            await self._frames_ready.wait()
            self._frames_ready.clear()
            data = self._protocol.data_to_send()
            if not data:
                continue
            try:
                await self._socket.sendall(data)
            except OSError as error:
                await self._shut(LinkLostError(str(error)))
                return
            self._bytes_sent += len(data)

    async def _read_frames(self) -> None:
        """Read and dispatch frames until the peer closes."""
        while not self._closed.is_set():
            data = await self._socket.recv(READ_SIZE)
            if not data:
                raise LinkLostError("closed by the peer")
            self._bytes_received += len(data)
            self._last_heard = time.monotonic()
            for event in self._protocol.receive_data(data):
                await self._dispatch(event)
            await self._flush()

    async def _dispatch(self, event: Any) -> None:
        """Act on one event of the protocol."""
        match event:
            case h2.events.DataReceived():
                await self._on_data(event)
            case h2.events.RequestReceived():
                await self._on_request(event)
            case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                await self._on_headers(event)
            case h2.events.StreamEnded():
                await self._on_end(event.stream_id, None)
            case h2.events.StreamReset():
                await self._on_end(event.stream_id, LinkLostError("the peer gave up the call"))
                self._calls.pop(event.stream_id, None)
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                for call in list(self._calls.values()):
                    await call.notify_window_update()
            case h2.events.ConnectionTerminated():
                raise LinkLostError("the peer is closing the link")

    async def _on_data(self, event: Any) -> None:
        """Hand bytes to their call; bytes of a forgotten call are dropped."""
        call = self._calls.get(event.stream_id)
        padding = event.flow_controlled_length - len(event.data)
        if call is None:
            self._protocol.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            return
        if padding:
            self._protocol.acknowledge_received_data(padding, event.stream_id)
        await call.feed(event.data)

    async def _on_request(self, event: Any) -> None:
        """Start the handler of a call made by the peer."""
        path = dict(event.headers).get(":path", "")
        call = Call(self, event.stream_id, path)
        self._calls[event.stream_id] = call
        await curio.spawn(self._serve_call, call, daemon=True)

    async def _serve_call(self, call: Call) -> None:
        """Run the handler and end the call with a status."""
        status, message = STATUS_OK, ""
        try:
            headers = [(":status", "200"), ("content-type", CONTENT_TYPE)]
            self._protocol.send_headers(call.stream_id, headers)
            if self._handler is not None:
                await self._handler(call)
        except (LinkLostError, h2.exceptions.ProtocolError):
            self._calls.pop(call.stream_id, None)
            return
        except CallError as error:
            status, message = error.status, error.message
        trailers = [("grpc-status", str(status)), ("grpc-message", message)]
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self._protocol.send_headers(call.stream_id, trailers, end_stream=True)
        await self._flush()
        self._calls.pop(call.stream_id, None)

    async def _on_headers(self, event: Any) -> None:
        """Note an error status that the peer ended a call with."""
        headers = dict(event.headers)
        status = int(headers.get("grpc-status", STATUS_OK))
        call = self._calls.get(event.stream_id)
        if status != STATUS_OK and call is not None:
            await call.close(CallError(status, headers.get("grpc-message", "")))

    async def _on_end(self, stream_id: int, error: Exception | None) -> None:
        """Note that the peer has ended its side of a call."""
        call = self._calls.get(stream_id)
        if call is None:
            return
        await call.close(error)
        if self._client:
            self._calls.pop(stream_id, None)

    async def _keep_alive(self) -> None:
        """Send pings and give up the link when the peer is silent too long.

        A pause of this process is no silence of the peer.
        """
        while not self._closed.is_set():
            slept_at = time.monotonic()
            await curio.sleep(self._timing.ping_interval_s)
            if time.monotonic() - slept_at > PAUSED_INTERVALS * self._timing.ping_interval_s:
                self._last_heard = time.monotonic()
            silence = time.monotonic() - self._last_heard
            if silence > self._timing.ping_timeout_s:
                await self._shut(LinkLostError(f"the peer was silent for {silence:.2f} s"))
                return
            if silence >= self._timing.ping_interval_s / 2:
                self._protocol.ping(PING_DATA)
                await self._flush()

    async def _shut(self, error: LinkLostError) -> None:
        """End the connection and fail the calls in progress.

        The socket itself is closed by ``run`` alone, when no task waits on it any more: the
        number of a socket that is closed under a waiting task may be given to another one.
        """
        if self._closed.is_set():
            return
        self._error = error
        await self._closed.set()
        for call in list(self._calls.values()):
            await call.close(error)
        self._calls.clear()
        await self._frames_ready.set()
        with contextlib.suppress(OSError):
            await self._socket.shutdown(SHUT_RDWR)


async def dial(address: Address, timing: LinkTiming, tls: Any = None) -> Link:
    """Open a link to another process; raise ``ConnectError`` when it cannot be made."""
    sock = await connect(address, timing.connect_s, tls or link_security.tls)
    link = Link(sock, client=True, timing=timing)
    await curio.spawn(link.run, daemon=True)
    return link


async def serve_link(sock: Any, handler: CallHandler, timing: LinkTiming) -> None:
    """Serve the calls of a link that another process opened; refuse one that may not."""
    try:
        sock = await link_security.accept(sock)
    except ConnectError as error:
        _log.warning("link refused", error=str(error))
        return
    await Link(sock, client=False, timing=timing, handler=handler).run()
