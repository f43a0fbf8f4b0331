"""Relay one request to upstreams until it is answered, refused or lost.

A non-repeatable request is retried only if an upstream guarantees that it did not run. A
repeatable one is also retried after a failure, within its route's attempts and the retry budget.
A resumable stream continues at another upstream after the last complete event that the caller
has.
"""

import math
import time
from collections.abc import Callable
from functools import partial

import curio

from bluebellrun.gateway._admission_control import QUEUE_INTERVAL_S, AdmissionControl
from bluebellrun.gateway._admission_terms import AdmissionTerms
from bluebellrun.gateway._attempts import UpstreamAttempts
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._models import (
    Answered,
    BrokenOff,
    CallerRequest,
    Refused,
    Result,
    Unresolved,
    Upstream,
)
from bluebellrun.gateway._outcomes import Declined, Done, Failed, Lost, Moved, NotSent, Outcome
from bluebellrun.gateway._ports import Wire
from bluebellrun.gateway._prompt_check import PromptCheck
from bluebellrun.gateway._prompt_guard import PromptGuard
from bluebellrun.gateway._relay_terms import RelayTerms
from bluebellrun.gateway._upstream_choice import UpstreamChoice
from bluebellrun.http import HttpExchange
from bluebellrun.routing import AttemptBudget

BAD_GATEWAY = 502
UNAVAILABLE = 503
# Pause before a group that refuses work is retried; it re-forms within some tenths of a second.
RESUME_PAUSE_S = 0.25
# Subtracted from the time that callers wait for a stream's next event, as a resumed stream needs
# time to continue, and a new one to begin.
RESUME_TIME_S = 0.2
SERVING_TIME_S = 0.3
# Minimum time before the deadline that a complete answer needs.
MIN_ANSWER_S = 0.1
# Upstreams that may refuse a request before it is refused: where a few are full, most are.
MAX_REFUSALS = 1
# Retries that moving streams off slow ranks leaves for requests that would otherwise fail.
RETRIES_RESERVED_FOR_FAILURES = 3
# Remaining time below which an attempt could not be answered.
MIN_REMAINING_S = 0.02


class Relay:
    """The relaying of one request; created for each.

    ``stop_deadline`` returns when this process gives up its requests, infinity while it does not
    stop.
    """

    def __init__(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        terms: RelayTerms,
        fleet: Fleet,
        wire: Wire,
        admission_control: AdmissionControl,
        budget: AttemptBudget,
        guard: PromptGuard,
        stop_deadline: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._stop_deadline = stop_deadline
        self._exchange = exchange
        self._request = request
        self._terms = terms
        self._route = terms.route
        self._service = terms.service
        self._fleet = fleet
        self._admission_control = admission_control
        self._budget = budget
        self._prompt_check = PromptCheck(request, terms.service, guard)
        # The upstreams that are not tried, and those of them that failed themselves.
        self._excluded: set[str] = set()
        self._failed: set[str] = set()
        self._choice = UpstreamChoice(exchange, request, terms, fleet, self._has_caller_given_up)
        self._attempts = UpstreamAttempts(
            exchange,
            request,
            terms,
            fleet,
            wire,
            admission_control,
            guard,
            self._prompt_check,
            self._may_move,
        )

    @property
    def attempts(self) -> int:
        """Return the number of attempts."""
        return self._attempts.count

    @property
    def upstream(self) -> str:
        """Return the upstream of the last attempt, empty before the first."""
        return self._attempts.upstream

    @property
    def runs(self) -> int:
        """Return how many attempts may have run."""
        return self._attempts.runs

    async def run(self) -> Result:
        """Send the request until it is settled.

        A caller's retry that no upstream accepted is queued again, and so is any request in an
        outage of the service.
        """
        terms = self._admission_terms()
        quarantined = self._prompt_check.decide()
        if quarantined is not None:
            return self._prompt_check.withhold(quarantined)
        while True:
            refused = await self._admission_control.admit(terms, self._attempts.count > 0)
            if refused is not None:
                return refused
            try:
                result = await self._send_until_settled()
            finally:
                self._admission_control.finish(terms)
            if self._prompt_check.is_withheld or not isinstance(result, Refused):
                return result
            if not self._may_queue_again(terms):
                return self._admission_control.refusal_of(terms, result.reason)
            self._excluded.clear()
            self._failed.clear()
            self._attempts.forget_refusals()
            await curio.sleep(QUEUE_INTERVAL_S)

    async def _send_until_settled(self) -> Result:
        """Try upstreams one after the other until the request is settled."""
        missing = "retry left" if self._attempts.count else "upstream"
        outcome: Outcome = Declined(f"service {self._service!r} has no {missing}", had_slots=True)
        while True:
            withheld = await self._check_prompt()
            if withheld is not None:
                return withheld
            upstream = await self._choice.choose(self._excluded)
            now = time.monotonic()
            # An attempt that was not sent has not used its retry.
            is_granted = isinstance(outcome, Moved | NotSent)
            if upstream is None or not (is_granted or self._may_attempt(now)):
                self._prompt_check.end_probe()
                if isinstance(outcome, Declined) and self._fleet.is_at_limits(self._service, now):
                    outcome = Declined("the upstreams of the service are at their rate limits")
                return await self._give_up(outcome)
            outcome = await self._attempts.make(upstream, partial(self._choice.may_send, upstream))
            match outcome:
                case Done(status):
                    return Answered(status, upstream.instance, self._attempts.count)
                case Failed(answer, body):
                    if not self._may_run_again():
                        await self._exchange.answer(answer.status, answer.headers, body)
                        return Answered(answer.status, upstream.instance, self._attempts.count)
                case Lost():
                    if not self._may_run_again():
                        return await self._give_up(outcome)
            self._exclude(upstream, outcome)
            resumes = self._exchange.started and not isinstance(outcome, Moved | NotSent)
            if resumes and not await self._await_resumption(upstream):
                return await self._give_up(outcome)

    async def _check_prompt(self) -> Result | None:
        """Return none if the request may be sent as far as its prompt is known, else its result."""
        if self._exchange.started:
            return None
        deadline = self._admission_terms().send_deadline
        return await self._prompt_check.check(deadline, self._attempts.count, self._attempts.runs)

    def _admission_terms(self) -> AdmissionTerms:
        """Return the inputs to the admission decision."""
        terms = self._terms
        caller_deadline = self._request.received + terms.stream_timeout_s - SERVING_TIME_S
        deadline = min(terms.deadline, self._stop_deadline())
        send_deadline = min(caller_deadline, deadline - self._answer_s())
        request = self._request
        return AdmissionTerms(
            request.id,
            terms.route,
            terms.urgency,
            send_deadline,
            terms.is_retry,
            request.received,
            deadline,
            request.prompt_tokens,
            request.expected_tokens,
        )

    def _answer_s(self) -> float:
        """Return the time that an answer is expected to take."""
        typical_s = self._fleet.typical_s(self._service, time.monotonic())
        return max(MIN_ANSWER_S, typical_s * self._terms.length)

    def _is_stop_near(self, now: float) -> bool:
        """Return whether this process stops before an answer is to be expected."""
        stop_deadline = self._stop_deadline()
        return stop_deadline < math.inf and now >= stop_deadline - self._answer_s()

    def _may_queue_again(self, terms: AdmissionTerms) -> bool:
        """Return whether a request that no upstream accepted is queued again."""
        now = time.monotonic()
        if self._is_stop_near(now):
            return False
        in_outage = self._admission_control.gate.is_unavailable(now)
        return (terms.is_retry or in_outage) and now < terms.send_deadline

    def _may_attempt(self, now: float) -> bool:
        """Return whether there is time for an attempt and, after the first, budget."""
        if self._terms.deadline - now < MIN_REMAINING_S or self._is_stop_near(now):
            return False
        if self._attempts.count == 0:
            self._budget.record_first(now)
            return True
        started = self._exchange.started
        if not started and (
            self._attempts.refusals > MAX_REFUSALS
            or self._admission_control.gate.is_unavailable(now)
        ):
            return False
        return self._budget.acquire(now)

    def _may_move(self, upstream: Upstream) -> bool:
        """Return whether a stream moves to another upstream; its retry is then granted."""
        now = time.monotonic()
        return (
            self._fleet.is_drained(upstream, now)
            and self._fleet.has_unlimited_other(upstream, now)
            and self._may_run_again()
            and self._budget.remaining(now) > RETRIES_RESERVED_FOR_FAILURES
            and self._budget.acquire(now)
        )

    def _may_run_again(self) -> bool:
        """Return whether the request may run at one more upstream."""
        is_resumable = self._route.streamed or not self._exchange.started
        return (
            is_resumable and self._route.repeatable and self._attempts.runs < self._route.attempts
        )

    def _exclude(self, upstream: Upstream, outcome: Outcome) -> None:
        """Exclude an upstream from further attempts, with its group if another group is open.

        A lost answer and a refusal despite free slots show that the group has broken.
        """
        self._excluded.add(upstream.instance)
        self._failed.add(upstream.instance)
        match outcome:
            case Lost() | Declined(had_slots=True) | Declined(unreachable=True):
                if self._fleet.has_other_group(upstream, self._excluded, time.monotonic()):
                    self._excluded.update(self._fleet.group_instances(upstream))

    async def _await_resumption(self, upstream: Upstream) -> bool:
        """Pause before a stream is resumed; return false if its caller has given up.

        It is resumed at once where another group than that of its last upstream accepts it. If none
        does, any may form first: only the upstreams that it was sent to stay excluded. All are
        tried again once each has refused.
        """
        if self._has_caller_given_up():
            return False
        if self._fleet.has_other_group(upstream, self._excluded, time.monotonic()):
            return True
        available = self._fleet.available(self._service, time.monotonic())
        self._excluded &= self._failed
        if all(upstream.instance in self._excluded for upstream in available):
            self._excluded.clear()
            self._failed.clear()
        await curio.sleep(RESUME_PAUSE_S)
        return True

    def _has_caller_given_up(self, in_s: float = 0.0) -> bool:
        """Return whether a stream's caller gives up before it is resumed ``in_s`` later."""
        silent_s = time.monotonic() - self._attempts.last_event_at + in_s
        return silent_s > self._terms.stream_timeout_s - RESUME_TIME_S

    async def _give_up(self, outcome: Outcome) -> Result:
        """Return the result after the last attempt."""
        match outcome:
            case Failed(answer, body):
                await self._exchange.answer(answer.status, answer.headers, body)
                return Answered(answer.status, "", self._attempts.count)
            case Declined(reason) | NotSent(reason) | Lost(reason) | Moved(reason):
                pass
            case Done(status):
                return Answered(status, "", self._attempts.count)
        if self._exchange.started:
            return BrokenOff(reason, self._attempts.count)
        if self._attempts.runs:
            return Unresolved(BAD_GATEWAY, reason, self._attempts.count)
        return Refused(UNAVAILABLE, reason)
