"""Accepts links, and closes those without calls when descriptors are short."""

import time
from typing import Any

from bluebellrun.core import Address
from bluebellrun.http import Listener, MemoryGate
from bluebellrun.telemetry import get_logger
from bluebellrun.transport._exceptions import LinkLostError
from bluebellrun.transport._link import CallHandler, Link
from bluebellrun.transport._models import LinkTiming
from bluebellrun.transport._open import accept_link

MAX_LINKS = 4_096
# A link that is younger may be about to begin its first call.
MIN_AGE_S = 1.0
# At most one line in this time tells how many links were closed since the last.
REPORT_INTERVAL_S = 1.0

_log = get_logger("transport")


class LinkServer:
    """Serves links on one address, at most ``max_links`` of them."""

    def __init__(
        self,
        address: Address,
        handler: CallHandler,
        timing: LinkTiming,
        max_links: int,
        memory: MemoryGate,
    ) -> None:
        self._handler = handler
        self._timing = timing
        self._memory = memory
        self._listener = Listener(
            address, self._serve, max_links, make_room=self._close_oldest_without_calls
        )
        # When each link was accepted, by the monotonic clock in seconds; the oldest comes first.
        self._links: dict[Link, float] = {}
        self._closed = 0
        self._reported = 0
        self._reported_at = -REPORT_INTERVAL_S

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._listener.address

    async def run(self) -> None:
        """Accept links until cancelled."""
        await self._listener.run()

    async def _serve(self, sock: Any) -> None:
        """Serve the calls of one link."""
        link = await accept_link(sock, self._handler, self._timing, self._memory)
        if link is None:
            return
        self._links[link] = time.monotonic()
        try:
            await link.run()
        finally:
            self._links.pop(link, None)

    async def _close_oldest_without_calls(self) -> bool:
        """Close a link for a new one; return whether there was any to close."""
        before = time.monotonic() - MIN_AGE_S
        for link, accepted_at in self._links.items():
            if accepted_at > before:
                return False
            if not link.has_calls:
                del self._links[link]
                await link.give_up(LinkLostError("closed for a new link"))
                self._closed += 1
                self._report()
                return True
        return False

    def _report(self) -> None:
        """Log how many links were closed since the last line."""
        now = time.monotonic()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        _log.warning(
            "links are short",
            closed=self._closed - self._reported,
            open=self._listener.open_connections,
        )
        self._reported, self._reported_at = self._closed, now
