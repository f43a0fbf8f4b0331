"""The sidecar's proxy for calls to the engine on its host."""

import time
from typing import Any

import curio
import msgspec

from bluebellrun.core import Address, DecodingError, decode
from bluebellrun.http import (
    COMPRESSED,
    ClientTimeouts,
    Headers,
    HttpClient,
    HttpExchange,
    HttpRequest,
    TransportError,
    decompress_body,
    end_to_end,
)
from bluebellrun.platform._engine_messages import MAX_ANSWER_BYTES, Picked
from bluebellrun.platform._names import ORDER_PATH, PICKED_PATH, REPORT_PATH
from bluebellrun.sidecar import COUNTS_KNOWN, COUNTS_PATH, RankCountsReport, counts_since
from bluebellrun.telemetry import get_logger

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# What to do with a call for which there is no memory: its sender makes it again.
RETRY: Headers = [("retry-after", "1")]
CONNECT_TIMEOUT_S = 0.05
# An engine answers its own host in a few milliseconds; after this time the call is made again, as
# its group may be waiting.
CALL_TIMEOUT_S = 0.05
# Copying experts takes some hundred milliseconds. The answer to an order to prepare a map is
# delayed by up to this time until the copy is complete, which saves its sender from polling.
COPY_WAIT_S = 0.3
COPY_POLL_INTERVAL_S = 0.02
# Headers that are set again for each call to the engine.
REPLACED_HEADERS = frozenset({"host", "content-length"})
FORWARDED_CALLS = frozenset({("GET", REPORT_PATH), ("GET", PICKED_PATH), ("POST", ORDER_PATH)})

_log = get_logger("engine-relay")


class _Prepared(msgspec.Struct):
    """The fields of an order or a report that show whether a map's copy is complete."""

    op: str = ""
    version: int | None = None
    prepared: int | None = None


_picked = msgspec.json.Decoder(Picked)
_prepared = msgspec.json.Decoder(_Prepared)
_Answer = tuple[int, Headers, bytes]


class EngineRelay:
    """Forwards report, count and order calls, and no others, to the engine on the same host.

    Engines answer their own host at once, with current figures and without pausing their group.
    """

    def __init__(self, engine: Address) -> None:
        timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, CALL_TIMEOUT_S, CALL_TIMEOUT_S)
        self._client = HttpClient(engine, timeouts, MAX_ANSWER_BYTES)
        self._last_report: RankCountsReport | None = None

    async def handle(self, exchange: HttpExchange) -> None:
        """Forward one call."""
        request = exchange.request
        headers = [(k, v) for k, v in end_to_end(request.headers) if k not in REPLACED_HEADERS]
        try:
            match request.method, request.path:
                case "GET", path if path == COUNTS_PATH:
                    answer = await self._answer_counts(headers)
                case call if call in FORWARDED_CALLS:
                    body = _unpacked(request)
                    # An unpacked body is far larger than what came over the network.
                    if not exchange.collect(len(body)):
                        await exchange.answer_json(UNAVAILABLE, {"detail": "no memory"}, RETRY)
                        return
                    answer = await self._forward(request, headers, body)
                case _:
                    detail = f"{request.method} {request.path} is not passed on"
                    await exchange.answer_json(NOT_FOUND, {"detail": detail})
                    return
        except TransportError as error:
            _log.warning("engine did not answer", call=request.path, reason=str(error))
            await exchange.answer_json(GATEWAY_TIMEOUT, {"detail": str(error)})
            return
        except ValueError as error:
            _log.warning("call refused", call=request.path, reason=str(error))
            await exchange.answer_json(BAD_REQUEST, {"detail": str(error)})
            return
        await exchange.answer(*answer)

    async def _forward(self, request: HttpRequest, headers: Headers, body: bytes) -> _Answer:
        """Forward a call unpacked; delay the answer to a prepare order until it is done."""
        headers = [header for header in headers if header != COMPRESSED]
        answer = await self._call(request.method, request.target, headers, body)
        if answer[0] == ACCEPTED and await self._await_copy(body, headers):
            return OK, [], b""
        return answer

    async def _await_copy(self, order: bytes, headers: Headers) -> bool:
        """Return whether the engine completes a prepare order's copy within ``COPY_WAIT_S``."""
        ordered = _decode(_prepared, order)
        if ordered.op != "prepare":
            return False
        deadline = time.monotonic() + COPY_WAIT_S
        while time.monotonic() < deadline:
            await curio.sleep(COPY_POLL_INTERVAL_S)
            _, _, data = await self._call("GET", REPORT_PATH, _without_body(headers))
            if _decode(_prepared, data).prepared == ordered.version:
                return True
        return False

    async def _answer_counts(self, headers: Headers) -> _Answer:
        """Answer with the counts since the report that the caller has, or with all counts."""
        known = dict(headers).get(COUNTS_KNOWN, "")
        forwarded = [header for header in headers if header[0] != COUNTS_KNOWN]
        status, answer_headers, data = await self._call("GET", PICKED_PATH, forwarded)
        if status != OK:
            return status, answer_headers, data
        picked: Picked = _decode(_picked, data)
        previous = self._last_report
        number = 1 if previous is None else previous.number + 1
        full = RankCountsReport(number, 0, picked.epoch, picked.born, picked.step, picked.counts)
        self._last_report = full
        report = counts_since(previous, full, known)
        return OK, [("content-type", "application/msgpack")], msgspec.msgpack.encode(report)

    async def _call(self, method: str, target: str, headers: Headers, body: bytes = b"") -> _Answer:
        """Make a call to the engine."""
        response = await self._client.open(method, target, headers, body)
        try:
            data = await response.read_all(CALL_TIMEOUT_S)
        finally:
            await response.close()
        answer_headers = [(k, v) for k, v in end_to_end(response.headers) if k != "content-length"]
        return response.status, answer_headers, data


def _unpacked(request: HttpRequest) -> bytes:
    """Return a request's body as it was before it was compressed."""
    return decompress_body(request.body) if COMPRESSED in request.headers else request.body


def _without_body(headers: Headers) -> Headers:
    """Return headers without those that describe the body."""
    return [(k, v) for k, v in headers if not k.startswith("content-")]


def _decode(decoder: Any, data: bytes) -> Any:
    """Decode a message; raise ``ValueError`` if it is malformed."""
    try:
        return decode(decoder, data)
    except DecodingError as error:
        raise ValueError(f"{data[:60]!r} cannot be read: {error}") from error
