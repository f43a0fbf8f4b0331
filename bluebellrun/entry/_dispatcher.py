"""Route a request to upstreams, retrying until one answers or no retry is allowed."""

from dataclasses import dataclass, field
from random import Random

import curio

from bluebellrun.core import (
    AttemptId,
    Clock,
    NotRun,
    Outcome,
    Ran,
    Unknown,
    attempt_id,
)
from bluebellrun.entry._attempts import AttemptRunner, UnreachableError
from bluebellrun.entry._callers import CallerRequest
from bluebellrun.entry._channel import AgentChannel
from bluebellrun.entry._fleet import Fleet
from bluebellrun.entry._health import HealthReporter
from bluebellrun.entry._retries import Retries
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.entry._spread import CustomerSpread
from bluebellrun.http import HttpExchange
from bluebellrun.routing import RoutedWork, RoutingPolicy
from bluebellrun.telemetry import Metrics, get_logger

ROUTING_PROMPT_BYTES = 4_096
NO_UPSTREAM_RETRY_AFTER_S = 1.0
# Later attempts are not marked as divertible: an upstream refuses divertible work early, to leave
# time for another upstream.
MAX_DIVERTIBLE_ATTEMPT = 1
# Attempts whose upstream was lost with the request: one more could end another upstream.
MAX_LOST_ATTEMPTS = 2

_log = get_logger("entry")


@dataclass(slots=True)
class _Progress:
    """State of one request's attempts."""

    attempts: int = 0
    alternatives: int = 0
    lost: int = 0
    may_have_run: str = ""
    refused_by: set[str] = field(default_factory=set)


class Dispatcher:
    """Route requests, retry those that were not run, and relay answers."""

    def __init__(
        self,
        settings: EntrySettings,
        fleet: Fleet,
        routing: RoutingPolicy,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._routing = routing
        self._clock = clock
        self._metrics = metrics
        self._retries = Retries(settings, Random())
        self._spread = CustomerSpread()
        self._health = HealthReporter(routing, metrics)
        self._attempts = AttemptRunner(settings, self._spread, clock, metrics)

    async def serve(self, exchange: HttpExchange, request: CallerRequest) -> Outcome:
        """Serve a request and return its outcome; after ``Ran`` the answer has been sent."""
        progress = _Progress()
        remaining_s = max(0.0, request.deadline - self._clock.now())
        try:
            async with curio.timeout_after(remaining_s):
                outcome = await self._try_upstreams(exchange, request, progress)
        except curio.TaskTimeout:
            outcome = await self._attempts.resolve_expired(exchange, request)
        finally:
            self._attempts.discard(request)
        if isinstance(outcome, NotRun) and progress.may_have_run:
            return Unknown(f"an earlier try may have run: {progress.may_have_run}")
        return outcome

    async def _try_upstreams(
        self, exchange: HttpExchange, request: CallerRequest, progress: _Progress
    ) -> Outcome:
        """Make attempts until one is conclusive or no retry is allowed."""
        outcome: Outcome = NotRun("no upstream takes new work", NO_UPSTREAM_RETRY_AFTER_S)
        self._retries.record_first(request)
        while progress.attempts < self._settings.max_attempts:
            channel = self._choose(request, progress)
            if channel is None:
                return outcome
            progress.attempts += 1
            attempt = attempt_id(request.request_id, progress.attempts)
            outcome = await self._attempt(exchange, request, channel, attempt, progress)
            if isinstance(outcome, Unknown):
                progress.may_have_run = outcome.reason
                progress.lost += 1
                if progress.lost >= MAX_LOST_ATTEMPTS:
                    _log.warning(
                        "request not sent again",
                        request=request.request_id,
                        lost_attempts=progress.lost,
                        reason=outcome.reason,
                    )
                    return outcome
            now = self._clock.now()
            progress.refused_by.add(channel.upstream.name)
            if isinstance(outcome, NotRun):
                self._routing.on_refused(channel.upstream.name, request.priority, now)
            pause_s = self._retries.pause_s(
                request, outcome, exchange.started, progress.attempts, now
            )
            if pause_s is None:
                return outcome
            self._metrics.count("entry.retries")
            await curio.sleep(pause_s)
        return outcome

    def _choose(self, request: CallerRequest, progress: _Progress) -> AgentChannel | None:
        """Return the channel to the upstream chosen for the request, or none."""
        work = RoutedWork(
            service=request.service.name,
            customer=request.customer.name,
            priority=request.priority,
            prompt=request.body[:ROUTING_PROMPT_BYTES],
            deadline=request.deadline,
        )
        candidates = self._fleet.candidates(request.service.name, progress.refused_by)
        chosen = self._routing.choose(work, candidates, self._clock.now())
        progress.alternatives = sum(
            item.has_free_capacity for item in candidates if item is not chosen
        )
        self._health.report()
        return None if chosen is None else self._fleet.channel(chosen.name)

    def _may_go_elsewhere(self, request: CallerRequest, progress: _Progress) -> bool:
        """Return whether the request could be retried at another upstream after this attempt."""
        if progress.alternatives < 1 or progress.attempts > MAX_DIVERTIBLE_ATTEMPT:
            return False
        return self._retries.allows(request)

    async def _attempt(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        channel: AgentChannel,
        attempt: AttemptId,
        progress: _Progress,
    ) -> Outcome:
        """Make one attempt, report it to routing and return its outcome."""
        name = channel.upstream.name
        started = self._clock.now()
        try:
            elsewhere = self._may_go_elsewhere(request, progress)
            outcome = await self._attempts.run(exchange, request, channel, attempt, elsewhere)
        except UnreachableError as error:
            self._routing.on_unreachable(name, self._clock.now())
            return NotRun(str(error), NO_UPSTREAM_RETRY_AFTER_S)
        failed = isinstance(outcome, Unknown)
        if isinstance(outcome, Ran):
            self._spread.record_ran(request, name)
        now = self._clock.now()
        self._routing.on_finished(name, now - started, failed, now)
        _log.info("attempt ended", attempt=attempt, upstream=name, outcome=repr(outcome))
        return outcome
