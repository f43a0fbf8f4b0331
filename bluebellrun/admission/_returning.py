"""Tell callers that come back after a refusal from new ones. Pure; times in seconds.

Callers may come back to any entry and under another id. What gives them away is that they say
how long they wait: those of one route say about the same at first, and less once they have waited.
"""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReturningSettings:
    """How the usual patience of a route's new callers is learnt.

    Of the latest ``kept`` callers the patience below which ``usual_part`` of them lie is the usual
    one, so that a few that wait far longer than the others do not set it. Who waits less than
    ``returning_part`` of it has surely come back: new callers differ by some tenths. Before
    ``least_callers`` the route's time-out stands for it, as right after a start callers come back
    that the process does not know. At most ``most_routes`` are kept, the latest met.
    """

    kept: int = 100
    least_callers: int = 10
    usual_part: float = 0.9
    returning_part: float = 0.83
    most_routes: int = 1_024


class ReturningCallers:
    """Learn from what callers say how long those of each route wait."""

    def __init__(self, settings: ReturningSettings) -> None:
        self._settings = settings
        self._patience: dict[str, deque[float]] = {}

    def has_come_back(self, route: str, patience_s: float | None, timeout_s: float) -> bool:
        """Take a caller's patience; return whether it has surely been here before.

        ``timeout_s`` is how long requests of the route are answered at most.
        """
        if patience_s is None:
            return False
        said = self._said(route)
        said.append(patience_s)
        settings = self._settings
        usual_s = timeout_s
        if len(said) >= settings.least_callers:
            usual_s = sorted(said)[int(settings.usual_part * (len(said) - 1))]
        return patience_s < settings.returning_part * usual_s

    def _said(self, route: str) -> deque[float]:
        """Return what the latest callers of a route said."""
        said = self._patience.get(route)
        if said is None:
            if len(self._patience) >= self._settings.most_routes:
                del self._patience[next(iter(self._patience))]
            said = self._patience[route] = deque(maxlen=self._settings.kept)
        return said
