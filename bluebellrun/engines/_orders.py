"""Send orders to one engine and read its state; the reference pages give the wire format."""

import msgspec

from bluebellrun.core import Address
from bluebellrun.engines._exceptions import EngineError
from bluebellrun.groups import EngineState, ExpertCounts, Order
from bluebellrun.http import (
    ClientTimeouts,
    ConnectError,
    HttpClient,
    TransportError,
)

ORDERS_PATH = "/orders"
STATE_PATH = "/orders/state"
EXPERTS_PATH = "/experts"
JSON_HEADERS = [("content-type", "application/json")]
OK = 200
ACCEPTED = 202


class OrderError(EngineError):
    """An order was not carried out, or its outcome is unknown."""


class OrderNotSentError(OrderError):
    """No byte of the order reached the engine."""


class OrderRejectedError(OrderError):
    """The engine rejected the order."""


class OrderInDoubtError(OrderError):
    """The order may have reached the engine; only the engine's state shows whether it did."""


class EngineStateError(OrderError):
    """The engine's state could not be read."""


class OrderClient:
    """Send orders to an engine over a single connection."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        timeouts = ClientTimeouts(timeout_s, timeout_s, timeout_s)
        self._client = HttpClient(address, timeouts, max_idle=1)

    async def read_state(self) -> EngineState:
        """Return the engine's state; raise ``EngineStateError`` if it cannot be read."""
        try:
            status, data = await self._client.fetch("GET", STATE_PATH, [])
        except TransportError as error:
            raise EngineStateError(str(error)) from error
        if status != OK:
            raise EngineStateError(f"the engine answered {status} for its state")
        try:
            return msgspec.json.decode(data, type=EngineState)
        except msgspec.MsgspecError as error:
            raise EngineStateError(f"the engine's state is malformed: {error}") from error

    async def read_experts(self) -> ExpertCounts:
        """Return the rank's expert counts; raise ``EngineStateError`` if they cannot be read."""
        try:
            status, data = await self._client.fetch("GET", EXPERTS_PATH, [])
        except TransportError as error:
            raise EngineStateError(str(error)) from error
        if status != OK:
            raise EngineStateError(f"the engine answered {status} for its experts")
        try:
            return msgspec.json.decode(data, type=ExpertCounts)
        except msgspec.MsgspecError as error:
            raise EngineStateError(f"the report of experts is malformed: {error}") from error

    async def send(self, order: Order) -> None:
        """Send an order; an engine answers 202 when it has started a long-running one.

        Raises ``OrderNotSentError``, ``OrderRejectedError`` or ``OrderInDoubtError``.
        """
        body = msgspec.json.encode(order)
        try:
            status, data = await self._client.fetch("POST", ORDERS_PATH, JSON_HEADERS, body)
        except ConnectError as error:
            raise OrderNotSentError(str(error)) from error
        except TransportError as error:
            raise OrderInDoubtError(str(error)) from error
        if status not in (OK, ACCEPTED):
            text = data[:200].decode(errors="replace")
            raise OrderRejectedError(f"the engine answered {status}: {text}")

    async def close(self) -> None:
        """Close the connection."""
        await self._client.close()
