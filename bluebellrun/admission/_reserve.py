"""Keep some places free for more urgent requests. Pure; times in seconds.

What an entry knows of the places is some tenths of a second old, and a place that becomes free is
one of a certain upstream. Where the less urgent take all places, an urgent request finds none
although its priority would let it go first.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReserveSettings:
    """The parts of all places that are kept for the more urgent.

    For each step of priority ``fraction_per_step`` is kept, ``max_fraction`` in all. Nothing is
    kept for
    priorities of which no request came for ``active_window_s``.
    """

    fraction_per_step: float = 0.05
    max_fraction: float = 0.25
    active_window_s: float = 10.0


class UrgentReserve:
    """Follow which priorities a service is asked for."""

    def __init__(self, settings: ReserveSettings) -> None:
        self._settings = settings
        self._most_urgent = 0
        self._seen_at: float | None = None

    def record(self, priority: int, now: float) -> None:
        """Note that a request of a priority came."""
        unseen = self._seen_at is None or now - self._seen_at > self._settings.active_window_s
        if unseen or priority <= self._most_urgent:
            self._most_urgent = priority
            self._seen_at = now

    def slot_fraction(self, priority: int) -> float:
        """Return the part of all places that requests of a priority may take."""
        steps = max(0, priority - self._most_urgent)
        return 1.0 - min(self._settings.max_fraction, steps * self._settings.fraction_per_step)
