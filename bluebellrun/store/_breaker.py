"""A circuit breaker: calls to a failing service are refused for a while. Pure."""

from random import Random

from bluebellrun.store._backoff import Backoff

FAILURES_TO_OPEN = 4


class CircuitBreaker:
    """Open after several failures in a row; then let one probe through at a time."""

    def __init__(self, random: Random, failures_to_open: int = FAILURES_TO_OPEN) -> None:
        self._backoff = Backoff(random, initial_s=0.25)
        self._failures_to_open = failures_to_open
        self._failures = 0
        self._closed_until = 0.0
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Return whether calls other than probes are refused."""
        return self._failures >= self._failures_to_open

    def allows(self, now: float) -> bool:
        """Return whether a call may be made; an open breaker counts it as its probe."""
        if not self.is_open:
            return True
        if now < self._closed_until or self._probing:
            return False
        self._probing = True
        return True

    def succeeded(self) -> None:
        """Note that the service answered."""
        self._failures = 0
        self._probing = False
        self._backoff.reset()

    def failed(self, now: float) -> None:
        """Note that the service did not answer, or refused."""
        self._failures += 1
        self._probing = False
        if self.is_open:
            self._closed_until = now + self._backoff.pause_s()

    def abandoned(self) -> None:
        """Note that a call was cancelled before it could tell anything."""
        self._probing = False
