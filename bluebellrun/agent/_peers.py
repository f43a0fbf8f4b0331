"""Links from an agent to other agents, for unary calls."""

from typing import Any

import curio

from bluebellrun.core import Address, Clock
from bluebellrun.http import ConnectError
from bluebellrun.transport import (
    CallError,
    Link,
    LinkLostError,
    LinkTiming,
    dial,
)

RETRY_DELAY_S = 2.0


class PeerError(Exception):
    """A peer did not answer; it may have received the request.

    ``not_listening`` is true when no process listens at its address.
    """

    def __init__(self, message: str, not_listening: bool = False) -> None:
        super().__init__(message)
        self.not_listening = not_listening


class PeerLinks:
    """Pooled links by address; a peer that did not answer is not tried for ``RETRY_DELAY_S``."""

    def __init__(self, timing: LinkTiming, clock: Clock) -> None:
        self._timing = timing
        self._clock = clock
        self._links: dict[Address, Link] = {}
        self._retry_at: dict[Address, float] = {}
        self._dialing: dict[Address, Any] = {}

    async def request(self, address: Address, path: str, message: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer; raise ``PeerError`` if none arrives in time."""
        if self._retry_at.get(address, 0.0) > self._clock.now():
            raise PeerError(f"{address} did not answer a moment ago")
        try:
            link = await self._link(address)
            answer = await link.call_unary(path, message, timeout_s)
        except (ConnectError, LinkLostError) as error:
            self._retry_at[address] = self._clock.now() + RETRY_DELAY_S
            not_listening = isinstance(error.__cause__, ConnectionRefusedError)
            raise PeerError(f"{address}: {error}", not_listening) from error
        except CallError as error:
            raise PeerError(f"{address}: {error}") from error
        self._retry_at.pop(address, None)
        return answer

    async def retain(self, addresses: set[Address]) -> None:
        """Close the links to all other addresses."""
        for address in [known for known in self._links if known not in addresses]:
            self._retry_at.pop(address, None)
            self._dialing.pop(address, None)
            await self._links.pop(address).close()

    async def _link(self, address: Address) -> Link:
        """Return an open link to a peer; dialing a slow peer blocks only its own requests."""
        async with self._dialing.setdefault(address, curio.Lock()):
            link = self._links.get(address)
            if link is None or link.closed:
                link = self._links[address] = await dial(address, self._timing)
            return link
