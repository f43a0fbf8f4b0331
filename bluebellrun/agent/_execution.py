"""One attempt at the agent, from its arrival until the entry has received its end."""

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
MAX_COLLECTED_BYTES = 16_777_216


class ExecutionState(StrEnum):
    """The state of an attempt."""

    WAITING = "waiting"
    RUNNING = "running"
    COMPLETE = "complete"
    REFUSED = "refused"
    FAILED = "failed"


class Execution:
    """An attempt, its buffered answer and the events not yet sent to the entry."""

    def __init__(
        self, submit: Submit, work: Work, window_bytes: int, max_result_bytes: int = 0
    ) -> None:
        self.submit = submit
        self.work = work
        self.buffer = AnswerBuffer(window_bytes)
        self.state = ExecutionState.WAITING
        self._max_result_bytes = max_result_bytes
        self._result_body: bytes | None = b""
        self._received_bytes = 0
        self._sent = False
        self._detached = False
        self._head: Head | None = None
        self._ending: AgentEvent | None = None
        self._events: list[AgentEvent] = []
        self._ending_reported = False
        self._capacity_available = curio.Event()

    @property
    def attempt(self) -> str:
        """Return the attempt's id."""
        return self.submit.attempt

    @property
    def ended(self) -> bool:
        """Return whether the attempt has ended."""
        return self.state not in (ExecutionState.WAITING, ExecutionState.RUNNING)

    @property
    def sent(self) -> bool:
        """Return whether the request may have reached the upstream."""
        return self._sent

    @property
    def received_bytes(self) -> int:
        """Return how many bytes of the answer the upstream has sent."""
        return self._received_bytes

    @property
    def head_received(self) -> bool:
        """Return whether the answer's head has been received."""
        return self._head is not None

    @property
    def detached(self) -> bool:
        """Return whether the request continues although its answer is discarded."""
        return self._detached

    @property
    def reason(self) -> str:
        """Return why the attempt was refused or failed, or an empty string."""
        return getattr(self._ending, "reason", "")

    @property
    def settled(self) -> bool:
        """Return whether the entry has received all events and the complete answer."""
        if self._events or not self.ended:
            return False
        if self._detached:
            return True
        if self.state is not ExecutionState.COMPLETE:
            return self._ending_reported
        return self._ending_reported and self.buffer.confirmed == self.buffer.appended

    def start(self) -> None:
        """Record that admission has started the request."""
        self.state = ExecutionState.RUNNING

    def mark_sent(self) -> None:
        """Record that the request is being sent to the upstream."""
        running = self.state is ExecutionState.RUNNING and not self._sent
        invariants.check(running, "a request is sent once", attempt=self.attempt)
        self._sent = True
        self._events.append(Started(self.attempt))

    def record_head(self, status: int, headers: Headers) -> None:
        """Record the answer's head."""
        self._head = Head(self.attempt, status, headers)
        self._events.append(self._head)

    async def append(self, data: bytes) -> None:
        """Append bytes to the answer; block while the window of unconfirmed bytes is full."""
        self._received_bytes += len(data)
        self._collect_result(data)
        view = memoryview(data)
        while view and not self._detached:
            capacity = self.buffer.free_capacity
            if capacity == 0:
                self._capacity_available.clear()
                await self._capacity_available.wait()
                continue
            self.buffer.append(bytes(view[:capacity]))
            view = view[capacity:]

    def complete(self) -> None:
        """Mark the answer as complete."""
        end = self.buffer.finish()
        has_all_bytes = self._detached or end.total == self._received_bytes
        invariants.check(has_all_bytes, "a complete answer has every byte", attempt=self.attempt)
        self._finish(ExecutionState.COMPLETE, End(self.attempt, end.total, end.digest))

    def refuse(self, reason: str, retry_after_s: float | None, conflict: bool = False) -> None:
        """End the attempt as not run."""
        refused = Refused(self.attempt, reason, retry_after_s, conflict)
        self._finish(ExecutionState.REFUSED, refused)

    def refuse_repeated(self, request: str, reason: str, finished: bool) -> None:
        """End the attempt as not run because of an earlier request with the same key."""
        repeated = Repeated(self.attempt, request, reason, finished)
        self._finish(ExecutionState.REFUSED, repeated)

    def fail(self, reason: str) -> None:
        """End the attempt with an answer that cannot be completed."""
        self._finish(ExecutionState.FAILED, Failed(self.attempt, reason))

    async def detach(self) -> None:
        """Let the request continue while its answer is discarded."""
        self._detached = True
        await self._capacity_available.set()

    async def confirm(self, offset: int) -> None:
        """Drop the bytes up to ``offset``, which the entry has received."""
        self.buffer.confirm(offset)
        await self._capacity_available.set()

    async def resume(self, offset: int) -> bool:
        """Resend from an offset; return false if detached or if bytes after it were dropped."""
        if self._detached or not self.buffer.rewind(offset):
            return False
        await self.confirm(offset)
        self._events = [] if self._head is None else [self._head]
        self._ending_reported = False
        return True

    def collect_events(self, limit: int = MAX_COLLECTED_BYTES) -> list[AgentEvent]:
        """Return the pending events, with at most ``limit`` bytes of the answer.

        The ending follows the last byte.
        """
        events, self._events = self._events, []
        while limit > 0 and not self.buffer.all_sent:
            offset, data = self.buffer.read_unsent(min(limit, CHUNK_BYTES))
            limit -= len(data)
            events.append(Chunk(self.attempt, offset, data))
        if not self.buffer.all_sent:
            return events
        if self._ending is not None and not self._ending_reported:
            self._ending_reported = True
            events.append(self._ending)
        return events

    def result(self) -> StoredResult | None:
        """Return the answer if it is small enough to be stored for repeated requests."""
        if (
            self._result_body is None
            or self._head is None
            or self.state is not ExecutionState.COMPLETE
        ):
            return None
        headers = [pair for pair in self._head.headers if pair[0] == "content-type"]
        return StoredResult(self._head.status, headers, self._result_body)

    def _finish(self, state: ExecutionState, ending: AgentEvent) -> None:
        """End the attempt; an attempt ends exactly once."""
        if not invariants.check(not self.ended, "an attempt ends once", attempt=self.attempt):
            return
        may_refuse = state is not ExecutionState.REFUSED or self._head is None
        invariants.check(may_refuse, "an answer begun is not refused", attempt=self.attempt)
        self.state = state
        self._ending = ending

    def _collect_result(self, data: bytes) -> None:
        """Copy the answer's bytes while it is small enough to be stored."""
        if self._result_body is None:
            return
        small = self._received_bytes <= self._max_result_bytes
        self._result_body = self._result_body + data if small else None
