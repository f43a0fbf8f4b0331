"""The entry's end of the exchange call with an agent."""

from collections import deque

import curio
import msgspec

from bluebellrun.core import Clock
from bluebellrun.http import ConnectError
from bluebellrun.messages import (
    EXCHANGE_PATH,
    AgentEvent,
    BatchSender,
    Cancel,
    Delivered,
    EntryBatch,
    EntryEvent,
    Hello,
    Load,
    Resume,
    Submit,
    decode_agent_batch,
)
from bluebellrun.routing import UpstreamLoad
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import get_logger
from bluebellrun.transport import (
    Call,
    CallError,
    Link,
    LinkLostError,
    LinkTiming,
    dial,
)
from bluebellrun.upstreams import Upstream

_log = get_logger("entry.channel")


class AttemptInbox:
    """Queue of one attempt's events, in order of arrival."""

    def __init__(self) -> None:
        self._events: deque[AgentEvent] = deque()
        self._arrived = curio.Event()
        self._link_error: LinkLostError | None = None

    async def put(self, event: AgentEvent) -> None:
        """Add an event."""
        self._events.append(event)
        await self._arrived.set()

    async def fail(self, error: LinkLostError) -> None:
        """Record the error to raise once the queued events have been read."""
        self._link_error = error
        await self._arrived.set()

    async def next(self) -> AgentEvent:
        """Return the next event; raise ``LinkLostError`` once the link is lost and none is left."""
        while not self._events:
            if self._link_error is not None:
                raise self._link_error
            self._arrived.clear()
            await self._arrived.wait()
        return self._events.popleft()


class _Connection:
    """A link to an agent, its exchange call and the attempts that run over it."""

    def __init__(self, link: Link, call: Call, flush_interval_s: float) -> None:
        self.link = link
        self.call = call
        self.sender: BatchSender[EntryEvent] = BatchSender(call, EntryBatch, flush_interval_s)
        self.inboxes: dict[str, AttemptInbox] = {}
        self.hello: Hello | None = None
        self.hello_received = curio.Event()

    async def run_sender(self) -> None:
        """Send events until the link is lost."""
        try:
            await self.sender.run()
        except LinkLostError:
            return

    async def close_with_error(self, error: LinkLostError) -> None:
        """Close the link and fail the inboxes of its attempts."""
        await self.link.close()
        inboxes, self.inboxes = self.inboxes, {}
        for inbox in inboxes.values():
            await inbox.fail(error)
        await self.hello_received.set()


class AgentChannel:
    """Exchange requests and answers with one agent, over one link at a time."""

    def __init__(
        self, upstream: Upstream, timing: LinkTiming, flush_interval_s: float, clock: Clock
    ) -> None:
        self._upstream = upstream
        self._timing = timing
        self._flush_interval_s = flush_interval_s
        self._clock = clock
        self._connection: _Connection | None = None
        self._connect_lock = curio.Lock()
        self._window_bytes = 1
        self._load = UpstreamLoad()
        self._draining = False

    @property
    def upstream(self) -> Upstream:
        """Return the upstream."""
        return self._upstream

    @property
    def in_flight(self) -> int:
        """Return how many attempts are open."""
        return 0 if self._connection is None else len(self._connection.inboxes)

    @property
    def window_bytes(self) -> int:
        """Return how many unconfirmed bytes of an answer the agent buffers."""
        return self._window_bytes

    @property
    def load(self) -> UpstreamLoad:
        """Return the load that the agent last reported."""
        return self._load

    @property
    def draining(self) -> bool:
        """Return whether the agent reported, over the current link, that it accepts no new work."""
        return self._draining

    def update(self, upstream: Upstream) -> None:
        """Apply a changed declaration of the same upstream."""
        self._upstream = upstream

    async def ensure_connected(self) -> str:
        """Connect unless a link is open; return the agent's incarnation.

        Raises ``ConnectError`` on failure or timeout; nothing has been sent then.
        """
        async with self._connect_lock:
            connection = self._connection
            if connection is None or connection.link.closed:
                connection = self._connection = await self._connect()
            assert connection.hello is not None
            return connection.hello.incarnation

    async def submit(self, message: Submit) -> AttemptInbox:
        """Send a request; return the inbox that receives its events.

        Raises ``LinkLostError`` when there is no link; nothing has been sent then.
        """
        return await self._post(message)

    async def resume(self, message: Resume) -> AttemptInbox:
        """Resume an attempt whose link was lost; raise ``LinkLostError`` if there is no link."""
        return await self._post(message)

    async def confirm(self, attempt: str, offset: int) -> None:
        """Confirm to the agent the bytes of an answer that have reached the caller."""
        if self._connection is not None:
            await self._connection.sender.post(Delivered(attempt, offset))

    async def close_attempt(self, attempt: str, cancel_reason: str | None) -> None:
        """Close an attempt; cancel it at the agent if a reason is given."""
        connection = self._connection
        if connection is None or connection.inboxes.pop(attempt, None) is None:
            return
        if cancel_reason is not None:
            await connection.sender.post(Cancel(attempt, cancel_reason))

    async def close(self) -> None:
        """Close the link."""
        if self._connection is not None:
            await self._connection.link.close()

    async def _post(self, message: Submit | Resume) -> AttemptInbox:
        """Open an inbox for the message's attempt and send the message."""
        connection = self._connection
        if connection is None or connection.link.closed:
            raise LinkLostError("there is no link")
        inbox = connection.inboxes[message.attempt] = AttemptInbox()
        await connection.sender.post(message)
        return inbox

    async def _connect(self) -> _Connection:
        """Open a link and wait for the agent's ``Hello``."""
        link = await dial(self._upstream.agent, self._timing)
        try:
            connection = _Connection(link, await link.call(EXCHANGE_PATH), self._flush_interval_s)
            await spawn_background(connection.run_sender)
            await spawn_background(self._receive, connection)
            async with curio.timeout_after(self._timing.connect_s):
                await connection.hello_received.wait()
        except LinkLostError as error:
            await link.close()
            raise ConnectError(f"no greeting from {self._upstream.name}: {error}") from None
        except curio.TaskTimeout:
            await link.close()
            raise ConnectError(f"no greeting from {self._upstream.name} in time") from None
        if link.closed:
            raise ConnectError(f"{self._upstream.name} closed the link at once")
        return connection

    async def _receive(self, connection: _Connection) -> None:
        """Dispatch received events until the link is lost."""
        error = LinkLostError("the agent ended the call")
        try:
            while (message := await connection.call.receive()) is not None:
                for event in decode_agent_batch(message).events:
                    await self._dispatch(event, connection)
        except LinkLostError as link_error:
            error = link_error
        except (CallError, msgspec.MsgspecError) as cause:
            error = LinkLostError(f"the exchange failed: {cause}")
        self._draining = False
        await connection.close_with_error(error)
        _log.warning("link lost", upstream=self._upstream.name, error=str(error))

    async def _dispatch(self, event: AgentEvent, connection: _Connection) -> None:
        """Handle one event from the agent."""
        match event:
            case Hello():
                connection.hello = event
                self._window_bytes = event.window_bytes
                self._draining = event.draining
                await connection.hello_received.set()
            case Load():
                self._record_load(event)
            case _:
                inbox = connection.inboxes.get(event.attempt)
                if inbox is not None:
                    await inbox.put(event)

    def _record_load(self, event: Load) -> None:
        """Record the load reported by the agent."""
        self._draining = event.draining
        self._load = UpstreamLoad(
            waiting=event.waiting,
            running=event.running,
            waiting_tokens=event.waiting_tokens,
            limit=event.limit,
            step_s=event.step_s,
            reported=self._clock.now(),
            waiting_before=event.waiting_before,
        )
