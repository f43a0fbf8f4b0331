"""The question what became of an attempt, asked on a connection of its own."""

from enum import StrEnum

import msgspec

FATE_PATH = "/bluebellrun.Agent/Fate"


class Fate(StrEnum):
    """What became of an attempt."""

    NOT_RUN = "not_run"
    WAITING = "waiting"
    RUNNING = "running"
    RAN = "ran"
    UNKNOWN = "unknown"


class FateQuery(msgspec.Struct, frozen=True):
    """Ask for the fate of an attempt.

    ``age_s`` is at least the time since the attempt was sent. With ``withdraw`` an attempt that
    has not begun never will. An attempt that the agent never saw is refused if it still comes.
    """

    attempt: str
    incarnation: str
    age_s: float
    withdraw: bool = False


class FateAnswer(msgspec.Struct, frozen=True):
    """The fate of an attempt, and why."""

    fate: Fate
    reason: str


_query_decoder = msgspec.msgpack.Decoder(FateQuery)
_answer_decoder = msgspec.msgpack.Decoder(FateAnswer)


def decode_fate_query(data: bytes) -> FateQuery:
    """Read a question; raise ``msgspec.ValidationError`` if it is malformed."""
    return _query_decoder.decode(data)


def decode_fate_answer(data: bytes) -> FateAnswer:
    """Read an answer; raise ``msgspec.ValidationError`` if it is malformed."""
    return _answer_decoder.decode(data)
