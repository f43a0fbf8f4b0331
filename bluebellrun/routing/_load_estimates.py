"""An entry's estimates of upstream load: reports weighted by age, and its own requests."""

from collections import deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from bluebellrun.routing._models import Candidate

REPORT_HALF_LIFE_S = 1.0
MAX_SENT_AGE_S = 5.0
SLOW_START_S = 8.0
FIRST_WEIGHT = 0.25
DEFAULT_STEP_S = 0.05
DEPARTED_AFTER_S = 300.0


@dataclass(slots=True)
class _UpstreamRecord:
    """When an upstream was first seen and when this entry sent it requests, in seconds."""

    first_seen: float
    newcomer: bool
    last_seen: float
    sent: deque[tuple[float, int]] = field(default_factory=deque)


class LoadEstimator:
    """Estimate how loaded each upstream is now."""

    def __init__(self) -> None:
        self._known: dict[str, _UpstreamRecord] = {}
        self._started: float | None = None

    def register(self, candidates: Sequence[Candidate], now: float) -> None:
        """Register new upstreams; those of the first call are not treated as newcomers."""
        if self._started is None and candidates:
            self._started = now
        for candidate in candidates:
            known = self._known.get(candidate.name)
            if known is None:
                newcomer = self._started is not None and now > self._started
                known = self._known[candidate.name] = _UpstreamRecord(now, newcomer, now)
            known.last_seen = now

    def record_sent(self, name: str, priority: int, now: float) -> None:
        """Record that a request is sent to an upstream."""
        sent = self._known[name].sent
        sent.append((now, priority))
        while sent and now - sent[0][0] > MAX_SENT_AGE_S:
            sent.popleft()

    def forget_departed(self, now: float) -> Collection[str]:
        """Forget upstreams that have not been candidates for long; return those that remain."""
        for name in [n for n, k in self._known.items() if now - k.last_seen > DEPARTED_AFTER_S]:
            del self._known[name]
        return self._known.keys()

    def occupied(self, candidate: Candidate, priority: int, mean: float, now: float) -> float:
        """Return the requests that wait or run there before new work of a priority.

        ``mean`` is the average of the other upstreams; an aging report converges to it.
        """
        sent = self._known[candidate.name].sent
        since = sum(at > candidate.load.reported and p <= priority for at, p in sent)
        weight = self.freshness(candidate, now)
        fallback = max(mean, candidate.in_flight)
        return weight * (candidate.load.ahead_of(priority) + since) + (1 - weight) * fallback

    def freshness(self, candidate: Candidate, now: float) -> float:
        """Return the weight of the last report, from 1 to 0; 1 while the upstream is idle."""
        if candidate.load.reported == 0:
            return 0.0
        if candidate.in_flight == 0 and candidate.load.running == 0:
            return 1.0
        age = max(0.0, now - candidate.load.reported)
        return float(2.0 ** (-age / REPORT_HALF_LIFE_S))

    def weight(self, name: str, now: float) -> float:
        """Return the part of its capacity that a newcomer is trusted with."""
        known = self._known[name]
        if not known.newcomer:
            return 1.0
        grown = (now - known.first_seen) / SLOW_START_S
        return min(1.0, FIRST_WEIGHT + (1 - FIRST_WEIGHT) * grown)


def mean_occupied(candidates: Sequence[Candidate], priority: int) -> float:
    """Return the mean of the requests before new work of a priority that upstreams reported."""
    total = sum(item.load.ahead_of(priority) for item in candidates)
    return total / len(candidates) if candidates else 0.0


def step_s(candidate: Candidate) -> float:
    """Return an upstream's step time in seconds, a default where none has been reported."""
    return candidate.load.step_s or DEFAULT_STEP_S
