"""Bound retries over all entries together without a shared counter. Pure.

Within any window the attempts of a service beyond the first of each request may reach a ratio of
its requests plus a slack. Each entry keeps to the ratio of its own requests and to its part of the
slack, so that the sum holds whatever the others do.
"""

from collections import deque
from dataclasses import dataclass

# Part of the bound that is used: entries count requests and attempts at other moments than the
# observers that check the bound.
USED_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class AttemptBudgetSettings:
    """The bound over all entries, and how many entries share it; the window in seconds."""

    ratio: float
    slack: float
    window_s: float
    entries: int = 1


class AttemptBudget:
    """One entry's part of a service's retries; times in seconds."""

    def __init__(self, settings: AttemptBudgetSettings) -> None:
        self._settings = settings
        self._firsts: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def settings(self) -> AttemptBudgetSettings:
        """Return the bound and the number of entries."""
        return self._settings

    @settings.setter
    def settings(self, settings: AttemptBudgetSettings) -> None:
        self._settings = settings

    def record_first(self, now: float) -> None:
        """Record the first attempt of a request."""
        self._firsts.append(now)
        self._drop_expired(now)

    def acquire(self, now: float) -> bool:
        """Return whether one more retry is allowed, and count it."""
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        return True

    def remaining(self, now: float) -> float:
        """Return how many retries are allowed now."""
        self._drop_expired(now)
        settings = self._settings
        share = settings.slack / max(1, settings.entries)
        allowed = USED_FRACTION * (settings.ratio * len(self._firsts) + share)
        return allowed - len(self._retries)

    def _drop_expired(self, now: float) -> None:
        """Drop times before the window."""
        start = now - self._settings.window_s
        for times in (self._firsts, self._retries):
            while times and times[0] < start:
                times.popleft()
