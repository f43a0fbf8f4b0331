"""Messages of the exchange call, which carries requests and answers between entry and agent.

Each message on the call is a batch. Attempts are named by their attempt id; offsets and sizes
are in bytes, times in seconds.
"""

from typing import Any

import msgspec

from bluebellrun.http import Headers

EXCHANGE_PATH = "/bluebellrun.Agent/Exchange"


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First event of an agent: who it is and which life of the process this is.

    The agent holds at most ``window_bytes`` of an answer before the entry confirms some.
    """

    upstream: str
    incarnation: str
    draining: bool
    window_bytes: int


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """A request to run, ``age_s`` after the caller sent it and ``budget_s`` before its deadline.

    ``served_elsewhere`` is what the entry sent for the customer to other upstreams since its last
    request here, in tokens. ``may_go_elsewhere`` says that the entry can still offer the request to
    another upstream.
    """

    attempt: str
    request: str
    incarnation: str
    customer: str
    service: str
    priority: int
    method: str
    target: str
    headers: Headers
    body: bytes
    repeatable: bool
    budget_s: float
    share: float = 1.0
    model: str = ""
    idempotency_key: str = ""
    served_elsewhere: float = 0.0
    age_s: float = 0.0
    may_go_elsewhere: bool = False


class Delivered(msgspec.Struct, frozen=True, tag="delivered"):
    """The entry has the answer up to an offset; the bytes before it may be dropped."""

    attempt: str
    offset: int


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """The answer is no longer wanted."""

    attempt: str
    reason: str


class Resume(msgspec.Struct, frozen=True, tag="resume"):
    """Go on with an attempt whose link was lost, from an offset of its answer.

    ``age_s`` is at least the time since the attempt was sent. An attempt that the agent does not
    know is refused, also if it still comes.
    """

    attempt: str
    incarnation: str
    offset: int
    age_s: float


class Started(msgspec.Struct, frozen=True, tag="started"):
    """The request has been sent to the upstream; it may have run from now on."""

    attempt: str


class Head(msgspec.Struct, frozen=True, tag="head"):
    """The answer's status and headers."""

    attempt: str
    status: int
    headers: Headers


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Bytes of the answer from an offset."""

    attempt: str
    offset: int
    data: bytes


class End(msgspec.Struct, frozen=True, tag="end"):
    """The answer is complete: its length and digest."""

    attempt: str
    total: int
    digest: str


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request was not run and will not be under this attempt.

    With ``conflict`` no upstream will take it: its key was used for another request.
    """

    attempt: str
    reason: str
    retry_after_s: float | None = None
    conflict: bool = False


class Repeated(msgspec.Struct, frozen=True, tag="repeated"):
    """The request was not run: another with the same idempotency key came first.

    ``finished`` tells whether that one is known to have run; otherwise it may have.
    """

    attempt: str
    request: str
    reason: str
    finished: bool


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The request was started, and its answer cannot be completed."""

    attempt: str
    reason: str


class Load(msgspec.Struct, frozen=True, tag="load"):
    """The agent's load: work waiting and running, in requests and tokens, and the step time.

    ``waiting_before`` has a number for each urgency: how many wait before new work of it.
    """

    waiting: int
    running: int
    waiting_tokens: float
    limit: int
    step_s: float
    draining: bool
    waiting_before: tuple[int, ...] = ()


EntryEvent = Submit | Delivered | Cancel | Resume
AgentEvent = Hello | Started | Head | Chunk | End | Refused | Repeated | Failed | Load


class EntryBatch(msgspec.Struct, frozen=True):
    """Events from an entry, in order."""

    events: list[EntryEvent]


class AgentBatch(msgspec.Struct, frozen=True):
    """Events from an agent, in order."""

    events: list[AgentEvent]


_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(EntryBatch)
_agent_decoder = msgspec.msgpack.Decoder(AgentBatch)


def encode_message(message: Any) -> bytes:
    """Return a message as msgpack."""
    return _encoder.encode(message)


def decode_entry_batch(data: bytes) -> EntryBatch:
    """Read a batch from an entry; raise ``msgspec.ValidationError`` if it is malformed."""
    return _entry_decoder.decode(data)


def decode_agent_batch(data: bytes) -> AgentBatch:
    """Read a batch from an agent; raise ``msgspec.ValidationError`` if it is malformed."""
    return _agent_decoder.decode(data)
