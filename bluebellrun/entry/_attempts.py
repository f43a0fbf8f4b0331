"""Make one attempt at one upstream and find out what became of it, whatever happens."""

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
from bluebellrun.entry._fate import ask_fate
from bluebellrun.entry._relay import AnswerRelay
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.entry._spread import CustomerSpread
from bluebellrun.http import ConnectError, HttpExchange
from bluebellrun.messages import Fate, FateQuery, Resume, Submit
from bluebellrun.telemetry import Metrics, get_logger
from bluebellrun.transport import LinkLostError, LinkTiming

RESUME_FIRST_S = 0.02
RESUME_LONGEST_S = 0.5
AGE_SLACK_S = 0.5

_log = get_logger("entry.attempts")


@dataclass(frozen=True, slots=True)
class _Sent:
    """An attempt on its way: where, what and when by the entry's clock."""

    channel: AgentChannel
    submit: Submit
    sent_at: float


class UnreachableError(Exception):
    """An upstream cannot be reached, so that the request did not leave this entry."""


class AttemptRunner:
    """Run attempts, resume them over new links, and ask for the fate of late ones."""

    def __init__(
        self, settings: EntrySettings, spread: CustomerSpread, clock: Clock, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._spread = spread
        self._clock = clock
        self._metrics = metrics
        self._open: dict[str, _Sent] = {}
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
        """Make one attempt and return what became of it.

        Raises ``UnreachableError`` when nothing was sent.
        """
        name = channel.upstream.name
        self.forget(request)
        try:
            incarnation = await channel.open()
            submit = self._message(request, attempt, incarnation, name, may_go_elsewhere)
            self._open[request.request_id] = _Sent(channel, submit, self._clock.now())
            inbox = await channel.submit(submit)
        except (ConnectError, LinkLostError) as error:
            self.forget(request)
            raise UnreachableError(f"{name} cannot be reached: {error}") from error
        relay = AnswerRelay(exchange, request, channel, attempt)
        outcome = await self._relay(relay, inbox, exchange, request)
        if isinstance(outcome, Unknown) and exchange.started:
            await relay.break_off(outcome.reason)
        return outcome

    def forget(self, request: CallerRequest) -> None:
        """Forget a request that has been answered or given up."""
        self._open.pop(request.request_id, None)

    async def settle_late(self, exchange: HttpExchange, request: CallerRequest) -> Outcome:
        """Return what became of a request whose deadline has passed."""
        sent = self._open.get(request.request_id)
        if sent is None:
            return NotRun("its deadline passed before it was sent")
        answer = None
        if not exchange.started:
            answer = await ask_fate(
                sent.channel.upstream.agent,
                self._timing,
                self._query(sent, withdraw=True),
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
        """Relay an attempt, over as many links as it takes."""
        sent = self._open[request.request_id]
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
            await sent.channel.forget(sent.submit.attempt, cancel_reason)
        return outcome

    async def _resume(
        self,
        sent: _Sent,
        relay: AnswerRelay,
        exchange: HttpExchange,
        request: CallerRequest,
        lost: LinkLostError,
    ) -> AttemptInbox | Outcome:
        """Go on with an attempt over a new link; return its inbox, or why it cannot go on."""
        name = sent.channel.upstream.name
        self._metrics.count("entry.links_lost")
        elsewhere = request.repeatable and not exchange.started
        patience_s = 0.0 if elsewhere else self._settings.resume_patience_s
        give_up = self._clock.now() + patience_s
        pause_s = RESUME_FIRST_S
        while True:
            try:
                if await sent.channel.open() != sent.submit.incarnation:
                    return Unknown(f"{name} was restarted while the request was there")
                age_s = self._clock.now() - sent.sent_at + AGE_SLACK_S
                submit = sent.submit
                message = Resume(submit.attempt, submit.incarnation, relay.offset, age_s)
                return await sent.channel.resume(message)
            except (ConnectError, LinkLostError) as error:
                gone = isinstance(error.__cause__, ConnectionRefusedError)
                if gone or self._clock.now() >= give_up:
                    return Unknown(f"the link to {name} was lost: {lost}; {error}")
            await curio.sleep(pause_s)
            pause_s = min(RESUME_LONGEST_S, pause_s * 2)

    def _query(self, sent: _Sent, withdraw: bool) -> FateQuery:
        """Return the question what became of an attempt."""
        age_s = self._clock.now() - sent.sent_at + AGE_SLACK_S
        return FateQuery(sent.submit.attempt, sent.submit.incarnation, age_s, withdraw)

    def _message(
        self,
        request: CallerRequest,
        attempt: AttemptId,
        incarnation: str,
        upstream: str,
        may_go_elsewhere: bool,
    ) -> Submit:
        """Return the request as the agent gets it."""
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
            served_elsewhere=self._spread.take(request, upstream),
            may_go_elsewhere=may_go_elsewhere,
        )
