"""Baselines: round robin and least requests."""

from collections.abc import Sequence
from random import Random

from bluebellrun.routing._models import Candidate, RoutedWork


class _StatelessFeedback:
    """Base of the policies that ignore the outcomes of requests."""

    @property
    def stragglers(self) -> frozenset[str]:
        """Return none: stragglers are not detected."""
        return frozenset()

    @property
    def ejected(self) -> frozenset[str]:
        """Return none: no upstream is ejected."""
        return frozenset()

    def on_refused(self, name: str, priority: int, now: float) -> None:
        """Ignore a refusal."""

    def on_unreachable(self, name: str, now: float) -> None:
        """Ignore a failure to connect."""

    def on_first_byte(self, name: str, seconds: float, now: float) -> None:
        """Ignore a first byte."""

    def on_finished(self, name: str, seconds: float, failed: bool, now: float) -> None:
        """Ignore an end."""


class RoundRobinRouting(_StatelessFeedback):
    """Choose the candidates in turn."""

    def __init__(self, random: Random, failure_domain: str = "") -> None:
        self._next: dict[str, int] = {}

    def choose(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return the next candidate of the service."""
        if not candidates:
            return None
        ordered = sorted(candidates, key=lambda candidate: candidate.name)
        turn = self._next.get(work.service, 0)
        self._next[work.service] = turn + 1
        return ordered[turn % len(ordered)]


class LeastRequestsRouting(_StatelessFeedback):
    """Choose the candidate with the fewest requests of this entry, ties at random."""

    def __init__(self, random: Random, failure_domain: str = "") -> None:
        self._random = random

    def choose(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return the least loaded candidate."""
        if not candidates:
            return None
        fewest = min(candidate.in_flight for candidate in candidates)
        return self._random.choice([c for c in candidates if c.in_flight == fewest])
