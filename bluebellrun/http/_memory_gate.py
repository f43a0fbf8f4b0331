"""Makes connections wait for memory, and closes those that hold it without need."""

import time
from typing import Protocol

import curio

from bluebellrun.http._memory import Holding, MemoryBudget, MemorySettings
from bluebellrun.telemetry import get_logger

# How long a body waits for room: a body of the largest size at 10 Mbit/s takes 3 s to read.
WAIT_S = 2.0
WAIT_POLL_S = 0.05
# How long bytes in memory wait for what closed connections give up: their handlers notice it at
# the next event of a stream, and only then is the request's body released.
GIVE_UP_S = 0.5
# Looking for stalled connections takes some 100 microseconds with a thousand of them.
POLLS_PER_SEARCH = 5
# Waiting takes a poll of each: more large, or more small ones, than these are refused at once.
MAX_WAITING = 64
# At most one line in this time tells what was closed and refused since the last.
REPORT_INTERVAL_S = 1.0

_log = get_logger("http-memory")


class NoMemoryError(Exception):
    """No room was found for more bytes of a connection."""


class Closable(Protocol):
    """A connection that can be closed while it waits for its caller."""

    async def close_stalled(self, reason: str) -> None:
        """Close the connection."""


class MemoryGate:
    """The memory budget of a process's servers, and the connections that draw on it."""

    def __init__(self, settings: MemorySettings | None = None) -> None:
        self._budget = MemoryBudget(settings)
        self._owners: dict[Holding, Closable] = {}
        # By whether they are small.
        self._waiting = {False: 0, True: 0}
        self._closed = 0
        self._refused = 0
        self._reported = (0, 0)
        self._reported_at = -REPORT_INTERVAL_S

    @property
    def budget(self) -> MemoryBudget:
        """Return the budget."""
        return self._budget

    @property
    def waiting(self) -> int:
        """Return how many requests wait for room."""
        return sum(self._waiting.values())

    @property
    def closed(self) -> int:
        """Return how many stalled connections were closed for others' sake, since the start."""
        return self._closed

    @property
    def refused(self) -> int:
        """Return how many requests found no room, since the start."""
        return self._refused

    def open(self, owner: Closable) -> Holding:
        """Return an empty holding for a connection, to be closed with it."""
        holding = Holding(time.monotonic())
        self._owners[holding] = owner
        return holding

    def close(self, holding: Holding) -> None:
        """Forget a connection and what it held."""
        self._budget.release(holding)
        self._owners.pop(holding, None)

    async def acquire(self, holding: Holding, size: int) -> None:
        """Hold ``size`` bytes for a connection, once there is room.

        Raises ``NoMemoryError`` if there is none in time.
        """
        if self._budget.resize(holding, size, time.monotonic()):
            return
        if await self._close_stalled(holding, size):
            # The stalled connections end in their own turns.
            await curio.sleep(0)
            if self._budget.resize(holding, size, time.monotonic()):
                return
        # Large ones that wait do not take the places of small ones.
        is_small = size <= self._budget.settings.small_bytes
        if self._waiting[is_small] >= MAX_WAITING:
            self._refuse(f"{MAX_WAITING} requests wait for memory already")
        self._waiting[is_small] += 1
        try:
            await self._wait(holding, size)
        finally:
            self._waiting[is_small] -= 1

    async def acquire_held(self, holding: Holding, more: int) -> None:
        """Hold more bytes that are in memory already, at the cost of stalled connections.

        Raises ``NoMemoryError`` if these bytes have to be given up.
        """
        if self._budget.resize(holding, holding.size + more, time.monotonic(), is_answer=True):
            return
        if not await self._close_stalled(holding, holding.size + more, is_answer=True):
            self._refuse("no memory for bytes that a caller does not take")
        # The stalled connections end in their own turns.
        deadline = time.monotonic() + GIVE_UP_S
        await curio.sleep(0)
        while not self._budget.resize(
            holding, holding.size + more, time.monotonic(), is_answer=True
        ):
            if time.monotonic() >= deadline:
                self._refuse("no memory for bytes that a caller does not take")
            await curio.sleep(WAIT_POLL_S)

    async def _wait(self, holding: Holding, size: int) -> None:
        """Wait for room; close stalled connections meanwhile."""
        deadline = time.monotonic() + WAIT_S
        polls = 0
        while True:
            await curio.sleep(WAIT_POLL_S)
            polls += 1
            if polls % POLLS_PER_SEARCH == 0:
                await self._close_stalled(holding, size)
            now = time.monotonic()
            if self._budget.resize(holding, size, now):
                self._budget.restart(holding, now)
                return
            if now >= deadline:
                self._refuse(f"no memory for {size} bytes within {WAIT_S} s")

    async def _close_stalled(self, asking: Holding, size: int, is_answer: bool = False) -> bool:
        """Close the connections that have to go for another one; return whether there were any."""
        chosen = self._budget.select_closed(asking, size, time.monotonic(), is_answer)
        for holding in chosen:
            self._closed += 1
            await self._owners[holding].close_stalled("memory is short and nothing arrives")
        if chosen:
            self._report("stalled connections closed")
        return bool(chosen)

    def _refuse(self, reason: str) -> None:
        """Count a refusal and raise its reason."""
        self._refused += 1
        self._report(reason)
        raise NoMemoryError(reason)

    def _report(self, reason: str) -> None:
        """Log what became of connections since the last line."""
        now = time.monotonic()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        closed, refused = self._reported
        self._reported, self._reported_at = (self._closed, self._refused), now
        _log.warning(
            "memory for callers is short",
            reason=reason,
            held=self._budget.held,
            bound=self._budget.settings.total_bytes,
            waiting=self.waiting,
            closed=self._closed - closed,
            refused=self._refused - refused,
        )
