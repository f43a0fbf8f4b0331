"""Choose the upstream with the least work, where an entry sends to upstreams directly. Pure.

Work is counted in requests: those that run or wait, plus the prompt tokens still to be read as a
part of a usual request. Ties go to the entry's own failure domain, then by chance.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# A prompt token that is not read yet counts as this part of a running request: reading holds up
# the whole batch for a moment, a running request for as long as it writes.
UNREAD_TOKEN_WORK = 1 / 2_000
# Work elsewhere has to be less by this much, in requests, before an answer crosses domains.
OTHER_DOMAIN_WORK = 0.25


@dataclass(frozen=True, slots=True)
class UpstreamWork:
    """What one upstream has to do, as far as this entry knows.

    ``running`` counts requests of all entries. ``slowness`` is its usual time for a request
    over that of its peers, 1 where nothing is known. ``failing`` is the share of late requests
    that failed there beyond what its peers fail.
    """

    name: str
    failure_domain: str
    slots: int
    running: int = 0
    unread_tokens: int = 0
    slowness: float = 1.0
    failing: float = 0.0

    @property
    def has_place(self) -> bool:
        """Return whether a request could start at once."""
        return self.running < self.slots


class LeastWorkRouting:
    """Send each request to the upstream that has the least to do for its size and speed."""

    def __init__(self, random: Random, failure_domain: str) -> None:
        self._random = random
        self._failure_domain = failure_domain

    def choose(self, candidates: Sequence[UpstreamWork]) -> UpstreamWork | None:
        """Return the best candidate, or none when there is none."""
        if not candidates:
            return None
        return min(candidates, key=lambda item: (self._work(item), self._random.random()))

    def _work(self, item: UpstreamWork) -> float:
        """Return the work before a new request, in requests of a sound upstream."""
        queued = max(0, item.running + 1 - item.slots)
        work = item.running + 1 + item.unread_tokens * UNREAD_TOKEN_WORK + queued
        if item.failure_domain != self._failure_domain:
            work += OTHER_DOMAIN_WORK
        return work * item.slowness / max(0.05, 1.0 - item.failing)
