"""Notice that a group's steps take longer than a moment ago. Pure; times in seconds.

A rank that turns slow shows at once in the steps of its group, of which the counts tell; what
each rank says of itself is read more seldom, as that takes a call to every rank.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StepTimesSettings:
    """Steps of the latest ``recent_s`` are compared with those of ``usual_s`` before.

    They have turned longer by ``longer`` times or more. That is said once in ``pause_s``, as one
    reading of all ranks is enough to find out which of them it is.
    """

    recent_s: float = 0.3
    usual_s: float = 1.2
    longer: float = 1.5
    pause_s: float = 0.5


class StepTimes:
    """Follow the number of a group's latest step."""

    def __init__(self, settings: StepTimesSettings) -> None:
        self._settings = settings
        self._seen: deque[tuple[float, int]] = deque()
        self._said_at: float | None = None

    @property
    def step_s(self) -> float | None:
        """Return how long a step takes, over all readings that are kept; none if unknown."""
        if len(self._seen) < 2:
            return None
        steps_a_second = _pace(self._seen[0], self._seen[-1])
        return 1 / steps_a_second if steps_a_second else None

    def observe(self, step: int, now: float) -> bool:
        """Take the number of the latest step; return whether steps have turned longer."""
        settings, seen = self._settings, self._seen
        if seen and step < seen[-1][1]:
            seen.clear()
        seen.append((now, step))
        while now - seen[0][0] > settings.recent_s + settings.usual_s:
            seen.popleft()
        recent_from = next(item for item in seen if item[0] >= now - settings.recent_s)
        usual = _pace(seen[0], recent_from)
        recent = _pace(recent_from, seen[-1])
        if not usual or recent is None or recent * settings.longer > usual:
            return False
        if self._said_at is not None and now - self._said_at < settings.pause_s:
            return False
        self._said_at = now
        return True


def _pace(first: tuple[float, int], last: tuple[float, int]) -> float | None:
    """Return the steps a second between two readings, none where no time lies between."""
    seconds = last[0] - first[0]
    return (last[1] - first[1]) / seconds if seconds > 0 else None
