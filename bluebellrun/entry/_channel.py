"""The entry's side of an exchange call with one agent."""

from collections import deque

import curio

from bluebellrun.core import Clock
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
    Submit,
    decode_agent_batch,
)
from bluebellrun.routing import UpstreamLoad
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import get_logger
from bluebellrun.transport import Call, ConnectError, Link, LinkLostError, LinkTiming, dial
from bluebellrun.upstreams import Upstream

_log = get_logger("entry.channel")


class AttemptInbox:
    """Events of one attempt, in the order they came."""

    def __init__(self) -> None:
        self._events: deque[AgentEvent] = deque()
        self._arrived = curio.Event()
        self._lost: LinkLostError | None = None

    async def put(self, event: AgentEvent) -> None:
        """Add an event."""
        self._events.append(event)
        await self._arrived.set()

    async def lose(self, error: LinkLostError) -> None:
        """Note that no more events will come."""
        self._lost = error
        await self._arrived.set()

    async def next(self) -> AgentEvent:
        """Return the next event; raise ``LinkLostError`` when no more will come."""
        while not self._events:
            if self._lost is not None:
                raise self._lost
            self._arrived.clear()
            await self._arrived.wait()
        return self._events.popleft()


class AgentChannel:
    """Requests to one agent and the answers from it, over one link."""

    def __init__(
        self, upstream: Upstream, timing: LinkTiming, flush_interval_s: float, clock: Clock
    ) -> None:
        self._upstream = upstream
        self._timing = timing
        self._flush_interval_s = flush_interval_s
        self._clock = clock
        self._link: Link | None = None
        self._sender: BatchSender[EntryEvent] | None = None
        self._inboxes: dict[str, AttemptInbox] = {}
        self._hello: Hello | None = None
        self._greeted = curio.Event()
        self._opening = curio.Lock()
        self._load = UpstreamLoad()
        self._draining = False

    @property
    def upstream(self) -> Upstream:
        """Return the upstream."""
        return self._upstream

    @property
    def in_flight(self) -> int:
        """Return how many attempts are open."""
        return len(self._inboxes)

    @property
    def window_bytes(self) -> int:
        """Return how much of an answer the agent holds before some is confirmed."""
        return 1 if self._hello is None else self._hello.window_bytes

    @property
    def load(self) -> UpstreamLoad:
        """Return the load the agent reported last."""
        return self._load

    @property
    def draining(self) -> bool:
        """Return whether the agent said that it takes no new work."""
        return self._draining

    def follow(self, upstream: Upstream) -> None:
        """Take a changed declaration of the same upstream."""
        self._upstream = upstream

    async def open(self) -> str:
        """Make sure there is a link; return the agent's incarnation.

        Raises ``ConnectError`` when there is none in time; nothing has been sent then.
        """
        async with self._opening:
            if self._link is None or self._link.closed:
                await self._connect()
            assert self._hello is not None
            return self._hello.incarnation

    async def submit(self, message: Submit) -> AttemptInbox:
        """Send a request; its events come to the inbox that is returned."""
        if self._sender is None:
            raise LinkLostError("there is no link")
        inbox = AttemptInbox()
        self._inboxes[message.attempt] = inbox
        await self._sender.post(message)
        return inbox

    async def confirm(self, attempt: str, offset: int) -> None:
        """Tell the agent how much of an answer has been passed on."""
        if self._sender is not None:
            await self._sender.post(Delivered(attempt, offset))

    async def forget(self, attempt: str, cancel_reason: str | None) -> None:
        """Close an attempt; with a reason, tell the agent to stop it."""
        if self._inboxes.pop(attempt, None) is None or cancel_reason is None:
            return
        if self._sender is not None:
            await self._sender.post(Cancel(attempt, cancel_reason))

    async def close(self) -> None:
        """Close the link."""
        if self._link is not None:
            await self._link.close()

    async def _connect(self) -> None:
        """Open a link and wait for the agent's greeting."""
        self._greeted.clear()
        link = await dial(self._upstream.agent, self._timing)
        try:
            call = await link.call(EXCHANGE_PATH)
            self._sender = BatchSender(call, EntryBatch, self._flush_interval_s)
            await spawn_background(self._send, self._sender)
            await spawn_background(self._receive, call, link)
            async with curio.timeout_after(self._timing.connect_s):
                await self._greeted.wait()
        except (LinkLostError, curio.TaskTimeout) as error:
            await link.close()
            raise ConnectError(f"no greeting from {self._upstream.name}: {error}") from None
        if link.closed:
            raise ConnectError(f"{self._upstream.name} closed the link at once")
        self._link = link

    async def _send(self, sender: BatchSender[EntryEvent]) -> None:
        """Run a sender until the link is lost."""
        try:
            await sender.run()
        except LinkLostError:
            return

    async def _receive(self, call: Call, link: Link) -> None:
        """Hand events to their attempts until the link is lost."""
        error = LinkLostError("the agent ended the call")
        try:
            while (message := await call.receive()) is not None:
                for event in decode_agent_batch(message).events:
                    await self._dispatch(event)
        except LinkLostError as lost:
            error = lost
        await link.close()
        inboxes, self._inboxes = self._inboxes, {}
        for inbox in inboxes.values():
            await inbox.lose(error)
        await self._greeted.set()
        _log.warning("link lost", upstream=self._upstream.name, error=str(error))

    async def _dispatch(self, event: AgentEvent) -> None:
        """Act on one event of the agent."""
        match event:
            case Hello():
                self._hello = event
                self._draining = event.draining
                await self._greeted.set()
            case Load():
                self._take_load(event)
            case _:
                inbox = self._inboxes.get(event.attempt)
                if inbox is not None:
                    await inbox.put(event)

    def _take_load(self, event: Load) -> None:
        """Note the agent's load."""
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
