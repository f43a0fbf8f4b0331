"""HTTP request handler of the entry."""

import json

from bluebellrun.core import (
    AlreadyRan,
    Clock,
    InvariantError,
    NotRun,
    Outcome,
    Ran,
    RequestId,
    Unknown,
    new_request_id,
    outcome_name,
)
from bluebellrun.distribution import ConfigurationFollower
from bluebellrun.entry._callers import find_customer, read_request, refuse
from bluebellrun.entry._dispatcher import Dispatcher
from bluebellrun.entry._operators import OPERATORS_PREFIX, OperatorEndpoints
from bluebellrun.entry._problems import CallerError, Problem, problem_body, problem_headers
from bluebellrun.entry._service_levels import Delivery, ServiceLevels
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.http import CallerGoneError, HttpExchange
from bluebellrun.telemetry import Metrics, get_logger

HEALTH_PATHS = frozenset({"/healthz", "/readyz"})

_log = get_logger("entry")


class Entry:
    """Handle HTTP requests of callers, operators and health checks."""

    def __init__(
        self,
        settings: EntrySettings,
        follower: ConfigurationFollower,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
        levels: ServiceLevels,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._levels = levels
        self._operators = OperatorEndpoints(levels)
        self._in_progress: dict[RequestId, str] = {}
        self._stopping = False

    @property
    def in_progress(self) -> int:
        """Return how many requests are being served."""
        return len(self._in_progress)

    def describe_in_progress(self) -> list[dict[str, str]]:
        """Return the id and customer of each request being served."""
        return [
            {"request": request, "customer": customer}
            for request, customer in self._in_progress.items()
        ]

    def stop(self) -> None:
        """Report this entry as not ready from now on."""
        self._stopping = True

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one HTTP request."""
        if exchange.request.path in HEALTH_PATHS:
            await self._answer_health(exchange)
            return
        request_id = new_request_id()
        self._in_progress[request_id] = ""
        started = self._clock.now()
        try:
            await self._answer(exchange, request_id)
        except CallerError as error:
            await self._answer_problem(exchange, request_id, error.problem)
        except (OSError, CallerGoneError, InvariantError):
            raise
        except Exception:
            _log.exception("request failed", request=request_id)
            await self._answer_failure(exchange, request_id)
        finally:
            del self._in_progress[request_id]
            self._metrics.timing("entry.request", self._clock.now() - started)

    async def _answer_failure(self, exchange: HttpExchange, request_id: RequestId) -> None:
        """Answer a request that raised an unexpected error; its outcome is unknown."""
        if exchange.started:
            exchange.abort()
            return
        detail = "the entry failed; its operators find the cause under this request id"
        await self._answer_problem(exchange, request_id, Problem(500, Unknown(detail), detail))

    async def _answer_health(self, exchange: HttpExchange) -> None:
        """Answer a health check of the platform's load balancer."""
        if exchange.request.path == "/healthz":
            await self._answer_json(exchange, 200, {"status": "alive"})
            return
        ready = self._follower.current is not None and not self._stopping
        status = {"ready": ready, "stopping": self._stopping}
        await self._answer_json(exchange, 200 if ready else 503, status)

    async def _answer_json(self, exchange: HttpExchange, status: int, value: object) -> None:
        """Send a JSON answer with a new request id."""
        headers = [("content-type", "application/json"), ("request-id", new_request_id())]
        await exchange.answer(status, headers, json.dumps(value).encode())

    async def _answer(self, exchange: HttpExchange, request_id: RequestId) -> None:
        """Answer a caller's request."""
        configuration = self._follower.current
        if configuration is None:
            raise refuse(503, "this entry has no configuration yet")
        if exchange.request.path.startswith(OPERATORS_PREFIX):
            await self._operators.answer(exchange, configuration)
            return
        if exchange.request.path == "/v1/models" and exchange.request.method == "GET":
            find_customer(configuration, exchange.request)
            listed = [{"id": model, "object": "model"} for model in configuration.services.models]
            await self._answer_json(exchange, 200, {"object": "list", "data": listed})
            return
        arrived = self._clock.now()
        request = read_request(
            configuration,
            exchange.request,
            request_id,
            arrived,
            self._settings.default_deadline_s,
        )
        self._in_progress[request_id] = request.customer.name
        outcome = await self._dispatcher.serve(exchange, request)
        self._metrics.count(f"entry.outcome.{outcome_name(outcome)}")
        delivery = self._delivery(exchange, arrived)
        verdict = self._levels.observe(configuration, request, outcome, delivery)
        self._metrics.count(f"entry.verdict.{verdict}.{request.priority}")
        if exchange.started:
            if not isinstance(outcome, Ran):
                exchange.abort()
            return
        await self._answer_problem(exchange, request_id, _problem_for(outcome))

    def _delivery(self, exchange: HttpExchange, arrived: float) -> Delivery:
        """Return the status and timing of an answer."""
        total_s = self._clock.now() - arrived
        first = exchange.first_body_at
        return Delivery(
            status=exchange.status,
            started=exchange.started,
            first_byte_s=total_s if first is None else first - arrived,
            total_s=total_s,
        )

    async def _answer_problem(
        self, exchange: HttpExchange, request_id: RequestId, problem: Problem
    ) -> None:
        """Send a problem document as the answer."""
        _log.info(
            "request answered with a problem",
            request=request_id,
            status=problem.status,
            detail=problem.detail,
        )
        headers = problem_headers(problem, request_id)
        await exchange.answer(problem.status, headers, problem_body(problem, request_id))


def _problem_for(outcome: Outcome) -> Problem:
    """Return the problem that reports an outcome to the caller."""
    match outcome:
        case NotRun(reason, conflict=True):
            return Problem(409, outcome, reason)
        case NotRun(reason, retry_after_s):
            return Problem(503, outcome, reason, retry_after_s)
        case Unknown(reason, retry_after_s):
            return Problem(504, outcome, reason, retry_after_s)
        case AlreadyRan(_, reason):
            return Problem(409, outcome, reason)
        case Ran(detail):
            return Problem(409, outcome, detail)
