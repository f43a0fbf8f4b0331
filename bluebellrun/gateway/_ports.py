"""Interfaces that the platform's adapter implements for the gateway."""

from typing import Protocol

from bluebellrun.gateway._models import Attempt, CallerRequest, UpstreamAnswer
from bluebellrun.http import AcceptResponse, Headers, HttpRequest


class BadRequestError(Exception):
    """A caller's request that cannot be understood; the text names the bad value."""


class Wire(Protocol):
    """Translate between HTTP messages and the gateway's types."""

    def read_request(self, request: HttpRequest, received: float) -> CallerRequest:
        """Read a caller's request; raise ``BadRequestError``."""

    def upstream_headers(self, request: CallerRequest, attempt: Attempt) -> Headers:
        """Return the headers of a request to an upstream."""

    def answers_to(self, request: CallerRequest) -> AcceptResponse:
        """Return a test of whether a response answers this request and no other."""

    def read_answer(self, status: int, headers: Headers) -> UpstreamAnswer:
        """Read the head of an upstream's response."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer that the gateway generates itself."""
