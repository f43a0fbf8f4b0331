"""Bound further sends over all entries together, without a counter that they share. Pure.

Within any window the sends of a service beyond the first of each request may come to a ratio of
its requests plus a slack. Each entry keeps to the ratio of its own requests and to its part of
the slack, so that the sum holds whatever the others do.
"""

from collections import deque
from dataclasses import dataclass

# Entries see requests and sends at other moments than those who count them do.
KEPT_BACK = 0.8


@dataclass(frozen=True, slots=True)
class AttemptBudgetSettings:
    """The bound over all entries, and how many entries share it; the window in seconds."""

    ratio: float
    slack: float
    window_s: float
    entries: int = 1


class AttemptBudget:
    """One entry's part of a service's further sends; times in seconds."""

    def __init__(self, settings: AttemptBudgetSettings) -> None:
        self._settings = settings
        self._firsts: deque[float] = deque()
        self._further: deque[float] = deque()

    @property
    def settings(self) -> AttemptBudgetSettings:
        """Return the bound and the number of entries."""
        return self._settings

    @settings.setter
    def settings(self, settings: AttemptBudgetSettings) -> None:
        self._settings = settings

    def record_first(self, now: float) -> None:
        """Note the first send of a request."""
        self._firsts.append(now)
        self._forget(now)

    def acquire(self, now: float) -> bool:
        """Return whether one more further send is allowed, and count it."""
        if self.remaining(now) < 1:
            return False
        self._further.append(now)
        return True

    def remaining(self, now: float) -> float:
        """Return how many further sends are allowed now."""
        self._forget(now)
        settings = self._settings
        share = settings.slack / max(1, settings.entries)
        allowed = KEPT_BACK * (settings.ratio * len(self._firsts) + share)
        return allowed - len(self._further)

    def _forget(self, now: float) -> None:
        """Drop what lies before the window."""
        start = now - self._settings.window_s
        for times in (self._firsts, self._further):
            while times and times[0] < start:
                times.popleft()
