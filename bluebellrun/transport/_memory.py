"""The bytes that a link holds for messages which are not complete or not consumed yet."""

import time
from typing import TYPE_CHECKING

from bluebellrun.http import MemoryGate, NoMemoryError
from bluebellrun.transport._exceptions import LinkLostError

if TYPE_CHECKING:
    from bluebellrun.transport._link import Link


class LinkMemory:
    """Charges what a link holds to the memory budget of its process.

    While memory is short, links whose messages do not progress are closed for others.
    """

    def __init__(self, link: "Link", gate: MemoryGate) -> None:
        self._link = link
        self._gate = gate
        self._holding = gate.open(self)

    async def hold(self, size: int) -> None:
        """Charge bytes that have arrived; raise ``LinkLostError`` if there is no room for them."""
        if not size:
            return
        self._holding.is_closable = True
        try:
            await self._gate.acquire(self._holding, self._holding.size + size)
        except NoMemoryError as error:
            raise LinkLostError(str(error)) from None
        self._gate.budget.record_progress(self._holding, size, time.monotonic())

    def release(self, size: int) -> None:
        """Charge less by bytes that were consumed."""
        left = max(0, self._holding.size - size)
        self._gate.budget.resize(self._holding, left, time.monotonic())

    def close(self) -> None:
        """Charge nothing any more: the link has ended."""
        self._gate.close(self._holding)

    async def close_stalled(self, reason: str) -> None:
        """Close the link for the sake of others."""
        self._holding.is_closable = False
        await self._link.give_up(LinkLostError(reason))
