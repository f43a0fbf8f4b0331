"""Keep within a budget of calls to the key-value service."""

from bluebellrun.core import Clock


class CallBudget:
    """A token bucket: ``per_s`` calls a second, at most ``burst`` at once."""

    def __init__(self, per_s: float, burst: float, clock: Clock) -> None:
        self._per_s = per_s
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._filled = clock.now()

    def take(self) -> float:
        """Take one call; return how long to wait before making it, in seconds."""
        now = self._clock.now()
        self._tokens = min(self._burst, self._tokens + (now - self._filled) * self._per_s)
        self._filled = now
        self._tokens -= 1
        return max(0.0, -self._tokens / self._per_s)
