"""The attempts of one request: each sends it to one upstream and forwards the answer."""

import time
from collections.abc import Callable
from functools import partial

from bluebellrun.gateway._admission_control import AdmissionControl
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._models import (
    Attempt,
    CallerRequest,
    Upstream,
    UpstreamAnswer,
    UpstreamIncarnation,
)
from bluebellrun.gateway._outcomes import Declined, Done, Failed, Lost, Moved, NotSent, Outcome
from bluebellrun.gateway._passing import StreamProgress, forward_answer, forward_stream
from bluebellrun.gateway._ports import Wire
from bluebellrun.gateway._prompt_check import PromptCheck
from bluebellrun.gateway._prompt_guard import LossCause, PromptGuard
from bluebellrun.gateway._relay_terms import RelayTerms
from bluebellrun.http import (
    ConnectError,
    ConnectionLostError,
    HttpExchange,
    HttpResponse,
    NotSentError,
    TransportError,
)
from bluebellrun.telemetry import get_logger

# A request that may run only once reuses a pooled connection only while the upstream certainly
# still holds it open.
NON_REPEATABLE_MAX_IDLE_S = 1.0
# The rest of a refusal is read so that its connection can be reused; a longer or slower one costs
# the request more than a new connection would.
REFUSAL_DRAIN_BYTES = 65_536
REFUSAL_DRAIN_S = 0.1
# Parts of a prompt that a log line names.
MAX_LOGGED_PARTS = 8

_log = get_logger("relay")


class UpstreamAttempts:
    """Make the attempts of one request and count them.

    ``may_move`` returns whether a stream moves from an upstream to another one.
    """

    def __init__(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        terms: RelayTerms,
        fleet: Fleet,
        wire: Wire,
        admission_control: AdmissionControl,
        guard: PromptGuard,
        prompt_check: PromptCheck,
        may_move: Callable[[Upstream], bool],
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._terms = terms
        self._route = terms.route
        self._service = terms.service
        self._fleet = fleet
        self._wire = wire
        self._admission_control = admission_control
        self._guard = guard
        self._prompt_check = prompt_check
        self._may_move = may_move
        self._count = 0
        self._runs = 0
        self._refusals = 0
        self._upstream = ""
        self._sent_to: set[UpstreamIncarnation] = set()
        self._progress = StreamProgress(request.last_event_id)
        # Of the current attempt: whether its answer's head arrived, and how many batches of events.
        self._has_head = False
        self._events = 0
        self._sent_at = 0.0
        self._unread = 0

    @property
    def count(self) -> int:
        """Return the number of attempts."""
        return self._count

    @property
    def runs(self) -> int:
        """Return how many attempts may have run."""
        return self._runs

    @property
    def refusals(self) -> int:
        """Return how many upstreams refused the request since it was last queued."""
        return self._refusals

    @property
    def upstream(self) -> str:
        """Return the upstream of the last attempt, empty before the first."""
        return self._upstream

    @property
    def last_event_at(self) -> float:
        """Return when the last event of a stream was forwarded, in seconds."""
        return self._progress.last_event_at

    def forget_refusals(self) -> None:
        """Count refusals from 0 again: the request was queued again."""
        self._refusals = 0

    async def make(self, upstream: Upstream, may_send: Callable[[], bool]) -> Outcome:
        """Make one attempt at an upstream and forward its answer.

        ``may_send`` is called once more before the request is sent, as a connection may take time.
        """
        stats = self._fleet.stats(upstream.instance)
        self._upstream = upstream.instance
        stats.running += 1
        stats.unread_tokens += self._request.prompt_tokens
        self._unread = self._request.prompt_tokens
        self._count += 1
        started = time.monotonic()
        cause: LossCause | None = None
        self._prompt_check.record_probe()
        try:
            outcome = await self._send_to(upstream, may_send)
            if isinstance(outcome, Lost):
                cause = await self._record_loss(upstream, outcome)
        finally:
            stats.running -= 1
            self._record_prompt_read(upstream)
            self._prompt_check.end_probe()
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
                    self._admission_control.gate.record_refusal(now, upstream.instance)
                    self._fleet.groups.log_changes(self._service, now)
            case Lost(reason, ended_by_peer):
                if ended_by_peer:
                    self._fleet.cold.record_unreachable(upstream, now)
                self._fleet.record_result(upstream.instance, True, now - started, now)
            case Failed(answer, _):
                reason = f"upstream answered {answer.status}"
                self._fleet.record_result(upstream.instance, True, now - started, now)
            case Moved(reason) | NotSent(reason):
                pass
            case Done():
                self._fleet.record_result(upstream.instance, False, now - started, now)
                return
        _log.info(
            "attempt moved" if isinstance(outcome, Moved) else "attempt failed",
            request=self._request.id,
            upstream=upstream.instance,
            attempt=self._count,
            outcome=type(outcome).__name__.lower(),
            reason=reason,
            remaining_s=round(self._terms.remaining_s, 3),
            took_s=round(now - started, 3),
            cause=None if cause is None else cause.value,
            ended_by_peer=isinstance(outcome, Lost) and outcome.ended_by_peer,
            has_head=self._has_head,
            events=self._events,
            parts=self._request.prompt_parts[:MAX_LOGGED_PARTS],
            prompt=self._request.prompt_digest,
            **self._fleet.groups.log_fields(self._service, upstream.instance),
        )

    def _record_prompt_read(self, upstream: Upstream) -> None:
        """Record that an upstream has read the prompt."""
        self._fleet.stats(upstream.instance).unread_tokens -= self._unread
        self._unread = 0

    async def _send_to(self, upstream: Upstream, may_send: Callable[[], bool]) -> Outcome:
        """Send to one upstream; return the outcome."""
        request = self._request
        attempt = Attempt(
            upstream,
            self._terms.remaining_s,
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
                may_send=may_send,
            )
        except NotSentError:
            self._runs -= 1
            return NotSent(
                "the upstream was evacuated, or became cold, before the request was sent"
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
            self._refusals += not answer.misdirected and not self._is_group_unavailable(upstream)
            running = self._fleet.running(upstream.instance)
            had_slots = not answer.misdirected and running <= upstream.slots
            return Declined(f"upstream answered {answer.status}: not run", had_slots=had_slots)
        now = time.monotonic()
        self._admission_control.gate.record_accepted(now, upstream.instance)
        self._fleet.groups.log_changes(self._service, now)
        if self._exchange.started and not (self._route.streamed and answer.is_stream):
            return Lost(f"upstream answered {answer.status}, which continues no stream")
        if self._route.streamed and answer.is_stream:
            return await forward_stream(
                self._exchange,
                answer,
                response,
                self._progress,
                lambda: self._terms.remaining_s,
                partial(self._record_events, upstream),
                partial(self._may_move, upstream),
            )
        outcome = await forward_answer(
            self._exchange, answer, response, lambda: self._terms.remaining_s
        )
        if isinstance(outcome, Done) and answer.succeeded:
            self._record_answer()
        return outcome

    def _is_group_unavailable(self, upstream: Upstream) -> bool:
        """Return whether an upstream refuses as its group is unavailable and others are not.

        Such a refusal says nothing of how full the other groups are.
        """
        now = time.monotonic()
        if not self._fleet.groups.is_unavailable(upstream, now):
            return False
        return not self._admission_control.gate.is_unavailable(now)

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
        self._fleet.cold.record_answer(upstream, answer.cold_s, now)

    def _record_answer(self) -> None:
        """Record that an upstream has begun to answer the prompt."""
        request = self._request
        self._guard.record_answer(
            request.id, self._service, request.shared_parts, request.prompt_digest
        )

    async def _read_refusal(self, upstream: Upstream, response: HttpResponse) -> None:
        """Read the rest of a refusal; its head has said that the request did not run."""
        try:
            await response.read_all(
                min(self._terms.remaining_s, REFUSAL_DRAIN_S), REFUSAL_DRAIN_BYTES
            )
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
            now = time.monotonic()
            self._admission_control.record_pause(pause_s, max_pause_s, now, upstream.instance)


def _lost(error: TransportError) -> Lost:
    """Return the outcome of an attempt whose connection failed."""
    return Lost(str(error), isinstance(error, ConnectionLostError) and error.ended_by_peer)
