"""Work waiting for admission and the port that every policy implements.

Policies hold no clock, socket or task: each method is given ``now`` in seconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Work:
    """A request at an agent. ``cost`` is in tokens, times are in seconds.

    ``kind`` groups requests of similar length, ``max_tokens`` is the longest answer asked for, 0
    where none is stated, and ``served_elsewhere`` the tokens that the customer's entry sent to
    other upstreams since its last request here. ``may_go_elsewhere`` says that another
    upstream can still be tried. ``engine_priority`` is the priority sent to the engine where it
    differs: work started by its floor must not starve inside the engine.
    """

    attempt: str
    customer: str
    priority: int
    arrived: float
    deadline: float
    cost: float = 1.0
    share: float = 1.0
    prompt_tokens: int = 0
    kind: str = ""
    max_tokens: int = 0
    served_elsewhere: float = 0.0
    may_go_elsewhere: bool = False
    engine_priority: int | None = None


@dataclass(frozen=True, slots=True)
class Refusal:
    """Work that is not run, the reason, and when to retry."""

    work: Work
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of a policy: requests that may run at once, and that may wait.

    ``engine_preempts`` says that the upstream pauses less urgent work for more urgent work;
    ``learn_concurrency`` lets the limit move between half of ``concurrency`` and eight times it.
    """

    concurrency: int = 32
    max_waiting: int = 4_096
    engine_preempts: bool = False
    learn_concurrency: bool = True


@dataclass(frozen=True, slots=True)
class PriorityTarget:
    """The objectives of a priority: targets in seconds and a floor from 0 to 1."""

    urgency: int
    first_token_s: float
    token_gap_s: float
    floor: float = 0.0


class AdmissionPolicy(Protocol):
    """Decide which work runs next."""

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""

    @property
    def running(self) -> int:
        """Return how many requests run."""

    @property
    def waiting_cost(self) -> float:
        """Return the cost of the requests that wait."""

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""

    def waiting_before(self, priority: int) -> int:
        """Return the maximum number of waiting requests ahead of new work of a priority."""

    def update_targets(self, targets: Sequence[PriorityTarget]) -> None:
        """Replace the targets and floors in force."""

    def offer(self, work: Work, now: float) -> Refusal | None:
        """Queue work, or refuse it at once."""

    def start_next(self, now: float) -> Work | None:
        """Start and return the next work, or none when nothing may start now."""

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return waiting work that can no longer be on time or was displaced."""

    def withdraw(self, attempt: str) -> bool:
        """Remove waiting work; return whether it was waiting."""

    def finish(self, work: Work, tokens: int, now: float) -> None:
        """Record that running work ended, with the tokens of its answer."""

    def drain(self) -> list[Work]:
        """Remove and return all waiting work."""

    def observe_first_token(self, work: Work, seconds: float, now: float) -> None:
        """Record the time from sending work to the upstream to its first token."""

    def observe_step(self, step_s: float, now: float) -> None:
        """Record the time between two tokens of running work."""
