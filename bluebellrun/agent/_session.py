"""One entry's exchange call at the agent: receives requests and sends answers."""

from typing import TYPE_CHECKING

import msgspec

from bluebellrun.agent._execution import Execution
from bluebellrun.messages import (
    AgentBatch,
    AgentEvent,
    BatchSender,
    Cancel,
    Chunk,
    Delivered,
    EntryEvent,
    Failed,
    Fate,
    FateAnswer,
    Load,
    Refused,
    Resume,
    Submit,
    decode_entry_batch,
)
from bluebellrun.runtime import spawn_background
from bluebellrun.transport import Call, CallError, LinkLostError

if TYPE_CHECKING:
    from bluebellrun.agent._agent import Agent

STATUS_INVALID_ARGUMENT = 3
MAX_BATCH_BYTES = 1_048_576


class Session:
    """Serve one exchange call."""

    def __init__(self, agent: "Agent", call: Call, flush_interval_s: float) -> None:
        self._agent = agent
        self._call = call
        self._executions: dict[str, Execution] = {}
        self._sender: BatchSender[AgentEvent] = BatchSender(
            call, AgentBatch, flush_interval_s, self._collect, self._has_more
        )
        self._last_load: Load | None = None
        self._batch_full = False

    async def run(self) -> None:
        """Exchange events until the entry ends the call or the link is lost."""
        sender = await spawn_background(self._send)
        try:
            await self.send_event(self._agent.hello())
            await self._receive()
        except msgspec.ValidationError as error:
            raise CallError(STATUS_INVALID_ARGUMENT, str(error)) from error
        finally:
            await sender.cancel(blocking=False)
            self._agent.keep_for_resume(list(self._executions.values()))

    def release_attempt(self, attempt: str) -> None:
        """Stop serving an attempt that another session has resumed."""
        self._executions.pop(attempt, None)

    async def send_event(self, event: AgentEvent) -> None:
        """Send an event that belongs to no attempt."""
        await self._sender.post(event)

    async def wake(self) -> None:
        """Send the pending events of the executions."""
        await self._sender.wake()

    async def _send(self) -> None:
        """Run the sender until the link is lost."""
        try:
            await self._sender.run()
        except LinkLostError:
            return

    async def _receive(self) -> None:
        """Handle the entry's events in order."""
        while (message := await self._call.receive()) is not None:
            for event in decode_entry_batch(message).events:
                await self._handle_event(event)

    async def _handle_event(self, event: EntryEvent) -> None:
        """Handle one event."""
        match event:
            case Submit():
                execution = await self._agent.submit(event, self)
                if execution is not None:
                    self._executions[event.attempt] = execution
                    await self._sender.wake()
            case Resume():
                await self._resume(event)
            case Delivered():
                if (known := self._executions.get(event.attempt)) is not None:
                    await known.confirm(event.offset)
                    self._drop_settled(known)
            case Cancel():
                if (known := self._executions.get(event.attempt)) is not None:
                    await self._agent.cancel(known, event.reason)

    async def _resume(self, event: Resume) -> None:
        """Resume an attempt of a lost link, or report its fate."""
        resumed = await self._agent.resume(event, self)
        match resumed:
            case Execution():
                self._executions[event.attempt] = resumed
                await self._sender.wake()
            case FateAnswer(fate=Fate.NOT_RUN):
                await self._sender.post(Refused(event.attempt, resumed.reason))
            case FateAnswer(fate=Fate.RAN):
                await self._sender.post(Failed(event.attempt, "it ran; its answer is gone"))
            case FateAnswer():
                await self._sender.post(Failed(event.attempt, resumed.reason))

    def _collect(self) -> list[AgentEvent]:
        """Return the pending events up to ``MAX_BATCH_BYTES`` of answers, and the load.

        The load is left out when it has not changed and there are no other events.
        """
        events: list[AgentEvent] = []
        remaining_bytes = MAX_BATCH_BYTES
        for execution in list(self._executions.values()):
            if remaining_bytes <= 0:
                break
            new_events = execution.collect_events(remaining_bytes)
            remaining_bytes -= sum(
                len(event.data) for event in new_events if isinstance(event, Chunk)
            )
            events += new_events
            self._drop_settled(execution)
        self._batch_full = remaining_bytes <= 0
        load = self._agent.load()
        if events or load != self._last_load:
            self._last_load = load
            events.append(load)
        return events

    def _has_more(self) -> bool:
        """Return whether the last batch was full, so that more events may be pending."""
        return self._batch_full

    def _drop_settled(self, execution: Execution) -> None:
        """Remove an attempt once the entry has received everything."""
        if execution.settled:
            self._executions.pop(execution.attempt, None)
            self._agent.forget(execution)
