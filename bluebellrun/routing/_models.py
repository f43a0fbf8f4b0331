"""Inputs and interface of routing policies."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """An agent's report of its load and when it was received, in seconds; 0 when there is none.

    ``waiting_before`` gives for each urgency how many requests wait before new work of it.
    """

    waiting: int = 0
    running: int = 0
    waiting_tokens: float = 0.0
    limit: int = 1
    step_s: float = 0.0
    reported: float = 0.0
    waiting_before: tuple[int, ...] = ()

    def ahead_of(self, priority: int) -> int:
        """Return how many requests wait or run before new work of a priority."""
        waiting = self.waiting
        if priority < len(self.waiting_before):
            waiting = self.waiting_before[priority]
        return waiting + self.running


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may take the request.

    ``in_flight`` counts the requests this entry has there now.
    """

    name: str
    region: str
    failure_domain: str
    in_flight: int
    load: UpstreamLoad

    @property
    def has_free_capacity(self) -> bool:
        """Return whether its last report shows that it could start a request at once."""
        return self.load.waiting == 0 and self.load.running < self.load.limit


@dataclass(frozen=True, slots=True)
class RoutedWork:
    """The part of a request that routing depends on."""

    service: str
    customer: str
    priority: int
    prompt: bytes
    deadline: float


class RoutingPolicy(Protocol):
    """Choose an upstream among candidates and learn from the outcomes of requests."""

    @property
    def stragglers(self) -> frozenset[str]:
        """Return the upstreams whose steps are far slower than their own history."""

    @property
    def ejected(self) -> frozenset[str]:
        """Return the upstreams that get no work for a while after failures."""

    def choose(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return the candidate to offer the request to, or none when there is none."""

    def on_refused(self, name: str, priority: int, now: float) -> None:
        """Record that an upstream refused a request of a priority."""

    def on_unreachable(self, name: str, now: float) -> None:
        """Record that an upstream's agent could not be reached."""

    def on_first_byte(self, name: str, seconds: float, now: float) -> None:
        """Record the time from sending a request to its first byte."""

    def on_finished(self, name: str, seconds: float, failed: bool, now: float) -> None:
        """Record that a request ended."""
