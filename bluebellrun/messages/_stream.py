"""Sends events in batches on one call."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import curio

from bluebellrun.messages._exchange import encode_message
from bluebellrun.transport import Call

EventT = TypeVar("EventT")


class BatchSender(Generic[EventT]):
    """Send events in order; only the task in ``run`` writes to the call.

    ``collect`` returns further events for a batch; while ``has_more`` returns true, the next batch
    is collected at once.

    If a caller is cancelled after ``post``, its event stays queued and the call stays usable.
    """

    def __init__(
        self,
        call: Call,
        make_batch: Callable[[list[EventT]], Any],
        flush_interval_s: float,
        collect: Callable[[], list[EventT]] | None = None,
        has_more: Callable[[], bool] = lambda: False,
    ) -> None:
        self._call = call
        self._make_batch = make_batch
        self._flush_interval_s = flush_interval_s
        self._collect = collect
        self._has_more = has_more
        self._events: list[EventT] = []
        self._wake = curio.Event()

    @property
    def idle(self) -> bool:
        """Return whether no event is queued."""
        return not self._events

    async def post(self, event: EventT) -> None:
        """Queue an event."""
        self._events.append(event)
        await self._wake.set()

    async def wake(self) -> None:
        """Make the sender collect and send events."""
        await self._wake.set()

    async def run(self) -> None:
        """Send batches until the call fails or the task is cancelled."""
        while True:
            await self._wake.wait()
            if self._flush_interval_s > 0:
                await curio.sleep(self._flush_interval_s)
            self._wake.clear()
            while events := self._next_events():
                await self._call.send(encode_message(self._make_batch(events)))
                if self._collect is None or not self._has_more():
                    break

    def _next_events(self) -> list[EventT]:
        """Return the events of the next batch."""
        events, self._events = self._events, []
        if self._collect is not None:
            events += self._collect()
        return events
