"""Error answers to callers, as RFC 9457 problem documents."""

import json
import math
from dataclasses import dataclass

from bluebellrun.core import Outcome, outcome_name
from bluebellrun.http import Headers

TITLES = {
    400: "Bad request",
    401: "Key missing or not known",
    403: "Not allowed",
    404: "Not found",
    405: "Method not allowed",
    409: "Conflict",
    413: "Body too large",
    429: "Too many requests",
    500: "Internal error",
    503: "Not run for now",
    504: "No whole answer in time",
}


@dataclass(frozen=True, slots=True)
class Problem:
    """An error answer: HTTP status, outcome of the request and detail."""

    status: int
    outcome: Outcome
    detail: str
    retry_after_s: float | None = None


class CallerError(Exception):
    """A request has to be answered with a problem."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def problem_headers(problem: Problem, request_id: str) -> Headers:
    """Return the headers of a problem's answer."""
    headers = [("content-type", "application/problem+json"), ("request-id", request_id)]
    if problem.retry_after_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(problem.retry_after_s)))))
    return headers


def problem_body(problem: Problem, request_id: str) -> bytes:
    """Return a problem document as JSON."""
    document = {
        "type": "about:blank",
        "title": TITLES.get(problem.status, "Error"),
        "status": problem.status,
        "detail": problem.detail,
        "outcome": outcome_name(problem.outcome),
        "request_id": request_id,
    }
    return json.dumps(document).encode()
