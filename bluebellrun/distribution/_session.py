"""One long call between a child and a parent: one task sends, another receives."""

from collections import deque

import curio

from bluebellrun.messages import ControlMessage, decode_control, encode_message
from bluebellrun.transport import Call, LinkLostError

MAX_QUEUED_BYTES = 33_554_432


class PeerSession:
    """Messages to and from one peer, in order."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._queue_changed = curio.Event()

    async def post(self, message: ControlMessage) -> None:
        """Queue a message."""
        await self.post_encoded(encode_message(message))

    async def post_encoded(self, data: bytes) -> None:
        """Queue a message that was encoded once for several peers."""
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            await self._call.reset()
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        await self._queue_changed.set()

    async def receive(self) -> ControlMessage | None:
        """Return the next message, or none when the peer ended the call."""
        data = await self._call.receive()
        return None if data is None else decode_control(data)

    async def write(self) -> None:
        """Send queued messages until the call is lost."""
        try:
            while True:
                while self._queue:
                    data = self._queue.popleft()
                    self._queued_bytes -= len(data)
                    await self._call.send(data)
                self._queue_changed.clear()
                await self._queue_changed.wait()
        except LinkLostError:
            return

    async def end(self) -> None:
        """End this side of the call."""
        await self._call.end()
