"""Messages of the fate call, which asks whether an attempt ran, on a separate connection."""

from enum import StrEnum

import msgspec

FATE_PATH = "/bluebellrun.Agent/Fate"


class Fate(StrEnum):
    """Whether an attempt ran."""

    NOT_RUN = "not_run"
    WAITING = "waiting"
    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"


class FateQuery(msgspec.Struct, frozen=True):
    """Requests the fate of an attempt.

    ``age_s`` is at least the time since the attempt was sent. Another host cannot measure this
    with its own clock; it sets ``claimed_ms``, the time at which this agent claimed the attempt's
    key, in milliseconds since the epoch by the agent's clock. With ``withdraw``, an attempt that
    has not started is never started. An attempt that the agent has not seen is refused if it
    arrives later.
    """

    attempt: str
    incarnation: str
    age_s: float
    withdraw: bool = False
    claimed_ms: int = 0


class FateAnswer(msgspec.Struct, frozen=True):
    """The fate of an attempt and the reason for it."""

    fate: Fate
    reason: str


_fate_query_decoder = msgspec.msgpack.Decoder(FateQuery)
_fate_answer_decoder = msgspec.msgpack.Decoder(FateAnswer)


def decode_fate_query(data: bytes) -> FateQuery:
    """Decode a fate query; raise ``msgspec.ValidationError`` if it is malformed."""
    return _fate_query_decoder.decode(data)


def decode_fate_answer(data: bytes) -> FateAnswer:
    """Decode a fate answer; raise ``msgspec.ValidationError`` if it is malformed."""
    return _fate_answer_decoder.decode(data)
