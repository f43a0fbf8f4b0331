"""Links between processes: gRPC framing over HTTP/2, using h2 on curio.

grpclib requires an asyncio event loop, so this module uses h2, the protocol library that grpclib
is built on. Messages are bytes; callers encode and decode them.
"""

import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import h2.events
import h2.exceptions
from curio.socket import SHUT_RDWR

from bluebellrun.http import MemoryGate
from bluebellrun.transport._call import Call
from bluebellrun.transport._call_table import CallTable
from bluebellrun.transport._control_limit import ControlLimit
from bluebellrun.transport._exceptions import CallError, LinkLostError
from bluebellrun.transport._keep_alive import KeepAlive
from bluebellrun.transport._memory import LinkMemory
from bluebellrun.transport._models import LinkTiming
from bluebellrun.transport._protocol import new_protocol
from bluebellrun.transport._writer import FrameWriter

READ_SIZE_BYTES = 16_384
# Frames of heads, and a part of a frame, that are not complete.
MAX_INCOMPLETE_BYTES = 65_536
PING_DATA = b"bluebell"
CONTENT_TYPE = "application/grpc+msgpack"
STATUS_OK = 0
STATUS_INTERNAL = 13

CallHandler = Callable[[Call], Awaitable[None]]


class Link:
    """An HTTP/2 connection to another process."""

    def __init__(
        self,
        sock: Any,
        client: bool,
        timing: LinkTiming,
        handler: CallHandler | None = None,
        memory: MemoryGate | None = None,
    ) -> None:
        self._socket = sock
        self._memory = LinkMemory(self, memory or MemoryGate())
        self._control = ControlLimit(time.monotonic())
        self._client = client
        self._handler = handler
        self._protocol = new_protocol(client)
        self._writer = FrameWriter(sock, self._protocol, self._shut_down)
        self._calls = CallTable(self._memory)
        self._closed = curio.Event()
        self._error: LinkLostError | None = None
        self._keep_alive = KeepAlive(timing, self._ping, self._shut_down)
        self._bytes_received = 0

    @property
    def closed(self) -> bool:
        """Return whether the link is closed."""
        return self._closed.is_set()

    @property
    def has_calls(self) -> bool:
        """Return whether a call is in progress."""
        return bool(self._calls)

    @property
    def bytes_sent(self) -> int:
        """Return how many bytes this side has sent."""
        return self._writer.bytes_sent

    @property
    def bytes_received(self) -> int:
        """Return how many bytes this side has received."""
        return self._bytes_received

    async def run(self) -> None:
        """Exchange frames until the link is closed, fails or times out."""
        self._keep_alive.record_received()
        error: LinkLostError = LinkLostError("closed")
        pinger = await curio.spawn(self._keep_alive.run, daemon=True)
        writer = await curio.spawn(self._writer.run, daemon=True)
        try:
            await self._writer.flush()
            await self._read_frames()
        except LinkLostError as lost:
            error = lost
        except (OSError, h2.exceptions.ProtocolError) as broken:
            error = LinkLostError(str(broken))
        finally:
            await self._shut_down(error)
            await pinger.cancel()
            await writer.cancel()
            self._memory.close()
            await self._socket.close()

    async def wait_closed(self) -> None:
        """Wait until the link is closed."""
        await self._closed.wait()

    async def close(self) -> None:
        """Close the link."""
        await self._shut_down(LinkLostError("closed by this process"))

    async def give_up(self, error: LinkLostError) -> None:
        """Close the link because of an error of the peer, or for the sake of other links."""
        await self._shut_down(error)

    async def call(self, path: str) -> Call:
        """Start a call."""
        if self._error is not None:
            raise self._error
        stream_id = self._protocol.get_next_available_stream_id()
        call = Call(self, stream_id, path)
        self._calls.add(call)
        headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "bluebellrun"),
            ("content-type", CONTENT_TYPE),
            ("te", "trailers"),
        ]
        self._protocol.send_headers(stream_id, headers)
        await self._writer.flush()
        return call

    async def call_unary(self, path: str, message: bytes, timeout_s: float) -> bytes:
        """Make a call with one message each way and return the reply.

        Raises ``LinkLostError`` when the link is lost or no reply arrives within ``timeout_s``, and
        ``CallError`` when the peer ends the call with an error status or without a reply.
        """
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
        """Send bytes on a call's stream within the peer's flow control window.

        If the caller is cancelled after part of the data was sent, the call is reset: a truncated
        message would corrupt the framing of those that follow.
        """
        view = memoryview(data)
        try:
            while view:
                error = self._error or call.error
                if error is not None:
                    raise error
                if self._writer.is_full:
                    await self._writer.wait_for_progress()
                    continue
                allowed = self._sendable_bytes(call)
                if allowed > 0:
                    self._protocol.send_data(call.stream_id, bytes(view[:allowed]))
                    self._writer.queue(allowed)
                    view = view[allowed:]
                    continue
                call.mark_window_full()
                await self._writer.flush()
                await call.wait_for_window()
        except curio.CancelledError:
            if len(view) < len(data):
                await self.reset_stream(call)
            raise
        await self._writer.flush()

    async def end_stream(self, call: Call) -> None:
        """End the sending side of a call."""
        if self._error is None and self._calls.get(call.stream_id) is call:
            self._protocol.end_stream(call.stream_id)
            await self._writer.flush()

    async def reset_stream(self, call: Call) -> None:
        """Reset a call's stream."""
        await call.close(LinkLostError("this process gave up the call"))
        if self._error is None and self._calls.forget(call.stream_id):
            try:
                self._protocol.reset_stream(call.stream_id)
            except h2.exceptions.ProtocolError:
                return
            await self._writer.flush()

    async def acknowledge(self, call: Call, count: int) -> None:
        """Return the credit for consumed bytes to the peer's flow control window."""
        self._calls.consume(call, count)
        if self._error is not None:
            return
        try:
            self._protocol.acknowledge_received_data(count, call.stream_id)
        except (h2.exceptions.ProtocolError, KeyError):
            return
        await self._writer.flush()

    def _sendable_bytes(self, call: Call) -> int:
        """Return how many bytes the next frame of a call may hold."""
        try:
            window = self._protocol.local_flow_control_window(call.stream_id)
        except h2.exceptions.ProtocolError as error:
            raise LinkLostError(f"the call is over: {error}") from error
        return min(window, self._protocol.max_outbound_frame_size)

    async def _read_frames(self) -> None:
        """Read and dispatch frames until the peer closes."""
        incomplete = 0
        while not self._closed.is_set():
            data = await self._socket.recv(READ_SIZE_BYTES)
            if not data:
                raise LinkLostError("closed by the peer")
            self._bytes_received += len(data)
            self._keep_alive.record_received()
            events = self._protocol.receive_data(data)
            incomplete = 0 if events else incomplete + len(data)
            if incomplete > MAX_INCOMPLETE_BYTES:
                raise LinkLostError(f"{incomplete} bytes complete no frame or head")
            for event in events:
                await self._dispatch(event)
            await self._writer.flush()
            if len(data) == READ_SIZE_BYTES:
                # A peer that sends faster than this process reads lets other tasks run.
                await curio.sleep(0)

    async def _dispatch(self, event: Any) -> None:
        """Handle one h2 event."""
        match event:
            case h2.events.DataReceived():
                await self._handle_data(event)
            case h2.events.RequestReceived():
                await self._handle_request(event)
            case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                await self._handle_headers(event)
            case h2.events.StreamEnded():
                await self._handle_end(event.stream_id, None)
            case h2.events.StreamReset():
                self._count_control_frame()
                await self._handle_end(event.stream_id, LinkLostError("the peer gave up the call"))
                self._calls.forget(event.stream_id)
            case h2.events.PingReceived():
                self._count_control_frame()
            case h2.events.RemoteSettingsChanged():
                self._count_control_frame()
                await self._calls.notify_window_update()
            case h2.events.WindowUpdated():
                await self._calls.notify_window_update()
            case h2.events.ConnectionTerminated():
                raise LinkLostError("the peer is closing the link")

    def _count_control_frame(self) -> None:
        """Count a frame that carries no message; raise ``LinkLostError`` after too many."""
        if not self._control.allow(time.monotonic()):
            raise LinkLostError("the peer sends too many control frames")

    async def _handle_data(self, event: Any) -> None:
        """Pass bytes to their call; drop those of an unknown call."""
        call = self._calls.get(event.stream_id)
        padding = event.flow_controlled_length - len(event.data)
        if call is None:
            self._protocol.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            return
        if padding:
            self._protocol.acknowledge_received_data(padding, event.stream_id)
        await self._calls.hold(call, len(event.data))
        await call.feed(event.data)

    async def _handle_request(self, event: Any) -> None:
        """Start the handler of a call made by the peer."""
        path = dict(event.headers).get(":path", "")
        call = Call(self, event.stream_id, path)
        await self._calls.accept(call)
        await curio.spawn(self._serve_call, call, daemon=True)

    async def _serve_call(self, call: Call) -> None:
        """Run the call handler and end the call with its gRPC status."""
        status, message = STATUS_OK, ""
        try:
            headers = [(":status", "200"), ("content-type", CONTENT_TYPE)]
            self._protocol.send_headers(call.stream_id, headers)
            if self._handler is not None:
                await self._handler(call)
        except (LinkLostError, h2.exceptions.ProtocolError):
            self._calls.forget(call.stream_id)
            return
        except CallError as error:
            status, message = error.status, error.message
        trailers = [("grpc-status", str(status)), ("grpc-message", message)]
        with contextlib.suppress(h2.exceptions.ProtocolError):
            self._protocol.send_headers(call.stream_id, trailers, end_stream=True)
        await self._writer.flush()
        self._calls.forget(call.stream_id)

    async def _handle_headers(self, event: Any) -> None:
        """Fail a call that the peer ended with an error status."""
        headers = dict(event.headers)
        status = int(headers.get("grpc-status", STATUS_OK))
        call = self._calls.get(event.stream_id)
        if status != STATUS_OK and call is not None:
            await call.close(CallError(status, headers.get("grpc-message", "")))

    async def _handle_end(self, stream_id: int, error: Exception | None) -> None:
        """Close a call whose stream the peer ended or reset."""
        call = self._calls.get(stream_id)
        if call is None:
            return
        await call.close(error)
        if self._client:
            self._calls.forget(stream_id)

    async def _ping(self) -> None:
        """Send a ping."""
        self._protocol.ping(PING_DATA)
        await self._writer.flush()

    async def _shut_down(self, error: LinkLostError) -> None:
        """Shut down the connection and fail the calls in progress.

        Only ``run`` closes the socket, once no task waits on it: the file descriptor of a socket
        that is closed while a task waits on it may be reused by another socket.
        """
        if self._closed.is_set():
            return
        self._error = error
        await self._closed.set()
        await self._calls.close(error)
        await self._writer.close()
        with contextlib.suppress(OSError):
            await self._socket.shutdown(SHUT_RDWR)
