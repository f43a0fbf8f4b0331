"""Whether, and after what pause, the entry offers a request to another upstream."""

from random import Random

from bluebellrun.core import NotRun, Outcome, Unknown
from bluebellrun.entry._callers import CallerRequest
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.routing import RetryBudget, RetrySettings


class Retries:
    """Decide on retries within a budget for each priority and before the deadline."""

    def __init__(self, settings: EntrySettings, random: Random) -> None:
        self._budget = RetryBudget(RetrySettings(settings.retry_ratio), random)

    def record_first(self, request: CallerRequest) -> None:
        """Note the first attempt of a request."""
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
        """Return the pause in seconds before the next attempt, or none when there is to be none."""
        if not _permitted(request, outcome, answer_started):
            return None
        pause_s = self._budget.pause_s(attempts)
        if now + pause_s >= request.deadline or not self._budget.acquire(
            request.priority, request.customer.name
        ):
            return None
        return pause_s


def _permitted(request: CallerRequest, outcome: Outcome, answer_started: bool) -> bool:
    """Return whether running the request elsewhere cannot make it run twice unasked."""
    match outcome:
        case NotRun(conflict=conflict):
            return not answer_started and not conflict
        case Unknown():
            return request.repeatable and not answer_started
    return False
