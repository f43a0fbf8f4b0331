"""Policy for retrying requests at other upstreams."""

from random import Random

from bluebellrun.core import NotRun, Outcome, Unknown
from bluebellrun.entry._callers import CallerRequest
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.routing import RetryBudget, RetrySettings


class Retries:
    """Allow retries within a budget and before the request's deadline."""

    def __init__(self, settings: EntrySettings, random: Random) -> None:
        self._budget = RetryBudget(RetrySettings(settings.retry_ratio), random)

    def record_first(self, request: CallerRequest) -> None:
        """Record a request's first attempt, which adds to the retry budget."""
        self._budget.record_first(request.priority, request.customer.name)

    def allows(self, request: CallerRequest) -> bool:
        """Return whether the budget allows the request one more attempt now."""
        return self._budget.allows(request.priority, request.customer.name)

    def pause_s(
        self,
        request: CallerRequest,
        outcome: Outcome,
        answer_started: bool,
        attempts: int,
        now: float,
    ) -> float | None:
        """Return the pause before the next attempt in seconds, or none if no retry is allowed."""
        if not _permitted(request, outcome, answer_started):
            return None
        pause_s = self._budget.pause_s(attempts)
        if now + pause_s >= request.deadline or not self._budget.acquire(
            request.priority, request.customer.name
        ):
            return None
        return pause_s


def _permitted(request: CallerRequest, outcome: Outcome, answer_started: bool) -> bool:
    """Return whether a retry is safe.

    No answer may have started, and the request must not have run or must be repeatable.
    """
    match outcome:
        case NotRun(conflict=conflict):
            return not answer_started and not conflict
        case Unknown():
            return request.repeatable and not answer_started
    return False
