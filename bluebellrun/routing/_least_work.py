"""Choose the upstream with the least work, where an entry sends to upstreams directly. Pure.

Work is counted in requests: those that run or wait, plus the prompt tokens still to be read as a
fraction of a typical request. Ties go to the entry's own failure domain, then to a random one.

What the other entries have sent lately is not known yet. If all entries chose the upstream with the
least known work, they would overload it. So a request goes to one of several upstreams, at random
in proportion to their free slots: to as many as have several times the slots that unreported
requests take.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# Work of an unread prompt token as a fraction of a running request: reading delays the whole batch
# for a moment, a running request for as long as it generates.
UNREAD_TOKEN_WORK = 1 / 2_000
# Free slots among which a request is spread, for each unreported request.
SLOTS_PER_UNREPORTED = 4
# Window in which an entry counts its own requests to estimate those of the others, in seconds.
RATE_WINDOW_S = 1.0
# Work elsewhere has to be less by this much, in requests, before an answer crosses domains.
OTHER_DOMAIN_WORK = 0.25


@dataclass(frozen=True, slots=True)
class UpstreamWork:
    """The work of one upstream, as far as this entry knows.

    ``running`` counts requests of all entries. ``slowness`` is its typical time for a request over
    that of its peers, 1 where nothing is known. ``excess_failure_rate`` is the share of recent
    requests that failed there beyond the share of its peers.
    """

    name: str
    failure_domain: str
    slots: int
    running: int = 0
    unread_tokens: int = 0
    slowness: float = 1.0
    excess_failure_rate: float = 0.0

    @property
    def free_slots(self) -> int:
        """Return how many requests could start at once."""
        return max(0, self.slots - self.running)

    @property
    def cost(self) -> float:
        """Return how much longer than at a healthy upstream a request takes to succeed."""
        return self.slowness / max(0.05, 1.0 - self.excess_failure_rate)


class UnreportedRequests:
    """Estimate the requests of other entries that are sent and unreported; times in seconds.

    Entries get about as many requests each, as the balancer before them spreads callers.
    """

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def record(self, now: float) -> None:
        """Record a request of this entry."""
        self._sent.append(now)
        while self._sent[0] <= now - RATE_WINDOW_S:
            self._sent.popleft()

    def expected(self, others: int, report_age_s: float) -> float:
        """Estimate requests sent by ``others`` entries since reporting, at this entry's rate."""
        return len(self._sent) / RATE_WINDOW_S * others * report_age_s


class LeastWorkRouting:
    """Send each request to an upstream that has little to do for its size and speed."""

    def __init__(self, random: Random, failure_domain: str) -> None:
        self._random = random
        self._failure_domain = failure_domain

    def choose(
        self, candidates: Sequence[UpstreamWork], unreported: float = 0.0
    ) -> UpstreamWork | None:
        """Return a good candidate, or none when there is none.

        ``unreported`` is the estimated number of unreported requests of other entries.
        """
        if not candidates:
            return None
        ranked = sorted(candidates, key=lambda item: (self._work(item), self._random.random()))
        spread = _with_free_slots(ranked, SLOTS_PER_UNREPORTED * unreported)
        if len(spread) < 2:
            return ranked[0]
        return self._random.choices(spread, [item.free_slots / item.cost for item in spread])[0]

    def _work(self, item: UpstreamWork) -> float:
        """Return the work before a new request, in requests of a healthy upstream."""
        queued = max(0, item.running + 1 - item.slots)
        work = item.running + 1 + item.unread_tokens * UNREAD_TOKEN_WORK + queued
        if item.failure_domain != self._failure_domain:
            work += OTHER_DOMAIN_WORK
        return work * item.cost


def _with_free_slots(ranked: Sequence[UpstreamWork], slots_needed: float) -> list[UpstreamWork]:
    """Return the best upstreams with free slots, until ``slots_needed`` are reached."""
    found: list[UpstreamWork] = []
    for item in ranked:
        if slots_needed <= 0 or not item.free_slots:
            break
        found.append(item)
        slots_needed -= item.free_slots
    return found
