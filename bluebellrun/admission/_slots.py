"""Admit requests that can meet their objective, where entries share the slots of a service.

In an overload without refusals, all requests queue and all are late. Refusing the excess keeps the
others in time; the less urgent are refused first. Pure; times in seconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotAdmissionSettings:
    """Fractions of a request's objective that it may spend waiting for a slot.

    The most urgent may wait ``max_wait_fraction`` of it, as the prompt still has to be read; each
    less urgent priority may wait ``wait_ratio`` of what the one before may.
    """

    max_wait_fraction: float = 0.6
    wait_ratio: float = 0.5


@dataclass(frozen=True, slots=True)
class SlotUsage:
    """The slots of a service and the requests that hold or await one, over all entries.

    ``typical_s`` is how long a request typically holds a slot, 0 while that is unknown.
    """

    total: int
    taken: int
    typical_s: float

    @property
    def load(self) -> float:
        """Return the fraction of slots taken, 0 where there are none."""
        return self.taken / self.total if self.total else 0.0

    def has_free(self, fraction: float) -> bool:
        """Return whether less than a fraction of the slots is taken."""
        return self.total <= 0 or self.taken < fraction * self.total

    @property
    def wait_s(self) -> float:
        """Return how long a new request is expected to wait for a slot."""
        if self.total <= 0:
            return 0.0
        waiting = max(0, self.taken + 1 - self.total)
        return waiting * self.typical_s / self.total


class SlotAdmission:
    """Decide whether a request is sent or refused at once."""

    def __init__(self, settings: SlotAdmissionSettings) -> None:
        self._settings = settings

    def admits(
        self, slots: SlotUsage, priority: int, objective_s: float, fraction: float = 1.0
    ) -> bool:
        """Return whether a request of a priority is expected to be in time.

        Requests of its priority may take up to ``fraction`` of the slots; 1 means no bound.
        """
        if fraction < 1.0 and not slots.has_free(fraction):
            return False
        if objective_s <= 0 or slots.total <= 0:
            return True
        settings = self._settings
        allowed = objective_s * settings.max_wait_fraction * settings.wait_ratio ** max(0, priority)
        return slots.wait_s <= allowed

    def retry_after_s(self, slots: SlotUsage) -> float:
        """Return when the requests that wait now should have their slots."""
        return slots.wait_s + slots.typical_s
