"""One attempt at the agent: from its arrival to the entry's receipt of its end."""

from enum import StrEnum

import curio

from bluebellrun.admission import Work
from bluebellrun.answers import AnswerBuffer
from bluebellrun.core import invariants
from bluebellrun.http import Headers
from bluebellrun.ledger import StoredResult
from bluebellrun.messages import (
    AgentEvent,
    Chunk,
    End,
    Failed,
    Head,
    Refused,
    Repeated,
    Started,
    Submit,
)

CHUNK_BYTES = 65_536
MAX_TAKEN_BYTES = 16_777_216


class ExecutionState(StrEnum):
    """Where an attempt stands."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"


class Execution:
    """An attempt, the bytes of its answer and what remains to be told of it."""

    def __init__(self, submit: Submit, work: Work, window_bytes: int, keep_bytes: int = 0) -> None:
        self.submit = submit
        self.work = work
        self.buffer = AnswerBuffer(window_bytes)
        self.state = ExecutionState.WAITING
        self._keep_bytes = keep_bytes
        self._kept: bytes | None = b""
        self._collected = 0
        self._sent = False
        self._detached = False
        self._head: Head | None = None
        self._ending: AgentEvent | None = None
        self._events: list[AgentEvent] = []
        self._ending_told = False
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
    def sent(self) -> bool:
        """Return whether the request may have reached the upstream."""
        return self._sent

    @property
    def collected(self) -> int:
        """Return how many bytes of the answer have come from the upstream."""
        return self._collected

    @property
    def head_known(self) -> bool:
        """Return whether the answer's head has come."""
        return self._head is not None

    @property
    def detached(self) -> bool:
        """Return whether nobody wants the answer, although the request goes on."""
        return self._detached

    @property
    def reason(self) -> str:
        """Return why the attempt was refused or failed, empty otherwise."""
        return getattr(self._ending, "reason", "")

    @property
    def settled(self) -> bool:
        """Return whether the entry has been told everything and has the whole answer."""
        if self._events or not self.ended:
            return False
        if self._detached:
            return True
        if self.state is not ExecutionState.COMPLETE:
            return self._ending_told
        return self._ending_told and self.buffer.confirmed == self.buffer.appended

    def start(self) -> None:
        """Note that the request was chosen to run."""
        self.state = ExecutionState.RUNNING

    def mark_sent(self) -> None:
        """Note that the request is being sent to the upstream."""
        running = self.state is ExecutionState.RUNNING and not self._sent
        invariants.check(running, "a request is sent once", attempt=self.attempt)
        self._sent = True
        self._events.append(Started(self.attempt))

    def head(self, status: int, headers: Headers) -> None:
        """Note the answer's head."""
        self._head = Head(self.attempt, status, headers)
        self._events.append(self._head)

    async def append(self, data: bytes) -> None:
        """Add bytes to the answer; wait while the entry has not confirmed enough."""
        self._collected += len(data)
        self._keep(data)
        view = memoryview(data)
        while view and not self._detached:
            room = self.buffer.free_capacity
            if room == 0:
                self._room.clear()
                await self._room.wait()
                continue
            self.buffer.append(bytes(view[:room]))
            view = view[room:]

    def complete(self) -> None:
        """Mark the answer whole."""
        end = self.buffer.finish()
        whole = self._detached or end.total == self._collected
        invariants.check(whole, "a complete answer has every byte", attempt=self.attempt)
        self._finish(ExecutionState.COMPLETE, End(self.attempt, end.total, end.digest))

    def refuse(self, reason: str, retry_after_s: float | None, conflict: bool = False) -> None:
        """Note that the request does not run."""
        refused = Refused(self.attempt, reason, retry_after_s, conflict)
        self._finish(ExecutionState.REFUSED, refused)

    def repeat(self, request: str, reason: str, finished: bool) -> None:
        """Note that the request does not run because another with its key came first."""
        repeated = Repeated(self.attempt, request, reason, finished)
        self._finish(ExecutionState.REFUSED, repeated)

    def fail(self, reason: str) -> None:
        """Note that the answer cannot be completed."""
        self._finish(ExecutionState.FAILED, Failed(self.attempt, reason))

    async def detach(self) -> None:
        """Let the request go on without keeping its answer."""
        self._detached = True
        await self._room.set()

    async def confirm(self, offset: int) -> None:
        """Drop what the entry has."""
        self.buffer.confirm(offset)
        await self._room.set()

    async def resume(self, offset: int) -> bool:
        """Tell everything again from an offset on; return false when bytes are gone."""
        if self._detached or not self.buffer.rewind(offset):
            return False
        await self.confirm(offset)
        self._events = [] if self._head is None else [self._head]
        self._ending_told = False
        return True

    def take_events(self, limit: int = MAX_TAKEN_BYTES) -> list[AgentEvent]:
        """Return what can be told now, with at most so many bytes of the answer.

        The ending comes after all the bytes.
        """
        events, self._events = self._events, []
        while limit > 0 and not self.buffer.all_sent:
            offset, data = self.buffer.read_unsent(min(limit, CHUNK_BYTES))
            limit -= len(data)
            events.append(Chunk(self.attempt, offset, data))
        if not self.buffer.all_sent:
            return events
        if self._ending is not None and not self._ending_told:
            self._ending_told = True
            events.append(self._ending)
        return events

    def result(self) -> StoredResult | None:
        """Return the answer if it is small enough to be kept for a repeated request."""
        if self._kept is None or self._head is None or self.state is not ExecutionState.COMPLETE:
            return None
        headers = [pair for pair in self._head.headers if pair[0] == "content-type"]
        return StoredResult(self._head.status, headers, self._kept)

    def _finish(self, state: ExecutionState, ending: AgentEvent) -> None:
        """End the attempt; it ends exactly once."""
        if not invariants.check(not self.ended, "an attempt ends once", attempt=self.attempt):
            return
        may_refuse = state is not ExecutionState.REFUSED or self._head is None
        invariants.check(may_refuse, "an answer begun is not refused", attempt=self.attempt)
        self.state = state
        self._ending = ending

    def _keep(self, data: bytes) -> None:
        """Keep a copy of a small answer."""
        if self._kept is None:
            return
        small = self._collected <= self._keep_bytes
        self._kept = self._kept + data if small else None
