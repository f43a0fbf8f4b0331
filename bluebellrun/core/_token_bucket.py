"""A token bucket for rate limits. Does no I/O; times are in seconds."""


class TokenBucket:
    """Limit a rate, allowing a burst after an idle period."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def reserve(self, now: float) -> float:
        """Reserve one token; return the wait in seconds before it may be used."""
        self._fill(now)
        self._tokens -= 1
        return 0.0 if self._tokens >= 0 else -self._tokens / self._rate

    def try_acquire(self, now: float) -> bool:
        """Acquire one token if available; return whether it was."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Put back a reserved token that was not used."""
        self._tokens = min(self._burst, self._tokens + 1)

    def _fill(self, now: float) -> None:
        """Add the tokens accrued since the last call."""
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
