"""Choose the upstream with the least work, where an entry sends to upstreams directly. Pure.

Work is counted in requests: those that run or wait, plus the prompt tokens still to be read as a
part of a usual request. Ties go to the entry's own failure domain, then by chance.

What the other entries have sent lately is not known yet. Where all take the upstream with the
least known work, they meet there. So a request goes to one of several upstreams, by chance and in
proportion to their free_slots places: as many as have several times the places that unreported
requests take.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# A prompt token that is not read yet counts as this part of a running request: reading holds up
# the whole batch for a moment, a running request for as long as it writes.
UNREAD_TOKEN_WORK = 1 / 2_000
# Free places among which a request is spread, for each request that is on the way unreported.
PLACES_PER_UNSEEN = 4
# Window in which an entry counts its own requests to tell those of the others, in seconds.
RATE_WINDOW_S = 1.0
# Work elsewhere has to be less by this much, in requests, before an answer crosses domains.
OTHER_DOMAIN_WORK = 0.25


@dataclass(frozen=True, slots=True)
class UpstreamWork:
    """What one upstream has to do, as far as this entry knows.

    ``running`` counts requests of all entries. ``slowness`` is its usual time for a request
    over that of its peers, 1 where nothing is known. ``excess_failure_rate`` is the share of late
    requests
    that failed there beyond what its peers fail.
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
        """Return how much longer than at a sound upstream a request takes to succeed."""
        return self.slowness / max(0.05, 1.0 - self.excess_failure_rate)


class UnreportedRequests:
    """Estimate how many requests of other entries are on the way; times in seconds.

    Entries get about as many requests each, as the balancer before them spreads callers.
    """

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def record(self, now: float) -> None:
        """Note a request of this entry."""
        self._sent.append(now)
        while self._sent[0] <= now - RATE_WINDOW_S:
            self._sent.popleft()

    def expected(self, others: int, report_age_s: float) -> float:
        """Return the requests that ``others`` entries sent since their news, by the own rate."""
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

        ``unreported`` is how many requests of other entries may be on the way.
        """
        if not candidates:
            return None
        ranked = sorted(candidates, key=lambda item: (self._work(item), self._random.random()))
        spread = _with_places(ranked, PLACES_PER_UNSEEN * unreported)
        if len(spread) < 2:
            return ranked[0]
        return self._random.choices(spread, [item.free_slots / item.cost for item in spread])[0]

    def _work(self, item: UpstreamWork) -> float:
        """Return the work before a new request, in requests of a sound upstream."""
        queued = max(0, item.running + 1 - item.slots)
        work = item.running + 1 + item.unread_tokens * UNREAD_TOKEN_WORK + queued
        if item.failure_domain != self._failure_domain:
            work += OTHER_DOMAIN_WORK
        return work * item.cost


def _with_places(ranked: Sequence[UpstreamWork], places: float) -> list[UpstreamWork]:
    """Return the best that have free_slots places, until they have so many in all."""
    found: list[UpstreamWork] = []
    for item in ranked:
        if places <= 0 or not item.free_slots:
            break
        found.append(item)
        places -= item.free_slots
    return found
