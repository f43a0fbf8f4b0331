"""The calls that a process beside an engine passes on to it."""

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    TransportError,
    end_to_end,
)
from bluebellrun.platform._names import ORDER_PATH, PICKED_PATH, REPORT_PATH
from bluebellrun.telemetry import get_logger

NOT_FOUND = 404
GATEWAY_TIMEOUT = 504
CONNECT_TIMEOUT_S = 0.05
# An engine answers its own host in a few milliseconds; one that leaves a call unanswered for so
# long is asked again, as its group may be waiting.
CALL_TIMEOUT_S = 0.05
PASSED_ON = frozenset({("GET", REPORT_PATH), ("GET", PICKED_PATH), ("POST", ORDER_PATH)})

_log = get_logger("engine-relay")


class EngineRelay:
    """Pass reports, counts and orders on to the engine of the same host, and nothing else.

    Engines answer their own host at once and with fresh figures.
    """

    def __init__(self, engine: Address) -> None:
        self._client = HttpClient(
            engine, ClientTimeouts(CONNECT_TIMEOUT_S, CALL_TIMEOUT_S, CALL_TIMEOUT_S)
        )

    async def handle(self, exchange: HttpExchange) -> None:
        """Pass one call on."""
        request = exchange.request
        if (request.method, request.path) not in PASSED_ON:
            detail = f"{request.method} {request.path} is not passed on"
            await exchange.answer_json(NOT_FOUND, {"detail": detail})
            return
        headers = [(k, v) for k, v in end_to_end(request.headers) if k != "host"]
        try:
            response = await self._client.open(
                request.method, request.target, headers, request.body
            )
            body = await response.read_all(CALL_TIMEOUT_S)
        except TransportError as error:
            _log.warning("engine did not answer", call=request.path, reason=str(error))
            await exchange.answer_json(GATEWAY_TIMEOUT, {"detail": str(error)})
            return
        answer = [(k, v) for k, v in end_to_end(response.headers) if k != "content-length"]
        await exchange.answer(response.status, answer, body)
