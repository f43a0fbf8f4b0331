"""Reserve some slots for more urgent requests. Pure; times in seconds.

An entry's view of the slots is some tenths of a second old, and a slot that becomes free belongs to
one particular upstream. If less urgent requests take all slots, an urgent request finds none even
though its priority would let it go first.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReserveSettings:
    """The fractions of the slots that are reserved for more urgent requests.

    Each step of priority reserves ``fraction_per_step``, at most ``max_fraction`` in total. Nothing
    is reserved for priorities without a request in the last ``active_window_s``.
    """

    fraction_per_step: float = 0.05
    max_fraction: float = 0.25
    active_window_s: float = 10.0


class UrgentReserve:
    """Track the most urgent priority that a service has lately received."""

    def __init__(self, settings: ReserveSettings) -> None:
        self._settings = settings
        self._most_urgent = 0
        self._received_at: float | None = None

    def record(self, priority: int, now: float) -> None:
        """Record a request of a priority."""
        expired = (
            self._received_at is None or now - self._received_at > self._settings.active_window_s
        )
        if expired or priority <= self._most_urgent:
            self._most_urgent = priority
            self._received_at = now

    def slot_fraction(self, priority: int) -> float:
        """Return the fraction of the slots that requests of a priority may take."""
        steps = max(0, priority - self._most_urgent)
        return 1.0 - min(self._settings.max_fraction, steps * self._settings.fraction_per_step)
