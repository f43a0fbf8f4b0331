"""Bound the slots in use so that gaps between events of running streams stay in time. Pure.

All ranks of a model group make their passes together, so one request too many slows every stream.
A pass has a fixed part and one that grows with the requests being answered; the growth varies with
how well the expert map fits the demand. The slowest passes of the latest seconds therefore give the
number of slots that may be taken if the next such moment is to be in time.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median


@dataclass(frozen=True, slots=True)
class PauseSettings:
    """Times in seconds; fractions of all slots.

    The median of the pauses in ``window_s`` counts, from ``min_pauses`` at least; the highest is
    kept for ``retention_s``, as demand shifts every few seconds. Pauses should take
    ``target_fraction`` of the longest that is in time, as load reports are some tenths of a second
    old. Pauses beyond ``outlier_factor`` times that come from an outage, not from load. At least
    ``min_fraction`` of the slots is used. A bound that moved by ``report_step`` is reported.
    Growth that was seen at a load below ``min_load`` counts as seen at that load.
    """

    window_s: float = 0.2
    min_pauses: int = 3
    retention_s: float = 7.0
    target_fraction: float = 0.95
    outlier_factor: float = 2.0
    min_fraction: float = 0.75
    report_step: float = 0.05
    min_load: float = 0.0


class PauseLimit:
    """Track the pauses of one service's streams; times in seconds.

    ``fixed_s`` is the load-independent part of a pass of its group.
    """

    def __init__(self, settings: PauseSettings, fixed_s: float) -> None:
        self._settings = settings
        self._fixed_s = fixed_s
        self._pauses: list[float] = []
        self._window_started: float | None = None
        self._growths: deque[tuple[float, float]] = deque()
        self._reported = 1.0

    @property
    def fixed_s(self) -> float:
        """Return the load-independent part of a pass."""
        return self._fixed_s

    def observe(
        self, pause_s: float, max_pause_s: float, load: Callable[[], float], now: float
    ) -> float | None:
        """Record a pause between two events of a stream.

        ``load`` returns the fraction of slots taken; it is called once per window. Return the
        fraction that the most urgent may take if it has moved enough to report, else none.
        """
        if pause_s > self._settings.outlier_factor * max_pause_s:
            return None
        if self._window_started is None or now - self._window_started > 2 * self._settings.window_s:
            # Pauses from before a period without any say nothing about the present.
            self._pauses.clear()
            self._window_started = now
        self._pauses.append(pause_s)
        if now - self._window_started < self._settings.window_s:
            return None
        if len(self._pauses) >= self._settings.min_pauses:
            self._record_growth(max(0.0, median(self._pauses) - self._fixed_s), load(), now)
        self._pauses.clear()
        self._window_started = None
        return self._if_changed(self.slot_fraction(max_pause_s, now))

    def slot_fraction(self, max_pause_s: float, now: float) -> float:
        """Return the fraction of slots that may be taken; 1 means no bound."""
        growth = self.growth_s(now) or 0.0
        available_s = self._settings.target_fraction * max_pause_s - self._fixed_s
        if growth <= 0.0 or available_s >= growth:
            return 1.0
        return min(1.0, max(self._settings.min_fraction, available_s / growth))

    def growth_s(self, now: float) -> float | None:
        """Return by how much a pass would grow if all slots were taken, none while unknown."""
        self._drop_expired(now)
        return max((growth for _, growth in self._growths), default=None)

    def _if_changed(self, fraction: float) -> float | None:
        """Return the fraction if it has moved enough since the last report, else none."""
        if abs(fraction - self._reported) < self._settings.report_step and (
            fraction < 1.0 or self._reported == 1.0
        ):
            return None
        self._reported = fraction
        return fraction

    def _record_growth(self, growth_s: float, load: float, now: float) -> None:
        """Record by how much a pass would grow if all slots were taken."""
        if load <= 0:
            return
        growth = growth_s / max(load, self._settings.min_load)
        while self._growths and self._growths[-1][1] <= growth:
            self._growths.pop()
        self._growths.append((now, growth))
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        """Drop records older than the retention time."""
        while self._growths and now - self._growths[0][0] > self._settings.retention_s:
            self._growths.popleft()
