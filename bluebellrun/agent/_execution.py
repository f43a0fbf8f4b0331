"""One attempt at the agent: from its arrival to the entry's receipt of its end."""

from enum import StrEnum

import curio

from bluebellrun.admission import Work
from bluebellrun.answers import AnswerBuffer
from bluebellrun.messages import (
    AgentEvent,
    Chunk,
    End,
    Failed,
    Head,
    Refused,
    Started,
    Submit,
)
from bluebellrun.transport import Headers

CHUNK_BYTES = 65_536


class ExecutionState(StrEnum):
    """Where an attempt stands."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"


class Execution:
    """An attempt, the bytes of its answer and what remains to be told of it."""

    def __init__(self, submit: Submit, work: Work, window_bytes: int) -> None:
        self.submit = submit
        self.work = work
        self.buffer = AnswerBuffer(window_bytes)
        self.state = ExecutionState.WAITING
        self._events: list[AgentEvent] = []
        self._end_told = False
        self._room = curio.Event()

    @property
    def attempt(self) -> str:
        """Return the attempt's id."""
        return self.submit.attempt

    @property
    def ended(self) -> bool:
        """Return whether nothing more will be added."""
        return self.state not in (ExecutionState.WAITING, ExecutionState.RUNNING)

    @property
    def settled(self) -> bool:
        """Return whether the entry has been told everything and has the whole answer."""
        if self._events or not self.ended:
            return False
        if self.state is not ExecutionState.COMPLETE:
            return True
        return self._end_told and self.buffer.confirmed == self.buffer.appended

    def start(self) -> None:
        """Note that the request is being sent to the upstream."""
        self.state = ExecutionState.RUNNING
        self._events.append(Started(self.attempt))

    def head(self, status: int, headers: Headers) -> None:
        """Note the answer's head."""
        self._events.append(Head(self.attempt, status, headers))

    async def append(self, data: bytes) -> None:
        """Add bytes to the answer; wait while the entry has not confirmed enough."""
        view = memoryview(data)
        while view:
            room = self.buffer.room
            if room == 0:
                self._room.clear()
                await self._room.wait()
                continue
            self.buffer.append(bytes(view[:room]))
            view = view[room:]

    def complete(self) -> None:
        """Mark the answer whole."""
        self.buffer.finish()
        self.state = ExecutionState.COMPLETE

    def refuse(self, reason: str, retry_after_s: float | None) -> None:
        """Note that the request does not run."""
        self.state = ExecutionState.REFUSED
        self._events.append(Refused(self.attempt, reason, retry_after_s))

    def fail(self, reason: str) -> None:
        """Note that the answer cannot be completed."""
        self.state = ExecutionState.FAILED
        self._events.append(Failed(self.attempt, reason))

    async def confirm(self, offset: int) -> None:
        """Drop what the entry has."""
        self.buffer.confirm(offset)
        await self._room.set()

    def take_events(self) -> list[AgentEvent]:
        """Return what can be told now; failures come after the bytes before them."""
        events, self._events = self._events, []
        last: list[AgentEvent] = []
        if events and isinstance(events[-1], Failed):
            last = [events.pop()]
        while not self.buffer.exhausted:
            offset, data = self.buffer.take(CHUNK_BYTES)
            events.append(Chunk(self.attempt, offset, data))
        end = self.buffer.end
        if end is not None and not self._end_told:
            self._end_told = True
            events.append(End(self.attempt, end.total, end.digest))
        return events + last
