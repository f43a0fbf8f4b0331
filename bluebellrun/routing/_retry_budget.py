"""How many retries an entry may make, so that retries do not amplify an overload."""

from collections import OrderedDict
from dataclasses import dataclass
from random import Random

FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.25
MAX_BUDGETS = 16_384


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Retries allowed for each first attempt, and the most that a customer may accumulate."""

    ratio: float = 0.2
    max_saved: float = 5.0


class RetryBudget:
    """A budget for each priority, in which each customer has what its first attempts earn.

    All retries of a priority stay within the ratio to its first attempts, and a customer
    that floods uses only its own.
    """

    def __init__(self, settings: RetrySettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._saved: OrderedDict[tuple[int, str], float] = OrderedDict()

    def record_first(self, priority: int, customer: str) -> None:
        """Record the first attempt of a request."""
        key = (priority, customer)
        saved = self._saved.pop(key, self._settings.max_saved)
        self._saved[key] = min(self._settings.max_saved, saved + self._settings.ratio)
        if len(self._saved) > MAX_BUDGETS:
            self._saved.popitem(last=False)

    def acquire(self, priority: int, customer: str) -> bool:
        """Return whether one more retry is allowed, and count it."""
        if not self.allows(priority, customer):
            return False
        self._saved[(priority, customer)] -= 1
        return True

    def allows(self, priority: int, customer: str) -> bool:
        """Return whether one more retry would be allowed now."""
        return self._saved.get((priority, customer), 0.0) >= 1

    def pause_s(self, retry: int) -> float:
        """Return how long to wait before a retry counted from 1, in seconds, with full jitter."""
        max_pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0**retry)
        return self._random.uniform(0, max_pause_s)
