"""A circuit breaker that rejects calls to a failing service. Performs no I/O."""

from random import Random

from bluebellrun.store._backoff import Backoff

FAILURE_THRESHOLD = 4


class CircuitBreaker:
    """Open after consecutive failures, then allow one probe at a time."""

    def __init__(self, random: Random, failure_threshold: int = FAILURE_THRESHOLD) -> None:
        self._backoff = Backoff(random, initial_s=0.25)
        self._failure_threshold = failure_threshold
        self._consecutive_failures = 0
        self._next_probe_at = 0.0
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Return whether all calls except probes are rejected."""
        return self._consecutive_failures >= self._failure_threshold

    def allows(self, now: float) -> bool:
        """Return whether a call may be made; while open, an allowed call becomes the probe."""
        if not self.is_open:
            return True
        if now < self._next_probe_at or self._probing:
            return False
        self._probing = True
        return True

    def record_success(self) -> None:
        """Record that the service answered and close the breaker."""
        self._consecutive_failures = 0
        self._probing = False
        self._backoff.reset()

    def record_failure(self, now: float) -> None:
        """Record that the service did not answer or refused the call."""
        self._consecutive_failures += 1
        self._probing = False
        if self.is_open:
            self._next_probe_at = now + self._backoff.pause_s()

    def record_cancellation(self) -> None:
        """Record that a call was cancelled before its result was known."""
        self._probing = False
