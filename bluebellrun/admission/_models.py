"""Work waiting for admission and the port that every policy implements.

Policies hold no clock, socket or task: each method is given ``now`` in seconds.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Work:
    """A request at an agent. ``cost`` is in tokens, times are in seconds.

    ``kind`` names requests of like length, ``max_tokens`` is the longest answer asked for, 0
    where none is stated, and ``served_elsewhere`` the tokens that the customer's entry sent to
    other upstreams since its last request here. ``may_go_elsewhere`` says that another upstream can
    still be asked. ``engine_priority`` is what the engine is told,
    where that differs: work started by its floor must not starve inside the engine.
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
    """Work that is not run, why, and when to come back."""

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
    """What a priority is promised: targets in seconds and a floor from 0 to 1."""

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
        """Return how many waiting requests new work of a priority would come after at most."""

    def update_targets(self, targets: Sequence[PriorityTarget]) -> None:
        """Take the targets and floors that are in force now."""

    def offer(self, work: Work, now: float) -> Refusal | None:
        """Queue work, or refuse it at once."""

    def start_next(self, now: float) -> Work | None:
        """Take the next work to run, or none when nothing may start now."""

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return waiting work that can no longer be on time or lost its place."""

    def withdraw(self, attempt: str) -> bool:
        """Remove waiting work; return whether it was waiting."""

    def finish(self, work: Work, tokens: int, now: float) -> None:
        """Note that running work has ended after so many tokens."""

    def drain(self) -> list[Work]:
        """Remove and return all waiting work."""

    def observe_first_token(self, work: Work, seconds: float, now: float) -> None:
        """Note the time from sending work to the upstream to its first token."""

    def observe_step(self, step_s: float, now: float) -> None:
        """Note the time between two tokens of running work."""
