"""Tell retries from new requests. Pure; times in seconds.

A caller may retry at any entry and under another id. But it says how long it still waits: callers
of one route say about the same at first, and less once they have waited.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryDetectorSettings:
    """How the usual patience of a route's callers is learnt.

    Of the latest ``kept`` callers the patience below which ``typical_quantile`` of them lie is the
    usual
    one, so that a few that wait far longer than the others do not set it. Who waits less than
    ``retry_fraction`` of it is retrying for sure: new callers differ by some tenths. Before
    ``min_callers`` the route's time-out stands for it: right after a start a process meets
    retries of requests that it has never seen. At most ``max_routes`` are kept, the latest met.
    """

    sample_size: int = 100
    min_callers: int = 10
    typical_quantile: float = 0.9
    retry_fraction: float = 0.83
    max_routes: int = 1_024


class RetryDetector:
    """Learn how long callers of each route wait at first."""

    def __init__(self, settings: RetryDetectorSettings) -> None:
        self._settings = settings
        self._patience: dict[str, deque[float]] = {}

    def is_retry(self, route: str, caller_timeout_s: float | None, route_timeout_s: float) -> bool:
        """Take a request's patience; return whether it is a retry for sure.

        ``route_timeout_s`` is how long requests of the route are answered at most.
        """
        if caller_timeout_s is None:
            return False
        said = self._said(route)
        said.append(caller_timeout_s)
        settings = self._settings
        usual_s = route_timeout_s
        if len(said) >= settings.min_callers:
            usual_s = sorted(said)[int(settings.typical_quantile * (len(said) - 1))]
        return caller_timeout_s < settings.retry_fraction * usual_s

    def _said(self, route: str) -> deque[float]:
        """Return what the latest callers of a route said."""
        said = self._patience.get(route)
        if said is None:
            if len(self._patience) >= self._settings.max_routes:
                del self._patience[next(iter(self._patience))]
            said = self._patience[route] = deque(maxlen=self._settings.sample_size)
        return said
