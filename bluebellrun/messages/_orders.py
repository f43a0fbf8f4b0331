"""Messages of the order call: one order to the engine of an agent, one reply."""

import msgspec

from bluebellrun.groups import EngineState, ExpertCounts, Order

ORDER_PATH = "/bluebellrun.Agent/Order"


class OrderRequest(msgspec.Struct, frozen=True):
    """An order for the engine of the agent that is asked; without one only its state is told.

    ``experts`` asks for the rank's report of its experts instead.
    """

    order: Order | None = None
    experts: bool = False


class OrderReply(msgspec.Struct, frozen=True):
    """The engine's state after the order, and why the order was not carried out, if so.

    ``refusal`` is the agent's, with the highest fencing number it has seen; one that is
    ``passing`` may be followed by the same order. ``failure`` is the engine's.
    """

    state: EngineState | None = None
    refusal: str = ""
    fencing: int = 0
    passing: bool = False
    failure: str = ""
    experts: ExpertCounts | None = None


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(OrderRequest)
_reply_decoder = msgspec.msgpack.Decoder(OrderReply)


def encode_order_message(message: OrderRequest | OrderReply) -> bytes:
    """Return a message of the order call as msgpack."""
    return _encoder.encode(message)


def decode_order_request(data: bytes) -> OrderRequest:
    """Read a request; raise ``msgspec.ValidationError`` if it is malformed."""
    return _request_decoder.decode(data)


def decode_order_reply(data: bytes) -> OrderReply:
    """Read a reply; raise ``msgspec.ValidationError`` if it is malformed."""
    return _reply_decoder.decode(data)
