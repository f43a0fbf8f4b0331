"""The bytes that a process holds for its callers, and who waits or is closed when they run out.

Pure: the caller passes the time, and closes the connections that ``select_closed`` names.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

# A gateway process holds 36 MB at rest; a directory of thousands of upstreams takes as much again.
BASE_BYTES = 64_000_000
# A held byte costs up to twice its size: buffers grow by an eighth, a body is copied once when it
# is whole, and freed memory is not returned to the system at once.
COST_OF_A_BYTE = 2
# What is left on a host whose memory is about that of a process at rest.
LEAST_PART = 16
# The part of the budget that only small holdings may use.
RESERVED_PART = 4
# Heads are at most as long by default, and so are most bodies: their senders are the last to wait.
SMALL_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class MemorySettings:
    """Bounds in bytes and seconds; a ``total_bytes`` of 0 is no bound.

    Holdings over ``small_bytes`` leave ``reserved_bytes`` of the total free. A holding is stalled
    if it has moved by less than ``step_bytes`` in ``stalled_s``: bodies that are read under normal
    conditions move by more in a few milliseconds.
    """

    total_bytes: int = 0
    reserved_bytes: int = 0
    small_bytes: int = SMALL_BYTES
    step_bytes: int = 16_384
    stalled_s: float = 1.0


def memory_settings(memory_bytes: int) -> MemorySettings:
    """Return the budget of a process that may use some bytes of memory; 0 is no bound."""
    total = max(memory_bytes // LEAST_PART, (memory_bytes - BASE_BYTES) // COST_OF_A_BYTE)
    return MemorySettings(max(0, total), max(0, total) // RESERVED_PART)


class Holding:
    """The bytes that are held for one connection, and when they last moved."""

    __slots__ = ("_is_closable", "_moved", "_moved_at", "_size")

    def __init__(self, now: float) -> None:
        self._size = 0
        self._moved = 0
        self._moved_at = now
        self._is_closable = False

    @property
    def size(self) -> int:
        """Return how many bytes are held."""
        return self._size

    @property
    def moved_at(self) -> float:
        """Return when enough bytes last moved, or when they were first held."""
        return self._moved_at

    @property
    def is_closable(self) -> bool:
        """Return whether the connection waits for its caller, so that it may be closed."""
        return self._is_closable

    @is_closable.setter
    def is_closable(self, value: bool) -> None:
        self._is_closable = value


class MemoryBudget:
    """Counts the bytes held for all connections of a process. Times are in seconds."""

    def __init__(self, settings: MemorySettings | None = None) -> None:
        self._settings = settings or MemorySettings()
        self._held = 0
        self._holdings: set[Holding] = set()

    @property
    def settings(self) -> MemorySettings:
        """Return the bounds."""
        return self._settings

    @property
    def held(self) -> int:
        """Return how many bytes are held."""
        return self._held

    @property
    def holdings(self) -> Collection[Holding]:
        """Return the holdings that are not empty."""
        return self._holdings

    def resize(self, holding: Holding, size: int, now: float, is_answer: bool = False) -> bool:
        """Hold ``size`` bytes for a connection; return false, and change nothing, without room.

        Less than before always has room. An answer may use the reserve: it is held already.
        """
        if not size:
            self.release(holding)
            return True
        more = size - holding._size
        if more > 0 and not self._has_room(holding, size, more, is_answer):
            return False
        if not holding._size:
            self.restart(holding, now)
            self._holdings.add(holding)
        holding._size = size
        self._held += more
        return True

    def release(self, holding: Holding) -> None:
        """Hold nothing any more for a connection."""
        if holding._size:
            self._held -= holding._size
            holding._size = 0
            self._holdings.discard(holding)

    def record_progress(self, holding: Holding, moved: int, now: float) -> None:
        """Record that bytes were read from, or written to, a connection."""
        holding._moved += moved
        if holding._moved >= self._settings.step_bytes:
            holding._moved = 0
            holding._moved_at = now

    def restart(self, holding: Holding, now: float) -> None:
        """Count the time without progress from now on: until now it was not the caller's."""
        holding._moved = 0
        holding._moved_at = now

    def select_closed(
        self, asking: Holding, size: int, now: float, is_answer: bool = False
    ) -> list[Holding]:
        """Return which connections to close so that ``size`` bytes have room for another one.

        Only stalled ones, the largest first and of these the oldest; none if closing all of them
        would not do.
        """
        others = self._held - asking.size
        # The only holding may be of any size.
        missing = min(others, others + size - self._bound(size, is_answer))
        stalled = [holding for holding in self._stalled(now) if holding is not asking]
        # Every waiting body asks at each of its polls, and there may be thousands of holdings.
        if sum([holding._size for holding in stalled]) < missing:
            return []
        chosen: list[Holding] = []
        for holding in sorted(stalled, key=lambda held: (-held.size, held._moved_at)):
            if missing <= 0:
                break
            chosen.append(holding)
            missing -= holding.size
        return chosen

    def _stalled(self, now: float) -> Iterable[Holding]:
        """Return the holdings that wait for their callers and do not move."""
        before = now - self._settings.stalled_s
        return (held for held in self._holdings if held._is_closable and held._moved_at <= before)

    def _has_room(self, holding: Holding, size: int, more: int, is_answer: bool) -> bool:
        """Return whether a holding may grow; the only one may always."""
        if not self._settings.total_bytes or self._held == holding._size:
            return True
        return self._held + more <= self._bound(size, is_answer)

    def _bound(self, size: int, is_answer: bool) -> int:
        """Return how many bytes may be held in all with a holding of some size."""
        settings = self._settings
        if is_answer or size <= settings.small_bytes:
            return settings.total_bytes
        return settings.total_bytes - settings.reserved_bytes
