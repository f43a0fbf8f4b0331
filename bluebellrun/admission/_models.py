"""Work waiting for admission and the port that every policy implements.

Policies hold no clock, socket or task: each method is given ``now`` in seconds.
"""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Work:
    """A request at an agent. ``cost`` is in tokens, times are in seconds."""

    attempt: str
    customer: str
    priority: int
    arrived: float
    deadline: float
    cost: float = 1.0
    share: float = 1.0
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Work that is not run, why, and when to come back."""

    work: Work
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Bounds of a policy: requests that may run at once, and that may wait."""

    concurrency: int = 32
    max_waiting: int = 4_096


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

    def offer(self, work: Work, now: float) -> Refusal | None:
        """Queue work, or refuse it at once."""

    def start_next(self, now: float) -> Work | None:
        """Take the next work to run, or none when nothing may start now."""

    def expire(self, now: float) -> list[Refusal]:
        """Remove and return waiting work that can no longer be on time."""

    def withdraw(self, attempt: str) -> bool:
        """Remove waiting work; return whether it was waiting."""

    def finish(self, work: Work, tokens: int, now: float) -> None:
        """Note that running work has ended after so many tokens."""

    def drain(self) -> list[Work]:
        """Remove and return all waiting work."""

    def observe_step(self, step_s: float, now: float) -> None:
        """Note the time between two tokens of running work."""
