"""Logs of serving processes: JSON lines on standard output that never hold a request up.

Standard output is written without waiting. Lines beyond a rate, or that a slow reader leaves no
room for, are left out; how many is said with the next line that is written.
"""

import os

import structlog

from bluebellrun.core import Clock, MonotonicClock, TokenBucket
from bluebellrun.telemetry._logs import SHARED_PROCESSORS

# Lines a second that a process may write on average, and how many at once after a calm time.
LINES_PER_S = 100.0
LINES_AT_ONCE = 400.0
STANDARD_OUTPUT = 1


class BoundedOutput:
    """A file that leaves out lines instead of waiting."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT, clock: Clock | None = None) -> None:
        self._descriptor = descriptor
        self._clock = MonotonicClock() if clock is None else clock
        self._allowance = TokenBucket(LINES_PER_S, LINES_AT_ONCE, self._clock.now())
        self._left_out = 0
        self._rest = b""

    @property
    def left_out(self) -> int:
        """Return the lines left out since the last one that was written."""
        return self._left_out

    def write(self, text: str) -> int:
        """Write a line, or count it as left out."""
        if not self._allowance.try_acquire(self._clock.now()) or not self._flush_rest():
            self._left_out += 1
            return len(text)
        data = text.encode()
        if self._left_out:
            data = b'{"event": "lines left out", "lines": %d}\n' % self._left_out + data
        self._left_out = 0
        self._rest = data
        self._flush_rest()
        return len(text)

    def flush(self) -> None:
        """Write what is left of the last line, if there is room."""
        self._flush_rest()

    def _flush_rest(self) -> bool:
        """Write what is left of the last line; return whether all is written."""
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except (BlockingIOError, BrokenPipeError):
                return False
            self._rest = self._rest[written:]
        return True


def configure_serving_logs(**fixed: str) -> None:
    """Write JSON lines to standard output without waiting; bind fields to every line."""
    os.set_blocking(STANDARD_OUTPUT, False)
    structlog.configure(
        processors=[
            *SHARED_PROCESSORS,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=structlog.WriteLoggerFactory(file=BoundedOutput()),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fixed)
