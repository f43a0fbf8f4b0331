"""Admit what will be answered in time, where entries share slots that they see only together.

In an overload that nobody refuses, all requests wait and all are late. Refusing as many as the
slots cannot take keeps the others in time; the less urgent go first. Pure; times in seconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotAdmissionSettings:
    """Parts of a request's objective that it may spend waiting for a place.

    The most urgent may wait ``max_wait_fraction`` of it, as the prompt has to be read too; each
    further
    priority only ``wait_ratio`` of what the one before may.
    """

    max_wait_fraction: float = 0.6
    wait_ratio: float = 0.5


@dataclass(frozen=True, slots=True)
class SlotUsage:
    """The slots of a service and the requests that have or await one, over all entries.

    ``typical_s`` is how long a request usually holds a place; 0 while that is not known.
    """

    total: int
    taken: int
    typical_s: float

    @property
    def load(self) -> float:
        """Return the part of all slots that is taken, 0 where there are none."""
        return self.taken / self.total if self.total else 0.0

    def has_free(self, fraction: float) -> bool:
        """Return whether less than a part of all slots is taken."""
        return self.total <= 0 or self.taken < fraction * self.total

    @property
    def wait_s(self) -> float:
        """Return how long a new request is expected to wait for a place."""
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
        """Return whether a request of a priority should be in time.

        ``part`` of all slots may be taken by requests of its priority; 1 is no bound.
        """
        if fraction < 1.0 and not slots.has_free(fraction):
            return False
        if objective_s <= 0 or slots.total <= 0:
            return True
        settings = self._settings
        allowed = objective_s * settings.max_wait_fraction * settings.wait_ratio ** max(0, priority)
        return slots.wait_s <= allowed

    def retry_after_s(self, slots: SlotUsage) -> float:
        """Return when those that wait now should have got their slots."""
        return slots.wait_s + slots.typical_s
