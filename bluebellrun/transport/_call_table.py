"""The calls of a link in progress, and the memory that is charged for them."""

from bluebellrun.transport._call import Call
from bluebellrun.transport._memory import LinkMemory

# The memory of a call beside its messages: its objects and its task.
CALL_COST_BYTES = 8_192


class CallTable:
    """The calls in progress by the id of their stream."""

    def __init__(self, memory: LinkMemory) -> None:
        self._memory = memory
        self._calls: dict[int, Call] = {}

    def __len__(self) -> int:
        """Return how many calls are in progress."""
        return len(self._calls)

    def get(self, stream_id: int) -> Call | None:
        """Return a call, none if it is not in progress."""
        return self._calls.get(stream_id)

    def add(self, call: Call) -> None:
        """Add a call that this process made."""
        self._calls[call.stream_id] = call

    async def accept(self, call: Call) -> None:
        """Add a call that the peer made; raise ``LinkLostError`` if there is no room for it."""
        self.add(call)
        await self.hold(call, CALL_COST_BYTES)

    async def hold(self, call: Call, size: int) -> None:
        """Charge bytes that arrived; raise ``LinkLostError`` if there is no room for them."""
        await self._memory.hold(size)
        if self.get(call.stream_id) is call:
            call.charge(size)
        else:
            # The call ended during the wait for room.
            self._memory.release(size)

    def consume(self, call: Call, size: int) -> None:
        """Charge a call less by bytes that were consumed."""
        self._memory.release(call.discharge(size))

    def forget(self, stream_id: int) -> bool:
        """Remove a call and what is held for it; return whether it was in progress."""
        call = self._calls.pop(stream_id, None)
        if call is None:
            return False
        self.consume(call, call.charged)
        return True

    async def notify_window_update(self) -> None:
        """Wake the calls that wait for the peer's windows to grow."""
        for call in list(self._calls.values()):
            await call.notify_window_update()

    async def close(self, error: Exception) -> None:
        """Fail all calls and remove them."""
        for call in list(self._calls.values()):
            await call.close(error)
        self._calls.clear()
