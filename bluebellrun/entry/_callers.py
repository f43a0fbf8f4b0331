"""Parse and validate a caller's HTTP request: customer, service, priority and deadline."""

import json
import math
import re
from dataclasses import dataclass

from bluebellrun.core import NotRun, RequestId
from bluebellrun.customers import Customer
from bluebellrun.declarations import Configuration
from bluebellrun.entry._problems import CallerError, Problem
from bluebellrun.http import Headers, HttpRequest
from bluebellrun.upstreams import Service

MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
SERVICES_PREFIX = "/services/"
BEARER = "bearer "
DEFAULT_URGENCY = 3
MAX_KEY_BYTES = 255
MAX_DEADLINE_S = 3_600.0
URGENCY = re.compile(r"(?:^|,)\s*u=([0-7])\s*(?:,|;|$)")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated request. ``arrived`` and ``deadline`` are on the entry's clock, in seconds."""

    request_id: RequestId
    customer: Customer
    service: Service
    priority: int
    arrived: float
    deadline: float
    method: str
    target: str
    headers: Headers
    body: bytes
    stream: bool
    model: str
    idempotency_key: str
    repeatable: bool


def refuse(status: int, detail: str) -> CallerError:
    """Return the error for a request that is rejected without running."""
    return CallerError(Problem(status, NotRun(detail), detail))


def find_customer(configuration: Configuration, request: HttpRequest) -> Customer:
    """Return the customer whose key the request carries; raise ``CallerError`` if none."""
    authorization = request.header("authorization") or ""
    if not authorization.lower().startswith(BEARER):
        raise refuse(401, "send Authorization: Bearer KEY")
    customer = configuration.customers.find(authorization[len(BEARER) :].strip())
    if customer is None:
        raise refuse(401, "the key is not known; ask your operators for a valid one")
    return customer


def read_request(
    configuration: Configuration,
    request: HttpRequest,
    request_id: RequestId,
    now: float,
    default_deadline_s: float,
) -> CallerRequest:
    """Parse and validate a request; raise ``CallerError`` if it cannot run."""
    customer = find_customer(configuration, request)
    if request.path in MODEL_PATHS:
        service, model, stream = _parse_model_request(configuration, request)
        target = request.target
    elif request.path.startswith(SERVICES_PREFIX):
        service, target = _parse_plain_request(configuration, request)
        model, stream = "", False
    else:
        raise refuse(404, f"nothing at {request.path}; see /v1/models and /services/NAME/")
    if not customer.may_use(service.name):
        raise refuse(403, f"customer {customer.name} may not use service {service.name}")
    priority = customer.capped_priority(_read_priority(request))
    rule = configuration.priority_rule(priority)
    max_timeout_s = min(rule.deadline_s, MAX_DEADLINE_S) or default_deadline_s
    key = _read_key(request)
    return CallerRequest(
        request_id=request_id,
        customer=customer,
        service=service,
        priority=priority,
        arrived=now,
        deadline=now + _read_timeout(request, max_timeout_s),
        method=request.method,
        target=target,
        headers=request.headers,
        body=request.body,
        stream=stream,
        model=model,
        idempotency_key=key,
        repeatable=service.repeatable(request.method) and not key,
    )


def _parse_model_request(
    configuration: Configuration, request: HttpRequest
) -> tuple[Service, str, bool]:
    """Return the service and model of a model request, and whether it asks for a stream."""
    if request.method != "POST":
        raise refuse(405, f"{request.path} takes POST, not {request.method}")
    try:
        body = json.loads(request.body)
    except ValueError as error:
        raise refuse(400, f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise refuse(400, "the body is not a JSON object")
    model = body.get("model")
    if not isinstance(model, str):
        raise refuse(400, f"model is {model!r}; name one of {configuration.services.models}")
    service = configuration.services.find_by_model(model)
    if service is None:
        known = configuration.services.models
        raise refuse(404, f"model {model!r} is not served; use one of {known}")
    return service, model, body.get("stream") is True


def _parse_plain_request(configuration: Configuration, request: HttpRequest) -> tuple[Service, str]:
    """Return the service of a plain request and the target to send upstream."""
    name, separator, rest = request.target[len(SERVICES_PREFIX) :].partition("/")
    name, _, query = name.partition("?")
    service = configuration.services.find(name)
    if service is None:
        raise refuse(404, f"service {name!r} is not declared")
    if separator:
        return service, f"/{rest}"
    return service, f"/?{query}" if query else "/"


def _read_priority(request: HttpRequest) -> int:
    """Return the RFC 9218 urgency; the default is 3."""
    field = request.header("priority")
    if field is None:
        return DEFAULT_URGENCY
    match = URGENCY.search(field)
    return int(match.group(1)) if match else DEFAULT_URGENCY


def _read_timeout(request: HttpRequest, max_timeout_s: float) -> float:
    """Return the caller's timeout in seconds, capped at the maximum."""
    field = request.header("request-timeout-ms")
    if field is None:
        return max_timeout_s
    try:
        seconds = float(field) / 1000
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise refuse(400, f"Request-Timeout-Ms is {field!r}; send a positive number")
    return min(seconds, max_timeout_s)


def _read_key(request: HttpRequest) -> str:
    """Return the idempotency key, or an empty string if there is none."""
    key = request.header("idempotency-key")
    if key is None:
        return ""
    if not 0 < len(key) <= MAX_KEY_BYTES:
        raise refuse(400, f"Idempotency-Key has {len(key)} bytes; send 1 to {MAX_KEY_BYTES}")
    return key
