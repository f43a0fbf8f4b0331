"""Forward an upstream's answer to the caller: complete, in chunks, or event by event.

Raises what reading the answer raises (``TransportError``) and ``CallerGoneError``.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from bluebellrun.gateway._events import EventSplitter
from bluebellrun.gateway._models import UpstreamAnswer
from bluebellrun.gateway._outcomes import Done, Failed, Lost, Moved, Outcome
from bluebellrun.http import AnswerTooLongError, HttpExchange, HttpResponse, header_value

# Answers up to this size are buffered before the caller gets them, so that a retry is possible.
MAX_BUFFERED_BYTES = 262_144
# Limit of an answer without a declared length; a longer one is assumed to be endless.
MAX_UNDECLARED_BYTES = 67_108_864
# Minimum read timeout: data that has already arrived is read after the deadline too.
MIN_READ_TIMEOUT_S = 0.001

# Returns the seconds left before the request's end.
RemainingSeconds = Callable[[], float]


@dataclass(slots=True)
class StreamProgress:
    """How far a stream has been forwarded, over all upstreams that served it.

    ``last_event_at`` is a reading of the monotonic clock in seconds, 0 before the first event.
    """

    last_id: int | None = None
    last_event_at: float = 0.0


async def forward_answer(
    exchange: HttpExchange,
    answer: UpstreamAnswer,
    response: HttpResponse,
    remaining_s: RemainingSeconds,
) -> Outcome:
    """Forward an answer: complete if it is small and there is memory for it, else in chunks."""
    body = bytearray()
    while chunk := await response.read(remaining_s()):
        body += chunk
        if len(body) > MAX_BUFFERED_BYTES or not exchange.collect(len(body)):
            return await _forward_large(exchange, answer, response, remaining_s, bytes(body))
    if answer.failed:
        return Failed(answer, bytes(body))
    await exchange.answer(answer.status, answer.headers, bytes(body))
    return Done(answer.status)


async def _forward_large(
    exchange: HttpExchange,
    answer: UpstreamAnswer,
    response: HttpResponse,
    remaining_s: RemainingSeconds,
    buffered: bytes,
) -> Outcome:
    """Forward an answer that is too large to buffer."""
    await exchange.send_head(answer.status, answer.headers)
    await exchange.send_body(buffered)
    declared = header_value(response.headers, "content-length") is not None
    forwarded = len(buffered)
    while chunk := await response.read(remaining_s()):
        await exchange.send_body(chunk)
        forwarded += len(chunk)
        if not declared and forwarded > MAX_UNDECLARED_BYTES:
            raise AnswerTooLongError(f"an answer is over {MAX_UNDECLARED_BYTES} bytes")
    await exchange.finish()
    return Done(answer.status)


async def forward_stream(
    exchange: HttpExchange,
    answer: UpstreamAnswer,
    response: HttpResponse,
    progress: StreamProgress,
    remaining_s: RemainingSeconds,
    record_events: Callable[[float | None], None],
    should_move: Callable[[], bool],
) -> Outcome:
    """Forward complete events as they arrive.

    ``record_events`` is called with the pause before events, in seconds, or none before the first
    of this upstream. After each forwarded batch the stream ends here if ``should_move()``.
    """
    events = EventSplitter(progress.last_id)
    before: float | None = None
    while chunk := await response.read(max(MIN_READ_TIMEOUT_S, remaining_s())):
        complete = events.feed(chunk)
        if complete is None:
            continue
        if not exchange.started:
            await exchange.send_head(answer.status, answer.headers)
        now = time.monotonic()
        record_events(None if before is None else now - before)
        before = progress.last_event_at = now
        progress.last_id = complete.last_id
        await exchange.send_body(complete.data)
        if should_move():
            return Moved()
    if events.partial.strip():
        return Lost("the stream ended within an event", response.ends_by_close)
    if before is None and response.ends_by_close:
        return Lost("closed before the first event", ended_by_peer=True)
    if not exchange.started:
        await exchange.send_head(answer.status, answer.headers)
    await exchange.finish()
    return Done(answer.status)
