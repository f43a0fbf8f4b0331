"""Messages of the exchange call, which carries requests and answers between entry and agent.

Each message on the call is a batch of events. ``attempt`` is an attempt id; offsets and sizes
are in bytes, times in seconds.
"""

from typing import Any

import msgspec

from bluebellrun.http import Headers

EXCHANGE_PATH = "/bluebellrun.Agent/Exchange"


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """First event of an agent: its upstream and process incarnation.

    The agent buffers at most ``window_bytes`` of an answer that the entry has not acknowledged.
    """

    upstream: str
    incarnation: str
    draining: bool
    window_bytes: int


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """A request to run, ``age_s`` after the caller sent it and ``budget_s`` before its deadline.

    ``served_elsewhere`` counts the tokens that the entry sent to other upstreams for this customer
    since the customer's last request here. ``may_go_elsewhere`` means that the entry can still try
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
    """Acknowledges the answer up to an offset; the agent may drop the bytes before it."""

    attempt: str
    offset: int


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels an attempt whose answer is no longer needed."""

    attempt: str
    reason: str


class Resume(msgspec.Struct, frozen=True, tag="resume"):
    """Resumes an attempt after its link was lost, from an offset of its answer.

    ``age_s`` is at least the time since the attempt was sent. If the agent does not know the
    attempt, it refuses it, even if its ``Submit`` arrives later.
    """

    attempt: str
    incarnation: str
    offset: int
    age_s: float


class Started(msgspec.Struct, frozen=True, tag="started"):
    """The request was sent to the upstream; from now on it may have run."""

    attempt: str


class Head(msgspec.Struct, frozen=True, tag="head"):
    """The answer's status and headers."""

    attempt: str
    status: int
    headers: Headers


class Chunk(msgspec.Struct, frozen=True, tag="chunk"):
    """Bytes of the answer, starting at an offset."""

    attempt: str
    offset: int
    data: bytes


class End(msgspec.Struct, frozen=True, tag="end"):
    """End of a complete answer, with its length and digest."""

    attempt: str
    total: int
    digest: str


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request did not run and will not run under this attempt.

    With ``conflict`` every upstream refuses it: its idempotency key was used for a different
    request.
    """

    attempt: str
    reason: str
    retry_after_s: float | None = None
    conflict: bool = False


class Repeated(msgspec.Struct, frozen=True, tag="repeated"):
    """The request did not run: an earlier one used the same idempotency key.

    ``finished`` is true if the earlier request is known to have run; otherwise it may have.
    """

    attempt: str
    request: str
    reason: str
    finished: bool


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The request was started, but its answer cannot be completed."""

    attempt: str
    reason: str


class Load(msgspec.Struct, frozen=True, tag="load"):
    """The agent's load: waiting and running work, in requests and tokens, and the step time.

    ``waiting_before`` holds, per urgency, the number of requests queued ahead of a new one.
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
_entry_batch_decoder = msgspec.msgpack.Decoder(EntryBatch)
_agent_batch_decoder = msgspec.msgpack.Decoder(AgentBatch)


def encode_message(message: Any) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode_entry_batch(data: bytes) -> EntryBatch:
    """Decode a batch from an entry; raise ``msgspec.ValidationError`` if it is malformed."""
    return _entry_batch_decoder.decode(data)


def decode_agent_batch(data: bytes) -> AgentBatch:
    """Decode a batch from an agent; raise ``msgspec.ValidationError`` if it is malformed."""
    return _agent_batch_decoder.decode(data)
