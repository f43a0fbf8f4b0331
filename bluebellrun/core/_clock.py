"""Clock interface and implementations; tests inject a manual clock."""

import time
from typing import Protocol


class Clock(Protocol):
    """Report the seconds elapsed since an arbitrary fixed point."""

    def now(self) -> float:
        """Return the current reading in seconds; it never decreases."""


class MonotonicClock:
    """Read the operating system's monotonic clock."""

    def now(self) -> float:
        """Return the current reading in seconds."""
        return time.monotonic()


class BootClock:
    """Read the operating system's clock since boot, which also counts time spent suspended."""

    def now(self) -> float:
        """Return the current reading in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class UnixClock:
    """Read Unix time, sampled once at the start and advanced by the monotonic clock.

    Its readings never decrease, even if the operating system's time is set back.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now(self) -> float:
        """Return the current reading in Unix seconds."""
        return self._offset + time.monotonic()


class ManualClock:
    """Return a fixed reading that only ``advance`` changes."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the reading forward by a number of seconds."""
        if seconds < 0:
            raise ValueError(f"cannot move a clock back by {-seconds} s; pass a positive number")
        self._now += seconds
