"""Streams that outlive their connections: sent, resumed at an offset, cancelled.

``GET /v1/streams/REQUEST?offset=N`` goes on with the bytes from ``N``; ``DELETE`` cancels.
A stream that no connection reads is cancelled after a while.
"""

import hashlib
import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import curio

from bluebellrun.http import HttpExchange
from standins._serving import not_found
from standins.engine._batching import Sequence
from standins.engine._faults import EngineFaults

STREAMS_PATH = "/v1/streams/"
FOREVER_S = 3600.0
UNREAD_GRACE_S = 3.0
SWEEP_S = 0.1
DONE = b"data: [DONE]\n\n"


@dataclass(slots=True)
class AnswerRecord:
    """What the engine sent for one request."""

    runs: int = 0
    sha256: str = ""
    length: int = 0
    complete: bool = False


@dataclass(slots=True)
class Stream:
    """The bytes of one streamed answer so far, and who reads them."""

    sequence: Sequence
    record: AnswerRecord
    data: bytearray = field(default_factory=bytearray)
    events: int = 0
    ended: bool = False
    readers: int = 0
    unread_since: float = 0.0

    def extend(self) -> None:
        """Add the tokens produced since the last call, and the end after the last token."""
        while self.events < min(self.sequence.produced, self.sequence.max_tokens):
            self.data += token_event(self.sequence, self.events)
            self.events += 1
        if self.events == self.sequence.max_tokens and not self.ended:
            self.data += DONE
            self.ended = True
            self.record.sha256 = hashlib.sha256(self.data).hexdigest()
        self.record.length = len(self.data)


class StreamTable:
    """The streams of one engine by request."""

    def __init__(self, faults: EngineFaults) -> None:
        self._faults = faults
        self._streams: dict[str, Stream] = {}

    def open(self, sequence: Sequence, record: AnswerRecord) -> Stream:
        """Return a new stream."""
        stream = self._streams[sequence.request] = Stream(sequence, record)
        return stream

    async def run(self) -> None:
        """Cancel and forget streams that nobody reads, for ever."""
        while True:
            await curio.sleep(SWEEP_S)
            limit = time.monotonic() - UNREAD_GRACE_S
            for request, stream in list(self._streams.items()):
                if not stream.readers and stream.unread_since < limit:
                    stream.sequence.cancelled = True
                    del self._streams[request]

    async def handle(self, exchange: HttpExchange, request: str) -> None:
        """Resume or cancel a stream."""
        stream = self._streams.get(request)
        if stream is None:
            await not_found(exchange)
            return
        if exchange.request.method == "DELETE":
            stream.sequence.cancelled = True
            del self._streams[request]
            await exchange.answer_json(200, {})
            return
        query = parse_qs(urlsplit(exchange.request.target).query)
        await self.send(exchange, stream, int(query.get("offset", ["0"])[0]))

    async def send(self, exchange: HttpExchange, stream: Stream, offset: int) -> None:
        """Send a stream from a byte offset on."""
        stream.readers += 1
        try:
            await self._send(exchange, stream, offset)
        finally:
            stream.readers -= 1
            stream.unread_since = time.monotonic()

    async def _send(self, exchange: HttpExchange, stream: Stream, offset: int) -> None:
        """Send bytes as they are produced; faults strike this connection alone."""
        silence = self._faults.silence
        first_event = stream.events
        await exchange.send_head(200, [("content-type", "text/event-stream")])
        while True:
            stream.extend()
            if self._faults.silence != silence:
                await curio.sleep(FOREVER_S)
            breaks = self._faults.break_after
            if breaks and stream.events - first_event >= breaks and not stream.ended:
                exchange.abort()
                return
            data = bytes(stream.data[offset:])
            offset += len(data)
            await exchange.send_body(data)
            if stream.ended and offset >= len(stream.data):
                break
            await self._wait(stream.sequence, stream.events)
        await exchange.finish()
        stream.record.complete = True

    async def _wait(self, sequence: Sequence, seen: int) -> None:
        """Wait until a sequence has more tokens than were seen."""
        while sequence.produced <= seen:
            sequence.changed.clear()
            await sequence.changed.wait()


def token_event(sequence: Sequence, index: int) -> bytes:
    """Return one token as a server-sent event; the last one carries the answer's digest."""
    choice = {"index": 0, "delta": {"content": sequence.token(index)}}
    event: dict[str, object] = {"id": "cmpl", "choices": [choice]}
    if index == sequence.max_tokens - 1:
        event["answer_sha256"] = answer_digest(sequence)
    return b"data: " + json.dumps(event).encode() + b"\n\n"


def answer_digest(sequence: Sequence) -> str:
    """Return the digest of a prompt and the text that answers it."""
    text = "".join(sequence.token(index) for index in range(sequence.max_tokens))
    return hashlib.sha256(sequence.prompt + text.encode()).hexdigest()
