"""Find an upstream whose steps became far slower than its own history.

The history moves slowly and is frozen while the upstream straggles, so that a long fault does not
become typical. A rise that most upstreams of the service share is load, and one that leaves an
upstream as fast as the median does no harm; neither makes a straggler.
"""

from collections.abc import Collection
from dataclasses import dataclass
from statistics import median

SLOW_FACTOR = 2.0
RECOVERED_FACTOR = 1.4
MEDIAN_FACTOR = 1.5
REPORTS_TO_SUSPECT = 2
SLOW_FOR_S = 0.15
HISTORY_MEMORY_S = 30.0
WARM_UP_REPORTS = 5
WARM_UP_S = 1.0
SHARED_RISE_FRACTION = 0.5


@dataclass(slots=True)
class _History:
    """Step times of one upstream, in seconds."""

    typical_s: float
    first_seen: float
    last_report: float
    reports: int = 1
    latest_s: float = 0.0
    slow_reports: int = 0
    slow_since: float = 0.0
    straggles: bool = False

    @property
    def ratio(self) -> float:
        """Return the latest step time relative to the typical one."""
        return self.latest_s / self.typical_s if self.typical_s > 0 else 1.0


class StragglerDetector:
    """Compare each upstream's step time with its own past."""

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    @property
    def stragglers(self) -> frozenset[str]:
        """Return the upstreams that straggle."""
        return frozenset(name for name, item in self._histories.items() if item.straggles)

    def observe(self, name: str, step_s: float, reported: float) -> None:
        """Process a report of a step time; repeated reports are ignored."""
        if step_s <= 0:
            return
        history = self._histories.get(name)
        if history is None:
            self._histories[name] = _History(step_s, reported, reported, latest_s=step_s)
            return
        if reported <= history.last_report:
            return
        history.latest_s = step_s
        self._update_state(history, reported)
        self._update_history(history, reported)

    def retain(self, names: Collection[str]) -> None:
        """Forget all other upstreams."""
        for name in [name for name in self._histories if name not in names]:
            del self._histories[name]

    def _update_state(self, history: _History, now: float) -> None:
        """Decide whether an upstream straggles now."""
        if history.straggles:
            slow = history.ratio > RECOVERED_FACTOR and self._slower_than_median(history)
            history.straggles = slow
            return
        warm = history.reports >= WARM_UP_REPORTS and now - history.first_seen >= WARM_UP_S
        if not warm or history.ratio <= SLOW_FACTOR or not self._slower_than_median(history):
            history.slow_reports = 0
            return
        if history.slow_reports == 0:
            history.slow_since = now
        history.slow_reports += 1
        long_enough = now - history.slow_since >= SLOW_FOR_S
        if history.slow_reports >= REPORTS_TO_SUSPECT and long_enough:
            history.straggles = not self._rise_is_shared()

    def _slower_than_median(self, history: _History) -> bool:
        """Return whether an upstream is clearly slower than most of its service."""
        latest = median(item.latest_s for item in self._histories.values())
        return len(self._histories) == 1 or history.latest_s > MEDIAN_FACTOR * latest

    def _rise_is_shared(self) -> bool:
        """Return whether most upstreams are slower than typical."""
        slow = sum(item.ratio > SLOW_FACTOR for item in self._histories.values())
        return slow > 1 and slow > SHARED_RISE_FRACTION * len(self._histories)

    def _update_history(self, history: _History, reported: float) -> None:
        """Move the typical step time towards the latest unless it is exceptional."""
        elapsed = reported - history.last_report
        history.last_report = reported
        history.reports += 1
        if history.straggles or history.slow_reports:
            return
        weight = 1 / history.reports if history.reports <= WARM_UP_REPORTS else 0.0
        weight = max(weight, min(1.0, elapsed / HISTORY_MEMORY_S))
        history.typical_s += weight * (history.latest_s - history.typical_s)
