"""Relay an answer to the caller, in order and exactly once, and verify that it is complete."""

import json

from bluebellrun.answers import AnswerAssembly, AnswerGapError, EndMark
from bluebellrun.core import AlreadyRan, NotRun, Outcome, Ran, Unknown, invariants
from bluebellrun.entry._callers import CallerRequest
from bluebellrun.entry._channel import AgentChannel, AttemptInbox
from bluebellrun.http import (
    Headers,
    HttpExchange,
    end_to_end,
    header_value,
)
from bluebellrun.messages import (
    AgentEvent,
    Chunk,
    End,
    Failed,
    Head,
    Refused,
    Repeated,
    Started,
)

EVENT_STREAM = "text/event-stream"
CONFIRMS_PER_WINDOW = 4
REPEATED_RETRY_AFTER_S = 1.0


class AnswerRelay:
    """Relay the answer of one attempt to the caller."""

    def __init__(
        self,
        exchange: HttpExchange,
        request: CallerRequest,
        channel: AgentChannel,
        attempt: str,
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._channel = channel
        self._attempt = attempt
        self._confirm_interval_bytes = max(1, channel.window_bytes // CONFIRMS_PER_WINDOW)
        self._assembly = AnswerAssembly()
        self._confirmed = 0
        self._headers: Headers = []

    @property
    def offset(self) -> int:
        """Return how many bytes of the answer have been relayed."""
        return self._assembly.offset

    async def run(self, inbox: AttemptInbox) -> Outcome:
        """Relay events until the attempt ends; return its outcome.

        Raises ``LinkLostError`` when the link is lost; call it again with the inbox of the
        resumed attempt.
        """
        while True:
            outcome = await self._handle_event(await inbox.next())
            if outcome is not None:
                return outcome

    async def _handle_event(self, event: AgentEvent) -> Outcome | None:
        """Handle one event; return the outcome if it ends the attempt."""
        match event:
            case Started():
                return None
            case Head():
                await self._send_head(event)
                return None
            case Chunk():
                return await self._forward_chunk(event)
            case End():
                return await self._finish(EndMark(event.total, event.digest))
            case Refused():
                no_answer = self._assembly.offset == 0
                invariants.check(no_answer, "no answer of a refused attempt", attempt=self._attempt)
                return NotRun(event.reason, event.retry_after_s, event.conflict)
            case Repeated():
                return _outcome_of_repeated(event)
            case Failed():
                return Unknown(event.reason)
        return None

    async def _send_head(self, event: Head) -> None:
        """Send the answer's head to the caller, once; a resumed attempt repeats it."""
        if self._headers:
            return
        self._headers = [
            *end_to_end([(k, v) for k, v in event.headers if k != "request-id"]),
            ("request-id", self._request.request_id),
        ]
        await self._exchange.send_head(event.status, self._headers)

    async def _forward_chunk(self, event: Chunk) -> Outcome | None:
        """Send new bytes to the caller; confirm them to the agent once enough have been sent."""
        try:
            new_bytes = self._assembly.accept(event.offset, event.data)
        except AnswerGapError as gap:
            return Unknown(f"a part of the answer is missing: {gap}")
        await self._exchange.send_body(new_bytes)
        if self._assembly.offset - self._confirmed >= self._confirm_interval_bytes:
            await self._confirm()
        return None

    async def _finish(self, end: EndMark) -> Outcome:
        """Finish the answer if it matches its end mark."""
        complete = self._assembly.finish(end)
        invariants.check(complete, "a finished answer is whole", attempt=self._attempt)
        if not complete:
            return Unknown("the answer does not match its end mark")
        await self._confirm()
        await self._exchange.finish()
        return Ran()

    async def _confirm(self) -> None:
        """Confirm all relayed bytes to the agent."""
        self._confirmed = self._assembly.offset
        await self._channel.confirm(self._attempt, self._confirmed)

    async def abort_answer(self, reason: str) -> None:
        """Abort an answer that cannot be completed, so that the caller sees it as incomplete.

        An event stream gets an error event first.
        """
        content_type = header_value(self._headers, "content-type") or ""
        if content_type.startswith(EVENT_STREAM):
            error = {"error": {"message": reason, "type": "unknown", "outcome": "unknown"}}
            event = f"event: error\ndata: {json.dumps(error)}\n\n"
            await self._exchange.send_body(event.encode())
        self._exchange.abort()


def _outcome_of_repeated(event: Repeated) -> Outcome:
    """Return the outcome of a request whose idempotency key was used before."""
    if event.finished:
        return AlreadyRan(event.request, event.reason)
    return Unknown(event.reason, REPEATED_RETRY_AFTER_S)
