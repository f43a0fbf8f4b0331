"""Pass an upstream's answer on to the caller: whole, piece by piece, or event by event.

Raises what reading the answer raises (``TransportError``) and ``CallerGoneError``.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from bluebellrun.gateway._events import EventSplitter
from bluebellrun.gateway._models import UpstreamAnswer
from bluebellrun.gateway._outcomes import Done, Failed, Lost, Moved, Outcome
from bluebellrun.http import AnswerTooLongError, HttpExchange, HttpResponse, header_value

# Answers up to this size are read whole before the caller gets them, so that they can be repeated.
WHOLE_ANSWER_BYTES = 262_144
# Bytes of an answer that does not say how long it is; a longer one is taken to have no end.
MAX_UNDECLARED_BYTES = 67_108_864
# What has arrived already is read past the end of the request's time too.
LEAST_WAIT_S = 0.001

# Returns the seconds left before the request's end.
RemainingSeconds = Callable[[], float]


@dataclass(slots=True)
class StreamProgress:
    """How far a stream has been passed on, over all upstreams that it came from.

    ``last_event_at`` is a reading of the monotonic clock in seconds, 0 before the first event.
    """

    last_id: int | None = None
    last_event_at: float = 0.0


async def pass_answer(
    exchange: HttpExchange,
    answer: UpstreamAnswer,
    response: HttpResponse,
    remaining_s: RemainingSeconds,
) -> Outcome:
    """Pass on an answer: whole if it is small, else piece by piece."""
    body = bytearray()
    while piece := await response.read(remaining_s()):
        body += piece
        if len(body) > WHOLE_ANSWER_BYTES:
            return await _pass_large(exchange, answer, response, remaining_s, bytes(body))
    if answer.failed:
        return Failed(answer, bytes(body))
    await exchange.answer(answer.status, answer.headers, bytes(body))
    return Done(answer.status)


async def _pass_large(
    exchange: HttpExchange,
    answer: UpstreamAnswer,
    response: HttpResponse,
    remaining_s: RemainingSeconds,
    begun: bytes,
) -> Outcome:
    """Pass on an answer that is too large to be kept."""
    await exchange.send_head(answer.status, answer.headers)
    await exchange.send_body(begun)
    declared = header_value(response.headers, "content-length") is not None
    passed = len(begun)
    while piece := await response.read(remaining_s()):
        await exchange.send_body(piece)
        passed += len(piece)
        if not declared and passed > MAX_UNDECLARED_BYTES:
            raise AnswerTooLongError(f"an answer is over {MAX_UNDECLARED_BYTES} bytes")
    await exchange.finish()
    return Done(answer.status)


async def pass_stream(
    exchange: HttpExchange,
    answer: UpstreamAnswer,
    response: HttpResponse,
    progress: StreamProgress,
    remaining_s: RemainingSeconds,
    note_events: Callable[[float | None], None],
    leaves: Callable[[], bool],
) -> Outcome:
    """Pass on whole events as they arrive.

    ``note_events`` is told the pause before events, in seconds, or none before the first of this
    upstream. After each passing on the stream ends here if it ``leaves`` its upstream.
    """
    events = EventSplitter(progress.last_id)
    before: float | None = None
    while piece := await response.read(max(LEAST_WAIT_S, remaining_s())):
        whole = events.feed(piece)
        if whole is None:
            continue
        if not exchange.started:
            await exchange.send_head(answer.status, answer.headers)
        now = time.monotonic()
        note_events(None if before is None else now - before)
        before = progress.last_event_at = now
        progress.last_id = whole.last_id
        await exchange.send_body(whole.data)
        if leaves():
            return Moved()
    if events.partial.strip():
        return Lost("the stream ended within an event")
    if not exchange.started:
        await exchange.send_head(answer.status, answer.headers)
    await exchange.finish()
    return Done(answer.status)
