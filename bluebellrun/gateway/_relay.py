"""Relay one request to upstreams until it is answered, refused or lost.

A non-repeatable request is retried only if an upstream guarantees that it did not run. A
repeatable one is also retried after a failure, within its route's attempts and the retry budget.
A resumable stream continues at another upstream after the last complete event that the caller
has.
"""

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

import curio

from bluebellrun.deployment import Deployment, Route
from bluebellrun.gateway._admission_control import QUEUE_INTERVAL_S, AdmissionControl
from bluebellrun.gateway._admission_terms import AdmissionTerms
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._models import (
    Answered,
    Attempt,
    BrokenOff,
    CallerRequest,
    Refused,
    Result,
    Unresolved,
    Upstream,
    UpstreamAnswer,
    UpstreamIncarnation,
)
from bluebellrun.gateway._outcomes import Declined, Done, Failed, Lost, Moved, Outcome
from bluebellrun.gateway._passing import StreamProgress, forward_answer, forward_stream
from bluebellrun.gateway._ports import Wire
from bluebellrun.gateway._prompt_guard import LossCause, PromptGuard
from bluebellrun.http import (
    ConnectError,
    ConnectionLostError,
    HttpExchange,
    HttpResponse,
    TransportError,
)
from bluebellrun.quarantine import Allowed, Decision, Pending, Probe, Quarantined
from bluebellrun.routing import AttemptBudget
from bluebellrun.telemetry import get_logger

UNPROCESSABLE = 422
BAD_GATEWAY = 502
UNAVAILABLE = 503
# Crashes under a prompt from which on its requests are refused for good.
CRASHES_OF_FINAL_REFUSAL = 2
# A probe of a suspected prompt takes some tenths of a second.
UNDECIDED_RETRY_S = 0.5
# A request that may run only once reuses a pooled connection only while the upstream certainly
# still holds it open.
NON_REPEATABLE_MAX_IDLE_S = 1.0
# The rest of a refusal is read so that its connection can be reused; a longer or slower one costs
# the request more than a new connection would.
REFUSAL_DRAIN_BYTES = 65_536
REFUSAL_DRAIN_S = 0.1
# Pause before a group that refuses work is retried; it re-forms within some tenths of a second.
RESUME_PAUSE_S = 0.25
# Callers give up a stream after a pause of two seconds, this many times the objective, or this many
# times the longest pause that is still in time, whichever is longest.
MIN_STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_OBJECTIVES = 4
STREAM_TIMEOUT_PAUSES = 8
# Subtracted from it, as a resumed stream needs time to continue, and a new one to begin.
RESUME_TIME_S = 0.2
SERVING_TIME_S = 0.3
# Minimum time before the deadline that a complete answer needs.
MIN_ANSWER_S = 0.1
# Upstreams that may refuse a request before it is refused: where a few are full, most are.
MAX_REFUSALS = 1
# Retries that moving streams off slow ranks leaves for requests that would otherwise fail.
RETRIES_RESERVED_FOR_FAILURES = 3
# Permits of limited upstreams that are asked for before only unlimited ones are considered.
MAX_DENIED_PERMITS = 8
# Parts of a prompt that a log line names.
MAX_LOGGED_PARTS = 8
# Remaining time below which an attempt could not be answered.
MIN_REMAINING_S = 0.02

_log = get_logger("relay")


@dataclass(frozen=True, slots=True)
class RelayTerms:
    """The route and limits of a request.

    ``deadline`` is in seconds of the monotonic clock. ``is_retry`` means that the caller was
    refused before. The answer is expected to be ``length`` times as long as typical.
    """

    route: Route
    service: str
    customer: str | None
    urgency: int
    deadline: float
    is_retry: bool = False
    length: float = 1.0


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
        self._wire = wire
        self._admission_control = admission_control
        self._budget = budget
        self._guard = guard
        self._probe: Probe | None = None
        self._is_withheld = False
        self._attempts = 0
        self._runs = 0
        self._refusals = 0
        self._upstream = ""
        self._excluded: set[str] = set()
        self._sent_to: set[UpstreamIncarnation] = set()
        self._progress = StreamProgress(request.last_event_id)
        # Of the current attempt: whether its answer's head arrived, and how many batches of events.
        self._has_head = False
        self._events = 0
        self._sent_at = 0.0

    @property
    def attempts(self) -> int:
        """Return the number of attempts."""
        return self._attempts

    @property
    def upstream(self) -> str:
        """Return the upstream of the last attempt, empty before the first."""
        return self._upstream

    @property
    def runs(self) -> int:
        """Return how many attempts may have run."""
        return self._runs

    @property
    def remaining_s(self) -> float:
        """Return the seconds left before the request's deadline."""
        return self._terms.deadline - time.monotonic()

    async def run(self) -> Result:
        """Send the request until it is settled.

        A caller's retry that no upstream accepted is queued again, and so is any request in an
        outage of the service.
        """
        terms = self._admission_terms()
        decision = self._guard.decide(self._service, self._prompt_keys())
        if isinstance(decision, Quarantined):
            return self._withhold(decision)
        while True:
            refused = await self._admission_control.admit(terms, self._attempts > 0)
            if refused is not None:
                return refused
            try:
                result = await self._send_until_settled()
            finally:
                self._admission_control.finish(terms)
            if self._is_withheld or not isinstance(result, Refused):
                return result
            if not self._may_queue_again(terms):
                return self._admission_control.refusal_of(terms, result.reason)
            self._excluded.clear()
            self._refusals = 0
            await curio.sleep(QUEUE_INTERVAL_S)

    async def _send_until_settled(self) -> Result:
        """Try upstreams one after the other until the request is settled."""
        missing = "retry left" if self._attempts else "upstream"
        outcome: Outcome = Declined(f"service {self._service!r} has no {missing}", had_slots=True)
        while True:
            withheld = await self._check_prompt()
            if withheld is not None:
                return withheld
            upstream = await self._choose_upstream()
            now = time.monotonic()
            if upstream is None or not (isinstance(outcome, Moved) or self._may_attempt(now)):
                self._end_probe()
                if isinstance(outcome, Declined) and self._fleet.is_at_limits(self._service, now):
                    outcome = Declined("the upstreams of the service are at their rate limits")
                return await self._give_up(outcome)
            outcome = await self._attempt(upstream)
            match outcome:
                case Done(status):
                    return Answered(status, upstream.instance, self._attempts)
                case Failed(answer, body):
                    if not self._may_run_again():
                        await self._exchange.answer(answer.status, answer.headers, body)
                        return Answered(answer.status, upstream.instance, self._attempts)
                case Lost():
                    if not self._may_run_again():
                        return await self._give_up(outcome)
            self._excluded.add(upstream.instance)
            resumes = self._exchange.started and not isinstance(outcome, Moved)
            if resumes and not await self._await_resumption():
                return await self._give_up(outcome)

    async def _choose_upstream(self) -> Upstream | None:
        """Return an upstream that accepts the request now, or none.

        Where all are at their rate limits, a stream that has begun waits for the next permit.
        """
        denied = 0
        while True:
            now = time.monotonic()
            unlimited = denied >= MAX_DENIED_PERMITS
            upstream = self._fleet.choose(self._service, self._excluded, now, unlimited)
            if upstream is None:
                if not await self._await_permit():
                    return None
                denied = 0
            elif await self._fleet.permits.acquire(upstream):
                return upstream
            else:
                denied += 1
                self._log_denied_permit(upstream)

    async def _await_permit(self) -> bool:
        """Wait until a resumed stream may get a permit; return false if it does not wait."""
        wait_s = self._fleet.available_in_s(self._service, time.monotonic())
        if not self._exchange.started or not wait_s or self._has_caller_given_up(wait_s):
            return False
        await curio.sleep(wait_s)
        return True

    def _log_denied_permit(self, upstream: Upstream) -> None:
        """Log that an upstream takes no more requests now."""
        now = time.monotonic()
        _log.info(
            "upstream at its limit",
            request=self._request.id,
            upstream=upstream.instance,
            per_s=self._fleet.permits.limits.limit(upstream.incarnation),
            limit_age_s=round(self._fleet.permits.limits.age_s(upstream.incarnation, now), 3),
            wait_s=round(self._fleet.permits.wait_s(upstream, now), 3),
        )

    async def _check_prompt(self) -> Result | None:
        """Return none if the request may be sent as far as its prompt is known, else its result."""
        if self._exchange.started:
            return None
        deadline = self._admission_terms().send_deadline
        decision = await self._guard.admit(self._service, self._prompt_keys(), deadline)
        match decision:
            case Allowed():
                return None
            case Probe():
                self._probe = decision
                return None
            case Pending() | Quarantined():
                return self._withhold(decision)

    def _prompt_keys(self) -> tuple[str, ...]:
        """Return what of the prompt may be suspected: its shared parts, and all of it."""
        return (*self._request.shared_parts, self._request.prompt_digest)

    def _end_probe(self) -> None:
        """End the probe of suspected parts that this request was allowed, if it was."""
        if self._probe is not None:
            self._guard.end_probe(self._probe)
            self._probe = None

    def _withhold(self, decision: Decision) -> Result:
        """Return the result of a request that is not sent because of its prompt."""
        self._is_withheld = True
        self._guard.record_refusal(self._request.id, self._service, decision)
        if self._runs:
            reason = "an upstream ended under the request; it is not sent again"
            return Unresolved(BAD_GATEWAY, reason, self._attempts)
        match decision:
            case Quarantined(part, crashes, retry_after_s):
                reason = f"{crashes} upstreams ended under prompts with part {part}"
                if crashes >= CRASHES_OF_FINAL_REFUSAL:
                    return Refused(UNPROCESSABLE, reason)
                return Refused(UNAVAILABLE, reason, retry_after_s)
            case _:
                reason = "an upstream ended under a prompt with the same part; it is being probed"
                return Refused(UNAVAILABLE, reason, UNDECIDED_RETRY_S)

    def _admission_terms(self) -> AdmissionTerms:
        """Return the inputs to the admission decision."""
        terms = self._terms
        caller_deadline = self._request.received + self._stream_timeout_s() - SERVING_TIME_S
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
        if self._attempts == 0:
            self._budget.record_first(now)
            return True
        started = self._exchange.started
        if not started and (
            self._refusals > MAX_REFUSALS or self._admission_control.gate.is_unavailable(now)
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
        return is_resumable and self._route.repeatable and self._runs < self._route.attempts

    async def _await_resumption(self) -> bool:
        """Pause before a stream is resumed; return false if its caller has given up.

        All upstreams are tried again once each has refused.
        """
        if self._has_caller_given_up():
            return False
        available = self._fleet.available(self._service, time.monotonic())
        if all(upstream.instance in self._excluded for upstream in available):
            self._excluded.clear()
        await curio.sleep(RESUME_PAUSE_S)
        return True

    def _has_caller_given_up(self, in_s: float = 0.0) -> bool:
        """Return whether a stream's caller gives up before it is resumed ``in_s`` later."""
        silent_s = time.monotonic() - self._progress.last_event_at + in_s
        return silent_s > self._stream_timeout_s() - RESUME_TIME_S

    def _stream_timeout_s(self) -> float:
        """Return how long a caller waits for a stream's next event."""
        route = self._route
        return max(
            MIN_STREAM_TIMEOUT_S,
            STREAM_TIMEOUT_OBJECTIVES * route.objective_s,
            STREAM_TIMEOUT_PAUSES * (route.longest_pause_s or 0.0),
        )

    async def _give_up(self, outcome: Outcome) -> Result:
        """Return the result after the last attempt."""
        match outcome:
            case Failed(answer, body):
                await self._exchange.answer(answer.status, answer.headers, body)
                return Answered(answer.status, "", self._attempts)
            case Declined(reason) | Lost(reason) | Moved(reason):
                pass
            case Done(status):
                return Answered(status, "", self._attempts)
        if self._exchange.started:
            return BrokenOff(reason, self._attempts)
        if self._runs:
            return Unresolved(BAD_GATEWAY, reason, self._attempts)
        return Refused(UNAVAILABLE, reason)

    async def _attempt(self, upstream: Upstream) -> Outcome:
        """Make one attempt at an upstream and forward its answer."""
        stats = self._fleet.stats(upstream.instance)
        self._upstream = upstream.instance
        stats.running += 1
        stats.unread_tokens += self._request.prompt_tokens
        self._unread = self._request.prompt_tokens
        self._attempts += 1
        started = time.monotonic()
        cause: LossCause | None = None
        if self._probe is not None:
            self._guard.record_probe(self._request.id, self._probe)
        try:
            outcome = await self._send_to(upstream)
            if isinstance(outcome, Lost):
                cause = await self._record_loss(upstream, outcome)
        finally:
            stats.running -= 1
            self._record_prompt_read(upstream)
            self._end_probe()
        self._record_outcome(upstream, outcome, started, cause)
        return outcome

    async def _record_loss(self, upstream: Upstream, outcome: Lost) -> LossCause:
        """Record a lost answer and return its cause."""
        request = self._request
        return await self._guard.record_lost(
            upstream,
            request.shared_parts,
            outcome,
            self._has_head,
            self._events,
            request.prompt_digest,
        )

    def _record_outcome(
        self, upstream: Upstream, outcome: Outcome, started: float, cause: LossCause | None
    ) -> None:
        """Record and log the outcome of an attempt."""
        now = time.monotonic()
        match outcome:
            case Declined(reason, unreachable, had_slots):
                if unreachable:
                    self._fleet.record_unreachable(upstream.instance, now)
                if had_slots:
                    self._admission_control.gate.record_refusal(now)
            case Lost(reason):
                self._fleet.record_result(upstream.instance, True, now - started, now)
            case Failed(answer, _):
                reason = f"upstream answered {answer.status}"
                self._fleet.record_result(upstream.instance, True, now - started, now)
            case Moved(reason):
                pass
            case Done():
                self._fleet.record_result(upstream.instance, False, now - started, now)
                return
        _log.info(
            "attempt moved" if isinstance(outcome, Moved) else "attempt failed",
            request=self._request.id,
            upstream=upstream.instance,
            attempt=self._attempts,
            outcome=type(outcome).__name__.lower(),
            reason=reason,
            remaining_s=round(self.remaining_s, 3),
            took_s=round(now - started, 3),
            cause=None if cause is None else cause.value,
            ended_by_peer=isinstance(outcome, Lost) and outcome.ended_by_peer,
            has_head=self._has_head,
            events=self._events,
            parts=self._request.prompt_parts[:MAX_LOGGED_PARTS],
            prompt=self._request.prompt_digest,
        )

    def _record_prompt_read(self, upstream: Upstream) -> None:
        """Record that an upstream has read the prompt."""
        self._fleet.stats(upstream.instance).unread_tokens -= self._unread
        self._unread = 0

    async def _send_to(self, upstream: Upstream) -> Outcome:
        """Send to one upstream; return the outcome."""
        request = self._request
        attempt = Attempt(
            upstream,
            self.remaining_s,
            self._terms.customer,
            self._terms.urgency,
            self._progress.last_id,
        )
        max_idle_s = None if self._route.repeatable else NON_REPEATABLE_MAX_IDLE_S
        # A faulty upstream may repeat its earlier refusal of this request on the same connection.
        sent_before = upstream.incarnation in self._sent_to
        self._sent_to.add(upstream.incarnation)
        self._runs += 1
        self._has_head, self._events = False, 0
        self._sent_at = time.monotonic()
        try:
            response = await self._fleet.client(upstream).open(
                request.method,
                request.target,
                self._wire.upstream_headers(request, attempt),
                request.body,
                accept=self._wire.answers_to(request),
                max_idle_s=max_idle_s,
                new_connection=sent_before,
            )
        except ConnectError as error:
            self._runs -= 1
            return Declined(str(error), unreachable=True)
        except TransportError as error:
            return _lost(error)
        self._has_head = True
        try:
            return await self._forward(upstream, response)
        except TransportError as error:
            return _lost(error)
        finally:
            await response.close()

    async def _forward(self, upstream: Upstream, response: HttpResponse) -> Outcome:
        """Forward an answer to the caller."""
        answer = self._wire.read_answer(response.status, response.headers)
        if response.on_kept_connection and not answer.names_request:
            return Lost(f"upstream answered {answer.status} without the request's id")
        self._apply_notices(upstream, answer)
        if answer.not_run:
            self._runs -= 1
            await self._read_refusal(upstream, response)
            if answer.misdirected:
                self._fleet.directory.mark_replaced(upstream.incarnation)
            self._refusals += not answer.misdirected
            running = self._fleet.running(upstream.instance)
            had_slots = not answer.misdirected and running <= upstream.slots
            return Declined(f"upstream answered {answer.status}: not run", had_slots=had_slots)
        self._admission_control.gate.record_accepted(time.monotonic())
        if self._exchange.started and not (self._route.streamed and answer.is_stream):
            return Lost(f"upstream answered {answer.status}, which continues no stream")
        if self._route.streamed and answer.is_stream:
            return await forward_stream(
                self._exchange,
                answer,
                response,
                self._progress,
                lambda: self.remaining_s,
                partial(self._record_events, upstream),
                partial(self._may_move, upstream),
            )
        outcome = await forward_answer(self._exchange, answer, response, lambda: self.remaining_s)
        if isinstance(outcome, Done) and answer.succeeded:
            self._record_answer()
        return outcome

    def _apply_notices(self, upstream: Upstream, answer: UpstreamAnswer) -> None:
        """Apply an upstream's notices of leaving, backoff and rate limit."""
        if answer.misdirected:
            return
        now = time.monotonic()
        if answer.leaving:
            self._fleet.mark_leaving(upstream.incarnation, now)
        if answer.retry_after_s is not None:
            self._fleet.record_backoff(upstream, answer.retry_after_s, now)
        self._fleet.permits.record(upstream, answer.limit, self._sent_at, now)

    def _record_answer(self) -> None:
        """Record that an upstream has begun to answer the prompt."""
        request = self._request
        self._guard.record_answer(
            request.id, self._service, request.shared_parts, request.prompt_digest
        )

    async def _read_refusal(self, upstream: Upstream, response: HttpResponse) -> None:
        """Read the rest of a refusal; its head has said that the request did not run."""
        try:
            await response.read_all(min(self.remaining_s, REFUSAL_DRAIN_S), REFUSAL_DRAIN_BYTES)
        except TransportError as error:
            _log.info("refusal not read", upstream=upstream.instance, reason=str(error))

    def _record_events(self, upstream: Upstream, pause_s: float | None) -> None:
        """Record that events of a stream arrived, after a pause if they are not its first."""
        self._events += 1
        if self._events == 1:
            self._record_answer()
        self._record_prompt_read(upstream)
        if pause_s is not None:
            max_pause_s = self._route.longest_pause_s
            self._admission_control.record_pause(
                pause_s, max_pause_s, time.monotonic(), upstream.instance
            )


def _lost(error: TransportError) -> Lost:
    """Return the outcome of an attempt whose connection failed."""
    return Lost(str(error), isinstance(error, ConnectionLostError) and error.ended_by_peer)


def choose_service(route: Route, random: Random) -> str:
    """Return the service of one request: the route's, or one of them by their shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service


def request_urgency(route: Route, deployment: Deployment, key: str | None) -> int:
    """Return a request's priority: its customer's, if it has one, else its route's."""
    customer = deployment.find_customer(key)
    if customer is None or customer.priority is None or not route.needs_key:
        return route.priority
    return customer.priority
