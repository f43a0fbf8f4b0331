"""Logs of serving processes: JSON lines on standard output that never block a request.

Standard output is non-blocking. Lines over a rate limit, and lines that do not fit because the
reader is slow, are dropped; the next line written is preceded by their count.
"""

import os

import structlog

from bluebellrun.core import Clock, MonotonicClock, TokenBucket
from bluebellrun.telemetry._logs import SHARED_PROCESSORS

# Rate limit of a process's log lines, and the burst allowed after a quiet period.
MAX_LINES_PER_S = 100.0
MAX_BURST_LINES = 400.0
STDOUT_DESCRIPTOR = 1


class BoundedOutput:
    """A file that drops lines instead of blocking."""

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR, clock: Clock | None = None) -> None:
        self._descriptor = descriptor
        self._clock = MonotonicClock() if clock is None else clock
        self._rate_limit = TokenBucket(MAX_LINES_PER_S, MAX_BURST_LINES, self._clock.now())
        self._dropped_lines = 0
        self._pending = b""

    @property
    def dropped_lines(self) -> int:
        """Return the number of lines dropped since the last one was written."""
        return self._dropped_lines

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped."""
        if not self._rate_limit.try_acquire(self._clock.now()) or not self._flush_pending():
            self._dropped_lines += 1
            return len(text)
        data = text.encode()
        if self._dropped_lines:
            data = b'{"event": "lines left out", "lines": %d}\n' % self._dropped_lines + data
        self._dropped_lines = 0
        self._pending = data
        self._flush_pending()
        return len(text)

    def flush(self) -> None:
        """Write the rest of the last line, as far as the file accepts it."""
        self._flush_pending()

    def _flush_pending(self) -> bool:
        """Write the rest of the last line; return whether all of it is written."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except (BlockingIOError, BrokenPipeError):
                return False
            self._pending = self._pending[written:]
        return True


def configure_serving_logs(**bound_fields: str) -> None:
    """Write JSON lines to standard output without blocking; bind fields to every line."""
    os.set_blocking(STDOUT_DESCRIPTOR, False)
    structlog.configure(
        processors=[
            *SHARED_PROCESSORS,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(20),
        logger_factory=structlog.WriteLoggerFactory(file=BoundedOutput()),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**bound_fields)
