"""The gateway: accepts callers' requests and answers each of them."""

import json
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import curio

from bluebellrun.admission import RetryDetector, RetryDetectorSettings
from bluebellrun.deployment import Deployment, HostSettings, Route
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._load_shedding import LoadShedding
from bluebellrun.gateway._models import (
    Answered,
    BrokenOff,
    CallerRequest,
    Refused,
    Result,
    Unresolved,
)
from bluebellrun.gateway._ports import BadRequestError, Wire
from bluebellrun.gateway._prompt_guard import PromptGuard
from bluebellrun.gateway._relay import Relay
from bluebellrun.gateway._relay_terms import RelayTerms, choose_service, request_urgency
from bluebellrun.gateway._service_controls import ServiceControls
from bluebellrun.http import CallerGoneError, HttpExchange
from bluebellrun.quarantine import PromptQuarantine, QuarantineSettings
from bluebellrun.routing import GroupTable
from bluebellrun.telemetry import get_logger

BAD_REQUEST = 400
NOT_AUTHENTICATED = 401
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# A started process reads its configuration within some tens of milliseconds if the store is
# healthy; a request that arrives before that waits up to this long.
FIRST_CONFIGURATION_WAIT_S = 0.4
FIRST_CONFIGURATION_POLL_S = 0.02
NO_DEPLOYMENT_RETRY_S = 0.5
UNFINISHED_RETRY_S = 0.5
STOPPING_RETRY_S = 0.1
# Time to send the final answers of a process that gives up.
FINAL_ANSWER_S = 0.15

# Called with the service, the outcome's name, the status, the attempts, the seconds that the
# request took and those to the first byte of its answer, none for an answer without a body.
RecordRequest = Callable[[str, str, int, int, float, float | None], None]

_log = get_logger("gateway")


class StopDeadlineError(curio.CancelledError):
    """A request is unfinished when the process gives up its requests."""


@dataclass(frozen=True, slots=True)
class StopTimes:
    """When a stopping process refuses requests and gives up those in progress.

    Both are readings of the monotonic clock in seconds.
    """

    refuse_from: float = math.inf
    give_up_at: float = math.inf


class Gateway:
    """Route, authenticate and relay requests; times in seconds of the monotonic clock."""

    def __init__(
        self,
        settings: HostSettings,
        fleet: Fleet,
        wire: Wire,
        random: Random,
        record_request: RecordRequest | None = None,
        guard: PromptGuard | None = None,
        groups: GroupTable | None = None,
    ) -> None:
        self._settings = settings
        self._groups = groups or GroupTable()
        self._fleet = fleet
        self._wire = wire
        self._random = random
        self._record_request = record_request
        quarantine = PromptQuarantine(QuarantineSettings())
        self._guard = guard or PromptGuard(quarantine, fleet, settings.host)
        self._deployment: Deployment | None = None
        self._retry_detector = RetryDetector(RetryDetectorSettings())
        self._controls = ServiceControls(
            settings,
            fleet,
            fleet.groups.table if groups is None else groups,
            lambda: self._deployment,
            random,
        )
        self._in_progress = 0
        self._stop = StopTimes()
        self._relaying: set[Any] = set()

    @property
    def deployment(self) -> Deployment | None:
        """Return the configuration in force, none before the first was read."""
        return self._deployment

    @property
    def in_progress(self) -> int:
        """Return how many requests are being answered."""
        return self._in_progress

    @property
    def load_shedding(self) -> list[LoadShedding]:
        """Return the load shedding of all services that have any."""
        return self._controls.load_shedding

    def apply_deployment(self, deployment: Deployment) -> bool:
        """Apply a configuration if it is newer than the one in force; return whether it was."""
        if not deployment.is_newer_than(self._deployment):
            return False
        self._deployment = deployment
        return True

    def fails_together(self, service: str) -> bool:
        """Return whether the upstreams of a service work in step, so that they fail together."""
        return self._controls.group_terms(service) is not None

    def set_entries(self, entries: int) -> None:
        """Set the number of entries that share the retry budget."""
        self._controls.set_entries(entries)

    def begin_stop(self, times: StopTimes) -> None:
        """Set when requests are refused and given up: the process is about to stop."""
        self._stop = times

    async def give_up(self) -> None:
        """Give the requests in progress their final answer, as far as they can still get one."""
        for task in list(self._relaying):
            await task.cancel(exc=StopDeadlineError, blocking=False)

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        self._in_progress += 1
        try:
            await self._handle(exchange)
        finally:
            self._in_progress -= 1

    async def _handle(self, exchange: HttpExchange) -> None:
        """Read a request, find its route and relay it."""
        try:
            request = self._wire.read_request(exchange.request, exchange.received)
        except BadRequestError as error:
            await self._refuse(exchange, "", Refused(BAD_REQUEST, str(error)))
            return
        deployment = await self._await_deployment()
        checked = self._check(request, deployment)
        if isinstance(checked, Refused) or deployment is None:
            await self._refuse(exchange, request.id, checked)
            return
        route = checked
        await self._relay(exchange, request, route, deployment)

    async def _await_deployment(self) -> Deployment | None:
        """Return the configuration in force; shortly after a start, wait for the first one."""
        deadline = time.monotonic() + FIRST_CONFIGURATION_WAIT_S
        while self._deployment is None and time.monotonic() < deadline:
            await curio.sleep(FIRST_CONFIGURATION_POLL_S)
        return self._deployment

    def _check(self, request: CallerRequest, deployment: Deployment | None) -> Route | Refused:
        """Return a request's route, or why it is refused."""
        if deployment is None:
            return Refused(UNAVAILABLE, "no configuration has been read", NO_DEPLOYMENT_RETRY_S)
        if time.monotonic() >= self._stop.refuse_from:
            return Refused(UNAVAILABLE, "this process is stopping", STOPPING_RETRY_S)
        route = deployment.find_route(request.host, request.path)
        if route is None:
            return Refused(NOT_FOUND, f"no route of {request.host!r} begins {request.path!r}")
        needs_key = deployment.checks_keys and route.needs_key
        if needs_key and deployment.find_customer(request.key) is None:
            return Refused(NOT_AUTHENTICATED, "the key is not known; send a key in force")
        return route

    async def _relay(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        route: Route,
        deployment: Deployment,
    ) -> None:
        """Relay a request within its route's and its caller's timeout."""
        service = choose_service(route, self._random)
        customer = deployment.find_customer(request.key) if route.needs_key else None
        time_limit_s = route.timeout_s
        if request.caller_timeout_s is not None:
            time_limit_s = min(time_limit_s, request.caller_timeout_s)
        deadline = request.received + time_limit_s
        terms = RelayTerms(
            route,
            service,
            None if customer is None else customer.name,
            request_urgency(route, deployment, request.key),
            deadline,
            self._is_retry(request, route),
            self._controls.relative_length(service, request.expected_tokens),
        )
        relay = Relay(
            exchange,
            request,
            terms,
            self._fleet,
            self._wire,
            self._controls.admission(service),
            self._controls.budget(service),
            self._guard,
            lambda: self._stop.give_up_at,
        )
        try:
            result = await self._run_relay(exchange, request, relay, deadline)
        except CallerGoneError as error:
            _log.info("caller left", request=request.id, reason=str(error))
            exchange.abort()
        except StopDeadlineError:
            result = _unfinished(exchange, relay, BAD_GATEWAY, "this process is stopping")
            async with curio.ignore_after(FINAL_ANSWER_S):
                await self._conclude(exchange, request, route, service, result)
        else:
            await self._conclude(exchange, request, route, service, result)

    async def _run_relay(
        self, exchange: HttpExchange, request: CallerRequest, relay: Relay, deadline: float
    ) -> Result:
        """Return the result of a request, at its deadline at the latest.

        Raises ``StopDeadlineError`` if the process gives up its requests before that.
        """
        task = await curio.current_task()
        self._relaying.add(task)
        try:
            async with curio.timeout_after(max(0.0, deadline - time.monotonic())):
                return await relay.run()
        except curio.TaskTimeout:
            _log.info(
                "request timed out",
                request=request.id,
                upstream=relay.upstream,
                attempts=relay.attempts,
            )
            return _unfinished(exchange, relay, GATEWAY_TIMEOUT, "the request's time is over")
        finally:
            self._relaying.discard(task)

    def _is_retry(self, request: CallerRequest, route: Route) -> bool:
        """Return whether the caller has certainly sent this request to some entry before."""
        returns = self._retry_detector.is_retry(
            route.name, request.caller_timeout_s, route.timeout_s
        )
        return returns or request.last_event_id is not None

    async def _conclude(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        route: Route,
        service: str,
        result: Result,
    ) -> None:
        """Send the caller the result, unless it was answered already, and log it."""
        took_s = time.monotonic() - request.received
        fields = {
            "request": request.id,
            "route": route.name,
            "service": service,
            "took_s": round(took_s, 3),
        }
        match result:
            case Answered(status, upstream, attempts):
                _log.info("answered", status=status, upstream=upstream, attempts=attempts, **fields)
            case Refused(status, reason, retry_after_s):
                _log.info("refused", status=status, reason=reason, **fields)
                await self._answer(exchange, request.id, status, reason, retry_after_s)
            case Unresolved(status, reason, attempts):
                _log.info("unresolved", status=status, reason=reason, attempts=attempts, **fields)
                await self._answer(exchange, request.id, status, reason, None)
            case BrokenOff(reason, attempts):
                _log.info("broken off", reason=reason, attempts=attempts, **fields)
                exchange.abort()
        self._count(exchange, request, service, result, took_s)

    def _count(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        service: str,
        result: Result,
        took_s: float,
    ) -> None:
        """Count a request that ended."""
        if self._record_request is None:
            return
        attempts = 0 if isinstance(result, Refused) else result.attempts
        first = exchange.first_body_at
        first_byte_s = None if first is None else first - request.received
        outcome = type(result).__name__.lower()
        self._record_request(service, outcome, exchange.status, attempts, took_s, first_byte_s)

    async def _refuse(
        self, exchange: HttpExchange, request_id: str, refused: Route | Refused
    ) -> None:
        """Refuse a request that was not relayed."""
        if not isinstance(refused, Refused):
            raise TypeError(f"{refused!r} is no refusal")
        _log.info("refused", request=request_id, status=refused.status, reason=refused.reason)
        await self._answer(
            exchange, request_id, refused.status, refused.reason, refused.retry_after_s
        )

    async def _answer(
        self,
        exchange: HttpExchange,
        request_id: str,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> None:
        """Send an answer that the gateway generates itself."""
        headers = self._wire.refusal_headers(request_id, retry_after_s)
        body = json.dumps({"status": status, "detail": reason}).encode()
        await exchange.answer(status, headers, body)


def _unfinished(exchange: HttpExchange, relay: Relay, status: int, reason: str) -> Result:
    """Return the result of a request that is given up; ``status`` if it may have run."""
    if exchange.started:
        return BrokenOff(reason, relay.attempts)
    if relay.runs:
        return Unresolved(status, reason, relay.attempts)
    return Refused(UNAVAILABLE, reason, UNFINISHED_RETRY_S)
