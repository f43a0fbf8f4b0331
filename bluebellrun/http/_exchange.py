"""A request and the answer being written to it."""

import json
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import h11

from bluebellrun.http._memory import SMALL_BYTES
from bluebellrun.http._models import Headers, HttpRequest, encode_headers

if TYPE_CHECKING:
    from bluebellrun.http._connection import Connection

NO_BODY_STATUSES = frozenset({204, 304})


class CallerGoneError(Exception):
    """The caller closed its connection."""


class HttpExchange:
    """One request and the answer being written to it."""

    def __init__(self, connection: "Connection", request: HttpRequest) -> None:
        self._connection = connection
        self._request = request
        self._started = False
        self._finished = False
        self._aborted = False
        self._announces_end = False
        self._status = 0
        self._first_body_at: float | None = None
        self._received = time.monotonic()

    @property
    def received(self) -> float:
        """Return when the request was whole, by the monotonic clock in seconds."""
        return self._received

    @property
    def request(self) -> HttpRequest:
        """Return the request."""
        return self._request

    @property
    def started(self) -> bool:
        """Return whether the answer's head has been sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Return whether the whole answer has been sent."""
        return self._finished

    @property
    def aborted(self) -> bool:
        """Return whether the answer was broken off."""
        return self._aborted

    @property
    def announces_end(self) -> bool:
        """Return whether the answer tells the caller that its connection ends."""
        return self._announces_end

    @property
    def status(self) -> int:
        """Return the status that was sent, 0 before the head."""
        return self._status

    @property
    def first_body_at(self) -> float | None:
        """Return when the first byte of the body was sent, by the monotonic clock in seconds."""
        return self._first_body_at

    def collect(self, size: int) -> bool:
        """Return whether ``size`` bytes made for the answer may be held before it is sent."""
        return size <= SMALL_BYTES or self._connection.collect(size)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers; without a length, the body is chunked."""
        self._announces_end = self._connection.closes_after_answer()
        if self._announces_end:
            headers = [*headers, ("connection", "close")]
        head = h11.Response(status_code=status, headers=encode_headers(headers))
        self._started = True
        self._status = status
        await self._connection.send(head)

    async def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            await self._connection.send(h11.Data(data=data))
            if self._first_body_at is None:
                self._first_body_at = time.monotonic()

    async def finish(self) -> None:
        """End the answer, once the caller has taken all of it."""
        await self._connection.send(h11.EndOfMessage())
        await self._connection.flush()
        self._finished = True

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        complete = [*headers, ("content-length", str(len(body)))]
        await self.send_head(status, complete)
        if self._request.method != "HEAD" and status not in NO_BODY_STATUSES:
            await self.send_body(body)
        await self.finish()

    async def answer_json(self, status: int, value: object, headers: Headers | None = None) -> None:
        """Send a complete answer with a JSON body."""
        body = json.dumps(value).encode()
        await self.answer(status, [("content-type", "application/json"), *(headers or [])], body)

    def abort(self) -> None:
        """Break off the answer: the connection is closed without a proper end."""
        self._aborted = True


HttpHandler = Callable[[HttpExchange], Awaitable[None]]
