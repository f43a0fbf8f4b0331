"""How many retries an entry may make, so that a flood does not feed itself."""

from dataclasses import dataclass
from random import Random

FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.25


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Retries allowed for each first attempt, and at most saved up, for each priority."""

    ratio: float = 0.2
    most_saved: float = 20.0


class RetryBudget:
    """A budget for each priority: first attempts fill it, retries empty it."""

    def __init__(self, settings: RetrySettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._saved: dict[int, float] = {}

    def note_first(self, priority: int) -> None:
        """Note the first attempt of a request."""
        saved = self._saved.get(priority, self._settings.most_saved)
        self._saved[priority] = min(self._settings.most_saved, saved + self._settings.ratio)

    def take(self, priority: int) -> bool:
        """Return whether one more retry is allowed, and count it."""
        saved = self._saved.get(priority, self._settings.most_saved)
        if saved < 1:
            return False
        self._saved[priority] = saved - 1
        return True

    def pause_s(self, retry: int) -> float:
        """Return how long to wait before a retry counted from 1, in seconds, with full jitter."""
        longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0**retry)
        return self._random.uniform(0, longest)
