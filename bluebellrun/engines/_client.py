"""Send requests to an upstream over HTTP/1.1 and stream their answers."""

from dataclasses import dataclass

from bluebellrun.core import Address
from bluebellrun.engines._exceptions import (
    AnswerBrokenError,
    RequestDeclinedError,
    RequestNotSentError,
    UpstreamTimeoutError,
)
from bluebellrun.engines._models import (
    ModelEngine,
    PlainService,
    UpstreamKind,
    UpstreamTimeouts,
)
from bluebellrun.engines._sse import DoneWatcher
from bluebellrun.http import (
    ClientTimeouts,
    ConnectError,
    Headers,
    HttpClient,
    HttpResponse,
    PeerTimeoutError,
    TransportError,
    header_value,
)

DECLINED_STATUSES = frozenset({429, 503})
EVENT_STREAM = "text/event-stream"
STREAMS_PATH = "/v1/streams/"
OK = 200


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream; ``attempt`` identifies it at the engine.

    ``silence_s`` is the longest silence inside a stream; none selects the upstream's default.
    """

    attempt: str
    method: str
    target: str
    headers: Headers
    body: bytes
    priority: int
    silence_s: float | None = None


class UpstreamAnswer:
    """An answer that is being received."""

    def __init__(
        self, response: HttpResponse, gap_s: float, watcher: DoneWatcher | None = None
    ) -> None:
        self._response = response
        self._gap_s = gap_s
        self._watcher = watcher

    @property
    def watcher(self) -> DoneWatcher | None:
        """Return the watcher of the event stream, or none for any other answer."""
        return self._watcher

    @property
    def gap_s(self) -> float:
        """Return the longest silence between two reads, in seconds."""
        return self._gap_s

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """Return the headers."""
        return self._response.headers

    @property
    def tokens(self) -> int:
        """Return how many tokens of an event stream have been read, 0 for any other answer."""
        return 0 if self._watcher is None else self._watcher.events

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end of the answer.

        Raises ``UpstreamTimeoutError`` when no data arrives in time and
        ``AnswerBrokenError`` when the answer is truncated, which includes an event stream that
        ends without ``[DONE]``.
        """
        try:
            data = await self._response.read(self._gap_s)
        except PeerTimeoutError as error:
            raise UpstreamTimeoutError(str(error)) from error
        except TransportError as error:
            raise AnswerBrokenError(str(error)) from error
        if self._watcher is not None:
            self._watcher.feed(data)
            if not data and not self._watcher.done:
                raise AnswerBrokenError("the event stream ended without [DONE]")
        return data

    async def close(self) -> None:
        """Close the answer, abandoning what has not been read."""
        await self._response.close()


class UpstreamClient:
    """Send requests to one upstream."""

    def __init__(self, address: Address, kind: UpstreamKind, timeouts: UpstreamTimeouts) -> None:
        self._kind = kind
        self._timeouts = timeouts
        limits = ClientTimeouts(timeouts.connect_s, timeouts.first_byte_s, timeouts.gap_s)
        self._client = HttpClient(address, limits, max_idle=256)

    async def open(self, request: UpstreamRequest) -> UpstreamAnswer:
        """Send a request and return its answer once the head has arrived.

        Raises ``RequestNotSentError`` or ``RequestDeclinedError`` when it did not run,
        ``UpstreamTimeoutError`` or ``AnswerBrokenError`` when it may have.
        """
        headers = [
            *request.headers,
            ("x-request-id", request.attempt),
            ("priority", f"u={request.priority}"),
        ]
        try:
            response = await self._client.open(
                request.method, request.target, headers, request.body
            )
        except ConnectError as error:
            raise RequestNotSentError(str(error)) from error
        except PeerTimeoutError as error:
            raise UpstreamTimeoutError(str(error)) from error
        except TransportError as error:
            raise AnswerBrokenError(str(error)) from error
        return await self._accept(response, request.silence_s or self._timeouts.gap_s)

    async def resume(
        self, attempt: str, offset: int, broken: UpstreamAnswer | None
    ) -> UpstreamAnswer | None:
        """Return the rest of an event stream from a byte offset, over a new connection.

        ``GET /v1/streams/ATTEMPT?offset=N`` answers 200 with the bytes from ``N`` on while the
        engine has the stream, and 404 when it has not. Returns none when the upstream cannot
        resume this answer. Raises ``RequestNotSentError`` when there is no connection.
        """
        if not isinstance(self._kind, ModelEngine):
            return None
        await self._client.close()
        target = f"{STREAMS_PATH}{attempt}?offset={offset}"
        try:
            response = await self._client.open("GET", target, [], b"", self._timeouts.connect_s)
        except ConnectError as error:
            raise RequestNotSentError(str(error)) from error
        except TransportError:
            return None
        content_type = header_value(response.headers, "content-type") or ""
        if response.status != OK or not content_type.startswith(EVENT_STREAM):
            await response.close()
            return None
        watcher = (broken.watcher if broken is not None else None) or DoneWatcher()
        gap_s = self._timeouts.gap_s if broken is None else broken.gap_s
        return UpstreamAnswer(response, gap_s, watcher)

    async def cancel(self, attempt: str) -> None:
        """Cancel a stream at a model engine; failures are ignored."""
        if not isinstance(self._kind, ModelEngine):
            return
        try:
            await self._client.fetch("DELETE", f"{STREAMS_PATH}{attempt}", [])
        except TransportError:
            return

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def _accept(self, response: HttpResponse, silence_s: float) -> UpstreamAnswer:
        """Return the answer according to the contract of this kind of upstream."""
        match self._kind:
            case ModelEngine():
                if response.status in DECLINED_STATUSES:
                    await response.close()
                    raise RequestDeclinedError(response.status)
                content_type = header_value(response.headers, "content-type") or ""
                stream = content_type.startswith(EVENT_STREAM)
                watcher = DoneWatcher() if stream else None
                gap_s = self._timeouts.gap_s if watcher is None else silence_s
                return UpstreamAnswer(response, gap_s, watcher)
            case PlainService():
                return UpstreamAnswer(response, self._timeouts.gap_s)
