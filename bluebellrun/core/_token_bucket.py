"""A token bucket for rate limits. Does no I/O; times are in seconds."""


class TokenBucket:
    """Limit a rate, allowing a burst after an idle period. It begins full unless ``empty``."""

    def __init__(self, rate_per_s: float, burst: float, now: float, empty: bool = False) -> None:
        self._rate = rate_per_s
        self._burst = burst
        self._tokens = 0.0 if empty else burst
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

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available, 0 if one is."""
        self._fill(now)
        return max(0.0, 1 - self._tokens) / self._rate

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate and the burst; of the tokens accrued so far, a burst is kept."""
        self._fill(now)
        self._rate, self._burst = rate_per_s, burst
        self._tokens = min(burst, self._tokens)

    def refund(self) -> None:
        """Put back a reserved token that was not used."""
        self._tokens = min(self._burst, self._tokens + 1)

    def _fill(self, now: float) -> None:
        """Add the tokens accrued since the last call."""
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
