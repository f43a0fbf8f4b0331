"""Bound the places in use so that the pauses of running streams stay in time. Pure.

All ranks of a model group make their passes together: one request too many makes every stream
slower. A pass has a part that does not change, and one that grows with the requests that are
answered; how fast it grows changes with how well the map fits the demand. So the slowest passes of
the latest seconds tell how many places may be taken if the next such moment is to be in time.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median


@dataclass(frozen=True, slots=True)
class PauseSettings:
    """Times in seconds; parts of all places.

    Pauses are gathered for ``window_s`` and their median taken, of ``min_pauses`` at least; the
    highest is remembered for ``retention_s``, as demand shifts every few seconds. Pauses are to
    take ``target_fraction`` of the longest that is in time, as news of the load are some tenths of
    a second
    old. Longer ones than ``outlier_factor`` times that come of an outage, not of the load. At least
    ``min_fraction`` of the places is used. A bound that has moved by ``report_step`` is told.
    """

    window_s: float = 0.2
    min_pauses: int = 3
    retention_s: float = 7.0
    target_fraction: float = 0.95
    outlier_factor: float = 2.0
    min_fraction: float = 0.75
    report_step: float = 0.05


class PauseLimit:
    """Follow the pauses of one service's streams; times in seconds.

    ``fixed_s`` is what a pass of its group takes whatever the load.
    """

    def __init__(self, settings: PauseSettings, fixed_s: float) -> None:
        self._settings = settings
        self._fixed_s = fixed_s
        self._pauses: list[float] = []
        self._window_began: float | None = None
        self._growths: deque[tuple[float, float]] = deque()
        self._told = 1.0

    @property
    def fixed_s(self) -> float:
        """Return what a pass takes whatever the load."""
        return self._fixed_s

    def observe(
        self, pause_s: float, max_pause_s: float, load: Callable[[], float], now: float
    ) -> float | None:
        """Take a pause between two events of a stream.

        ``load`` tells the part of all places that is taken; it is asked once in a window. Return
        the part that the most urgent may take if it has moved, else none.
        """
        if pause_s > self._settings.outlier_factor * max_pause_s:
            return None
        if self._window_began is None or now - self._window_began > 2 * self._settings.window_s:
            # Nothing was heard for a while: what was gathered before it says nothing of now.
            self._pauses.clear()
            self._window_began = now
        self._pauses.append(pause_s)
        if now - self._window_began < self._settings.window_s:
            return None
        if len(self._pauses) >= self._settings.min_pauses:
            self._remember(max(0.0, median(self._pauses) - self._fixed_s), load(), now)
        self._pauses.clear()
        self._window_began = None
        return self._moved(self.slot_fraction(max_pause_s, now))

    def slot_fraction(self, max_pause_s: float, now: float) -> float:
        """Return the part of all places that may be taken; 1 is no bound."""
        self._forget(now)
        growth = max((growth for _, growth in self._growths), default=0.0)
        room_s = self._settings.target_fraction * max_pause_s - self._fixed_s
        if growth <= 0.0 or room_s >= growth:
            return 1.0
        return min(1.0, max(self._settings.min_fraction, room_s / growth))

    def _moved(self, part: float) -> float | None:
        """Return the part if it has moved enough since it was last told, else none."""
        if abs(part - self._told) < self._settings.report_step and (
            part < 1.0 or self._told == 1.0
        ):
            return None
        self._told = part
        return part

    def _remember(self, grown_s: float, load: float, now: float) -> None:
        """Remember by how much a pass would grow if all places were taken."""
        if load <= 0:
            return
        growth = grown_s / load
        while self._growths and self._growths[-1][1] <= growth:
            self._growths.pop()
        self._growths.append((now, growth))
        self._forget(now)

    def _forget(self, now: float) -> None:
        """Drop what is too old."""
        while self._growths and now - self._growths[0][0] > self._settings.retention_s:
            self._growths.popleft()
