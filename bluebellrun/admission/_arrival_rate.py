"""The rate of events, as it is estimated from those of the last seconds. Pure."""

import math


class ArrivalRate:
    """The rate of events a second, over about ``window_s``; correct from the first seconds on."""

    def __init__(self, window_s: float, min_age_s: float, now: float) -> None:
        self._window_s = window_s
        self._min_age_s = min_age_s
        self._started = now
        self._count = 0.0
        self._at = now

    def record(self, now: float) -> None:
        """Record an event."""
        self._count = self._decayed(now) + 1.0
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the rate of events a second."""
        age_s = max(self._min_age_s, now - self._started)
        return self._decayed(now) / (self._window_s * (1.0 - math.exp(-age_s / self._window_s)))

    def _decayed(self, now: float) -> float:
        """Return the events counted with the weight that their age leaves them."""
        return self._count * math.exp((self._at - now) / self._window_s)
