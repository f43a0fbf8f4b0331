"""The calls that a process beside an engine passes on to it."""

import time
from typing import Any

import curio
import msgspec

from bluebellrun.core import Address
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
from bluebellrun.sidecar import COUNTS_KNOWN, COUNTS_PATH, RankCountsTold, counts_since
from bluebellrun.telemetry import get_logger

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
NOT_FOUND = 404
GATEWAY_TIMEOUT = 504
CONNECT_TIMEOUT_S = 0.05
# An engine answers its own host in a few milliseconds; one that leaves a call unanswered for so
# long is asked again, as its group may be waiting.
CALL_TIMEOUT_S = 0.05
# Experts are copied within some hundred milliseconds; for so long an order to prepare a map is
# answered only when that is done, which saves its sender from asking again and again.
COPYING_S = 0.3
COPYING_ASKED_S = 0.02
# Headers that each call to the engine sets for itself.
SET_ANEW = frozenset({"host", "content-length"})
PASSED_ON = frozenset({("GET", REPORT_PATH), ("GET", PICKED_PATH), ("POST", ORDER_PATH)})

_log = get_logger("engine-relay")


class _Prepared(msgspec.Struct):
    """Of an order or a report, what tells whether a map's copy is complete."""

    op: str = ""
    version: int | None = None
    prepared: int | None = None


_picked = msgspec.json.Decoder(Picked)
_prepared = msgspec.json.Decoder(_Prepared)
_Answer = tuple[int, Headers, bytes]


class EngineRelay:
    """Pass reports, counts and orders on to the engine of the same host, and nothing else.

    Engines answer their own host at once, with fresh figures and without a rest of their group.
    """

    def __init__(self, engine: Address) -> None:
        timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, CALL_TIMEOUT_S, CALL_TIMEOUT_S)
        self._client = HttpClient(engine, timeouts, MAX_ANSWER_BYTES)
        self._told: RankCountsTold | None = None

    async def handle(self, exchange: HttpExchange) -> None:
        """Pass one call on."""
        request = exchange.request
        headers = [(k, v) for k, v in end_to_end(request.headers) if k not in SET_ANEW]
        try:
            match request.method, request.path:
                case "GET", path if path == COUNTS_PATH:
                    answer = await self._tell_counts(headers)
                case call if call in PASSED_ON:
                    answer = await self._pass_on(request, headers)
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

    async def _pass_on(self, request: HttpRequest, headers: Headers) -> _Answer:
        """Pass a call on as it came; answer an order to prepare a map once that is done."""
        body = request.body
        if COMPRESSED in headers:
            headers = [header for header in headers if header != COMPRESSED]
            body = decompress_body(body)
        answer = await self._ask(request.method, request.target, headers, body)
        if answer[0] == ACCEPTED and await self._copies_in_time(body, headers):
            return OK, [], b""
        return answer

    async def _copies_in_time(self, order: bytes, headers: Headers) -> bool:
        """Return whether the engine soon completes the copy that an order has begun."""
        ordered = _decode(_prepared, order)
        if ordered.op != "prepare":
            return False
        until = time.monotonic() + COPYING_S
        while time.monotonic() < until:
            await curio.sleep(COPYING_ASKED_S)
            _, _, data = await self._ask("GET", REPORT_PATH, _without_body(headers))
            if _decode(_prepared, data).prepared == ordered.version:
                return True
        return False

    async def _tell_counts(self, headers: Headers) -> _Answer:
        """Answer with the counts since those that the asker knows, or with all."""
        known = dict(headers).get(COUNTS_KNOWN, "")
        passed = [header for header in headers if header[0] != COUNTS_KNOWN]
        status, answered, data = await self._ask("GET", PICKED_PATH, passed)
        if status != OK:
            return status, answered, data
        picked: Picked = _decode(_picked, data)
        before = self._told
        number = 1 if before is None else before.number + 1
        whole = RankCountsTold(number, 0, picked.epoch, picked.born, picked.step, picked.counts)
        self._told = whole
        told = counts_since(before, whole, known)
        return OK, [("content-type", "application/msgpack")], msgspec.msgpack.encode(told)

    async def _ask(self, method: str, target: str, headers: Headers, body: bytes = b"") -> _Answer:
        """Make a call to the engine."""
        response = await self._client.open(method, target, headers, body)
        try:
            data = await response.read_all(CALL_TIMEOUT_S)
        finally:
            await response.close()
        answered = [(k, v) for k, v in end_to_end(response.headers) if k != "content-length"]
        return response.status, answered, data


def _without_body(headers: Headers) -> Headers:
    """Return headers without those that describe a body."""
    return [(k, v) for k, v in headers if not k.startswith("content-")]


def _decode(decoder: Any, data: bytes) -> Any:
    """Return a message's content; raise ``ValueError`` if it cannot be read."""
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise ValueError(f"{data[:60]!r} cannot be read: {error}") from error
