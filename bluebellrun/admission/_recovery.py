"""Share a service between new requests and those that an outage delayed. Pure; times in seconds.

Right after an outage the requests that waited for its end could fill all slots. New requests would
then find none, be late in turn, and come back: the service stays full of late requests long after
the outage. Late requests are therefore admitted only to the slots that new ones do not need.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """Times in seconds; fractions of this entry's share of the slots.

    A service recovers for ``duration_s`` after an outage. The rate of new requests is averaged over
    about ``rate_window_s``. Late requests may always hold ``min_late_fraction``. Callers that are
    asked to come back are spread over ``max_spread_s`` at most.
    """

    duration_s: float = 8.0
    rate_window_s: float = 4.0
    min_late_fraction: float = 0.15
    max_spread_s: float = 2.0


class RecoveryLimit:
    """Track one entry's late requests of a service, and how many slots its new ones need."""

    def __init__(self, settings: RecoverySettings) -> None:
        self._settings = settings
        self._rate = 0.0
        self._rate_at = 0.0
        self._late: set[str] = set()
        self._promised_until = 0.0

    @property
    def late(self) -> int:
        """Return the number of late requests that hold slots."""
        return len(self._late)

    def record_new(self, now: float) -> None:
        """Record the arrival of a new request."""
        self._rate = self._rate_at_time(now) + 1.0 / self._settings.rate_window_s
        self._rate_at = now

    def admit_late(self, request_id: str) -> None:
        """Record that a late request is sent."""
        self._late.add(request_id)

    def finish(self, request_id: str) -> None:
        """Record that a request, late or not, has ended."""
        self._late.discard(request_id)

    def recovers(self, outage_ended_at: float | None, now: float) -> bool:
        """Return whether an outage ended lately."""
        return outage_ended_at is not None and now - outage_ended_at < self._settings.duration_s

    def late_slots(self, slots: float, typical_s: float, now: float) -> float:
        """Return how many of this entry's share of the slots late requests may hold.

        A request holds a slot for ``typical_s``.
        """
        needed = self._rate_at_time(now) * typical_s
        return max(slots - needed, self._settings.min_late_fraction * slots, 1.0)

    def retry_after_s(self, earliest_s: float, slots: float, typical_s: float, now: float) -> float:
        """Return when a refused request should be retried: in ``earliest_s`` or later.

        Each caller is told a later time than the one before, as slots for late requests become free
        one after the other.
        """
        earliest = now + earliest_s
        start = max(earliest, self._promised_until)
        start = min(start, earliest + self._settings.max_spread_s)
        self._promised_until = start + typical_s / self.late_slots(slots, typical_s, now)
        return start - now

    def _rate_at_time(self, now: float) -> float:
        """Return the rate of new requests a second, as averaged until now."""
        return self._rate * math.exp((self._rate_at - now) / self._settings.rate_window_s)
