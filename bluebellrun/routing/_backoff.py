"""Leave upstreams alone that asked for it as they turned a request away. Pure.

What an upstream asks for binds the process that it answered, not its peers: it may turn one host
away and take the requests of the others.
"""

from collections.abc import Collection, Hashable

# An upstream that asks for more is tried again after an hour, the longest that a deployment's
# upstreams are usually out of service without being replaced.
MAX_BACKOFF_S = 3_600.0


class RequestedBackoff:
    """Until when upstreams want no requests; times in seconds."""

    def __init__(self) -> None:
        self._until: dict[Hashable, float] = {}

    def record(self, upstream: Hashable, seconds: float, now: float) -> None:
        """Note that an upstream wants nothing for so long."""
        until = now + min(seconds, MAX_BACKOFF_S)
        self._until[upstream] = max(until, self._until.get(upstream, until))

    def remaining_s(self, upstream: Hashable, now: float) -> float:
        """Return for how much longer an upstream wants nothing, 0 if it takes requests."""
        return max(0.0, self._until.get(upstream, now) - now)

    def retain(self, upstreams: Collection[Hashable]) -> None:
        """Forget upstreams that are gone."""
        self._until = {name: until for name, until in self._until.items() if name in upstreams}
