"""Messages of the order call: one order to an agent's engine, and the reply."""

import msgspec

from bluebellrun.groups import EngineState, ExpertCounts, Order

ORDER_PATH = "/bluebellrun.Agent/Order"


class OrderRequest(msgspec.Struct, frozen=True):
    """An order for the engine of the called agent; without one, requests only its state.

    With ``experts``, requests the rank's expert counts instead.
    """

    order: Order | None = None
    experts: bool = False


class OrderReply(msgspec.Struct, frozen=True):
    """The engine's state after the order, and the reason if the order was not carried out.

    ``refusal`` is the agent's reason; ``fencing`` is the highest fencing number it has seen. If
    ``passing`` is set, the refusal is temporary and the same order may be sent again. ``failure``
    is the engine's reason.
    """

    state: EngineState | None = None
    refusal: str = ""
    fencing: int = 0
    passing: bool = False
    failure: str = ""
    experts: ExpertCounts | None = None


_encoder = msgspec.msgpack.Encoder()
_order_request_decoder = msgspec.msgpack.Decoder(OrderRequest)
_order_reply_decoder = msgspec.msgpack.Decoder(OrderReply)


def encode_order_message(message: OrderRequest | OrderReply) -> bytes:
    """Encode a message of the order call as MessagePack."""
    return _encoder.encode(message)


def decode_order_request(data: bytes) -> OrderRequest:
    """Decode a request; raise ``msgspec.ValidationError`` if it is malformed."""
    return _order_request_decoder.decode(data)


def decode_order_reply(data: bytes) -> OrderReply:
    """Decode a reply; raise ``msgspec.ValidationError`` if it is malformed."""
    return _order_reply_decoder.decode(data)
