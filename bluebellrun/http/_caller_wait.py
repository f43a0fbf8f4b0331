"""A connection's waits for its caller, in which it may be closed for the sake of others."""

from typing import Any

import curio

from bluebellrun.http._memory_gate import MemoryGate


class ClosedForOthersError(curio.CancelledError):
    """The connection was closed, as it waited for its caller while others need its room."""


class CallerWait:
    """Whether a connection waits for its caller, and what is held for it meanwhile."""

    def __init__(self, memory: MemoryGate) -> None:
        self._memory = memory
        self._holding = memory.open(self)
        self._task: Any = None
        self._reason: str | None = None

    @property
    def reason(self) -> str | None:
        """Return why the connection was closed for others, none if it was not."""
        return self._reason

    @property
    def memory(self) -> MemoryGate:
        """Return the memory that the connection draws on."""
        return self._memory

    @property
    def size(self) -> int:
        """Return how many bytes are held."""
        return self._holding.size

    @property
    def is_on(self) -> bool:
        """Return whether the connection waits for its caller."""
        return self._holding.is_closable

    @property
    def moved_at(self) -> float:
        """Return when the connection last made progress, by the monotonic clock."""
        return self._holding.moved_at

    def begin(self, task: Any) -> None:
        """Note that a task waits for the caller from now on."""
        self._task = task
        self._holding.is_closable = True

    def end(self) -> None:
        """Note that the wait is over."""
        self._holding.is_closable = False

    def resize(self, size: int, now: float, is_answer: bool = False) -> bool:
        """Hold as many bytes if there is room at once; return whether there was."""
        return self._memory.budget.resize(self._holding, size, now, is_answer)

    def record_progress(self, moved: int, now: float) -> None:
        """Record that bytes were read from, or written to, the connection."""
        self._memory.budget.record_progress(self._holding, moved, now)

    def restart(self, now: float) -> None:
        """Note that the connection did not wait for its caller until now."""
        self._memory.budget.restart(self._holding, now)

    async def acquire(self, size: int) -> None:
        """Hold as many bytes once there is room; raise ``NoMemoryError`` if there is none."""
        await self._memory.acquire(self._holding, size)

    async def acquire_held(self, more: int) -> None:
        """Hold more bytes, already in memory; raise ``NoMemoryError`` if they have to go."""
        await self._memory.acquire_held(self._holding, more)

    def release(self) -> None:
        """Hold nothing any more."""
        self._memory.budget.release(self._holding)

    def close(self) -> None:
        """Forget the connection: it has ended."""
        self._memory.close(self._holding)

    async def close_stalled(self, reason: str) -> None:
        """Close the connection if it waits for its caller."""
        if not self._holding.is_closable:
            return
        self._holding.is_closable = False
        self._reason = reason
        await self._task.cancel(exc=ClosedForOthersError, blocking=False)
