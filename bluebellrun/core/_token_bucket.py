"""Keep something to a rate: calls, lines of a log. Pure; times in seconds."""


class TokenBucket:
    """Allow a number of calls a second, with a burst after a quiet time."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at = now

    def reserve(self, now: float) -> float:
        """Take one token; return how long to wait before the call may be made, in seconds."""
        self._fill(now)
        self._tokens -= 1
        return 0.0 if self._tokens >= 0 else -self._tokens / self._rate

    def try_acquire(self, now: float) -> bool:
        """Take one token if there is one; return whether there was."""
        self._fill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def refund(self) -> None:
        """Return a token whose call was not made."""
        self._tokens = min(self._burst, self._tokens + 1)

    def _fill(self, now: float) -> None:
        """Add the tokens that time has brought."""
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
