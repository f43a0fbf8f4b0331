"""Send no requests to upstreams for as long as they asked when refusing one. Pure.

The backoff binds the process that was refused, not its peers: an upstream may refuse one host and
accept the requests of others.
"""

from collections.abc import Collection, Hashable

# An upstream that asks for more is tried again after an hour, the longest that a deployment's
# upstreams are usually out of service without being replaced.
MAX_BACKOFF_S = 3_600.0


class RequestedBackoff:
    """The deadlines until which upstreams accept no requests; times in seconds."""

    def __init__(self) -> None:
        self._deadlines: dict[Hashable, float] = {}

    def record(self, upstream: Hashable, seconds: float, now: float) -> None:
        """Record that an upstream accepts no requests for some seconds."""
        deadline = now + min(seconds, MAX_BACKOFF_S)
        self._deadlines[upstream] = max(deadline, self._deadlines.get(upstream, deadline))

    def remaining_s(self, upstream: Hashable, now: float) -> float:
        """Return the remaining backoff of an upstream, 0 if it accepts requests."""
        return max(0.0, self._deadlines.get(upstream, now) - now)

    def retain(self, upstreams: Collection[Hashable]) -> None:
        """Forget all other upstreams."""
        self._deadlines = {
            name: deadline for name, deadline in self._deadlines.items() if name in upstreams
        }
