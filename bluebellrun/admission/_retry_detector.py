"""Distinguish retries from new requests. Pure; times in seconds.

A caller may retry at any entry and under another id. But it states its remaining timeout: callers
of one route state about the same at first, and less once they have waited.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryDetectorSettings:
    """How the typical timeout of a route's callers is learned.

    It is the ``typical_quantile`` of the latest ``sample_size`` timeouts, so that a few far longer
    ones do not set it. A timeout below ``retry_fraction`` of it is certainly a retry: those of new
    callers differ by some tenths. Before ``min_callers`` the route's timeout is used instead: right
    after a start a process gets retries of requests that it has never seen. At most ``max_routes``
    are kept, the latest added.
    """

    sample_size: int = 100
    min_callers: int = 10
    typical_quantile: float = 0.9
    retry_fraction: float = 0.83
    max_routes: int = 1_024


class RetryDetector:
    """Learn the initial timeout of the callers of each route."""

    def __init__(self, settings: RetryDetectorSettings) -> None:
        self._settings = settings
        self._timeouts_by_route: dict[str, deque[float]] = {}

    def is_retry(self, route: str, caller_timeout_s: float | None, route_timeout_s: float) -> bool:
        """Record a request's timeout; return whether it is certainly a retry.

        ``route_timeout_s`` is how long requests of the route are answered at most.
        """
        if caller_timeout_s is None:
            return False
        timeouts = self._timeouts(route)
        timeouts.append(caller_timeout_s)
        settings = self._settings
        typical_s = route_timeout_s
        if len(timeouts) >= settings.min_callers:
            typical_s = sorted(timeouts)[int(settings.typical_quantile * (len(timeouts) - 1))]
        return caller_timeout_s < settings.retry_fraction * typical_s

    def _timeouts(self, route: str) -> deque[float]:
        """Return the latest timeouts stated by callers of a route."""
        timeouts = self._timeouts_by_route.get(route)
        if timeouts is None:
            if len(self._timeouts_by_route) >= self._settings.max_routes:
                del self._timeouts_by_route[next(iter(self._timeouts_by_route))]
            timeouts = self._timeouts_by_route[route] = deque(maxlen=self._settings.sample_size)
        return timeouts
