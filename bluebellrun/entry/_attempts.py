"""Run one attempt of a request at one upstream and determine its outcome."""

from dataclasses import dataclass

import curio

from bluebellrun.core import (
    AttemptId,
    Clock,
    NotRun,
    Outcome,
    Ran,
    Unknown,
)
from bluebellrun.entry._callers import CallerRequest
from bluebellrun.entry._channel import AgentChannel, AttemptInbox
from bluebellrun.entry._fate import query_fate
from bluebellrun.entry._relay import AnswerRelay
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.entry._spread import CustomerSpread
from bluebellrun.http import ConnectError, HttpExchange
from bluebellrun.messages import Fate, FateQuery, Resume, Submit
from bluebellrun.telemetry import Metrics, get_logger
from bluebellrun.transport import LinkLostError, LinkTiming

MIN_RESUME_PAUSE_S = 0.02
MAX_RESUME_PAUSE_S = 0.5
AGE_MARGIN_S = 0.5

_log = get_logger("entry.attempts")


@dataclass(frozen=True, slots=True)
class _SentAttempt:
    """An attempt in flight: its channel, its message and when it was sent by the entry's clock."""

    channel: AgentChannel
    submit: Submit
    sent_at: float


class UnreachableError(Exception):
    """An upstream cannot be reached; the request was not sent."""


class AttemptRunner:
    """Run attempts, resume them over new links and query the fate of expired ones."""

    def __init__(
        self, settings: EntrySettings, spread: CustomerSpread, clock: Clock, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._spread = spread
        self._clock = clock
        self._metrics = metrics
        self._open_attempts: dict[str, _SentAttempt] = {}
        self._timing = LinkTiming(
            settings.link_connect_timeout_s,
            settings.link_ping_interval_s,
            settings.link_ping_timeout_s,
        )

    async def run(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        channel: AgentChannel,
        attempt: AttemptId,
        may_go_elsewhere: bool,
    ) -> Outcome:
        """Run one attempt and return its outcome.

        Raises ``UnreachableError`` when nothing was sent.
        """
        name = channel.upstream.name
        self.discard(request)
        try:
            incarnation = await channel.ensure_connected()
            submit = self._make_submit(request, attempt, incarnation, name, may_go_elsewhere)
            self._open_attempts[request.request_id] = _SentAttempt(
                channel, submit, self._clock.now()
            )
            inbox = await channel.submit(submit)
        except (ConnectError, LinkLostError) as error:
            self.discard(request)
            raise UnreachableError(f"{name} cannot be reached: {error}") from error
        relay = AnswerRelay(exchange, request, channel, attempt)
        outcome = await self._relay(relay, inbox, exchange, request)
        if isinstance(outcome, Unknown) and exchange.started:
            await relay.abort_answer(outcome.reason)
        return outcome

    def discard(self, request: CallerRequest) -> None:
        """Stop tracking a request that has been answered or abandoned."""
        self._open_attempts.pop(request.request_id, None)

    async def resolve_expired(self, exchange: HttpExchange, request: CallerRequest) -> Outcome:
        """Return the outcome of a request whose deadline has passed.

        The agent is asked to withdraw it unless its answer has started.
        """
        sent = self._open_attempts.get(request.request_id)
        if sent is None:
            return NotRun("its deadline passed before it was sent")
        answer = None
        if not exchange.started:
            answer = await query_fate(
                sent.channel.upstream.agent,
                self._timing,
                self._make_fate_query(sent, withdraw=True),
                self._settings.fate_timeout_s,
            )
        if answer is not None and answer.fate is Fate.NOT_RUN:
            return NotRun(f"its deadline passed before it ran: {answer.reason}")
        return Unknown("its deadline passed")

    async def _relay(
        self,
        relay: AnswerRelay,
        inbox: AttemptInbox,
        exchange: HttpExchange,
        request: CallerRequest,
    ) -> Outcome:
        """Relay an attempt's answer, resuming it over a new link whenever one is lost."""
        sent = self._open_attempts[request.request_id]
        cancel_reason: str | None = "the caller is gone or its deadline has passed"
        try:
            while True:
                try:
                    outcome = await relay.run(inbox)
                    break
                except LinkLostError as error:
                    resumed = await self._resume(sent, relay, exchange, request, error)
                if not isinstance(resumed, AttemptInbox):
                    outcome = resumed
                    break
                inbox = resumed
            cancel_reason = None if isinstance(outcome, Ran | NotRun) else "not wanted any more"
        finally:
            await sent.channel.close_attempt(sent.submit.attempt, cancel_reason)
        return outcome

    async def _resume(
        self,
        sent: _SentAttempt,
        relay: AnswerRelay,
        exchange: HttpExchange,
        request: CallerRequest,
        link_error: LinkLostError,
    ) -> AttemptInbox | Outcome:
        """Resume an attempt over a new link; return its inbox, or its outcome if that fails."""
        name = sent.channel.upstream.name
        self._metrics.count("entry.links_lost")
        retryable = request.repeatable and not exchange.started
        resume_timeout_s = 0.0 if retryable else self._settings.resume_patience_s
        resume_deadline = self._clock.now() + resume_timeout_s
        pause_s = MIN_RESUME_PAUSE_S
        while True:
            try:
                if await sent.channel.ensure_connected() != sent.submit.incarnation:
                    return Unknown(f"{name} was restarted while the request was there")
                age_s = self._clock.now() - sent.sent_at + AGE_MARGIN_S
                submit = sent.submit
                message = Resume(submit.attempt, submit.incarnation, relay.offset, age_s)
                return await sent.channel.resume(message)
            except (ConnectError, LinkLostError) as error:
                refused = isinstance(error.__cause__, ConnectionRefusedError)
                if refused or self._clock.now() >= resume_deadline:
                    return Unknown(f"the link to {name} was lost: {link_error}; {error}")
            await curio.sleep(pause_s)
            pause_s = min(MAX_RESUME_PAUSE_S, pause_s * 2)

    def _make_fate_query(self, sent: _SentAttempt, withdraw: bool) -> FateQuery:
        """Return the query for the fate of an attempt."""
        age_s = self._clock.now() - sent.sent_at + AGE_MARGIN_S
        return FateQuery(sent.submit.attempt, sent.submit.incarnation, age_s, withdraw)

    def _make_submit(
        self,
        request: CallerRequest,
        attempt: AttemptId,
        incarnation: str,
        upstream: str,
        may_go_elsewhere: bool,
    ) -> Submit:
        """Return the message that submits the request to the agent."""
        return Submit(
            attempt=attempt,
            request=request.request_id,
            incarnation=incarnation,
            customer=request.customer.name,
            service=request.service.name,
            priority=request.priority,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            repeatable=request.repeatable,
            budget_s=request.deadline - self._clock.now(),
            share=request.customer.share_of(request.service.name),
            model=request.model,
            idempotency_key=request.idempotency_key,
            age_s=self._clock.now() - request.arrived,
            served_elsewhere=self._spread.consume_elsewhere(request, upstream),
            may_go_elsewhere=may_go_elsewhere,
        )
