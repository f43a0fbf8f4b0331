"""Admit what will be answered in time, where entries share places that they see only together.

In an overload that nobody refuses, all requests wait and all are late. Refusing as many as the
places cannot take keeps the others in time; the less urgent go first. Pure; times in seconds.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacesSettings:
    """Parts of a request's objective that it may spend waiting for a place.

    The most urgent may wait ``wait_part`` of it, as the prompt has to be read too; each further
    priority only ``less_urgent`` of what the one before may.
    """

    wait_part: float = 0.6
    less_urgent: float = 0.5


@dataclass(frozen=True, slots=True)
class Places:
    """The places of a service and the requests that have or await one, over all entries.

    ``usual_s`` is how long a request usually holds a place; 0 while that is not known.
    """

    total: int
    taken: int
    usual_s: float

    @property
    def load(self) -> float:
        """Return the part of all places that is taken, 0 where there are none."""
        return self.taken / self.total if self.total else 0.0

    def has_free(self, part: float) -> bool:
        """Return whether less than a part of all places is taken."""
        return self.total <= 0 or self.taken < part * self.total

    @property
    def wait_s(self) -> float:
        """Return how long a new request is expected to wait for a place."""
        if self.total <= 0:
            return 0.0
        waiting = max(0, self.taken + 1 - self.total)
        return waiting * self.usual_s / self.total


class PlacesAdmission:
    """Decide whether a request is sent or refused at once."""

    def __init__(self, settings: PlacesSettings) -> None:
        self._settings = settings

    def admits(self, places: Places, priority: int, objective_s: float, part: float = 1.0) -> bool:
        """Return whether a request of a priority should be in time.

        ``part`` of all places may be taken by requests of its priority; 1 is no bound.
        """
        if part < 1.0 and not places.has_free(part):
            return False
        if objective_s <= 0 or places.total <= 0:
            return True
        settings = self._settings
        allowed = objective_s * settings.wait_part * settings.less_urgent ** max(0, priority)
        return places.wait_s <= allowed

    def retry_after_s(self, places: Places) -> float:
        """Return when those that wait now should have got their places."""
        return places.wait_s + places.usual_s
