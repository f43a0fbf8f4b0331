"""Connections to upstreams: pooled clients, and checks of whether an upstream's process ended."""

import time
from collections.abc import Callable, Collection

import curio

from bluebellrun.gateway._models import Upstream, UpstreamIncarnation
from bluebellrun.http import ClientTimeouts, ConnectError, HttpClient, connect

# Connecting within a region takes milliseconds; a lost packet costs a second.
CONNECT_TIMEOUT_S = 0.4
# A process that ends closes its connections and its listening socket within milliseconds of each
# other; one that still accepts connections may be checked again after this time.
END_CHECK_INTERVAL_S = 0.05
# Bound on the duration of an answer where neither caller nor route sets one.
MAX_ANSWER_S = 600.0


class UpstreamConnections:
    """The pooled connections of this process; ``record_unreachable`` gets failed instances."""

    def __init__(self, record_unreachable: Callable[[str, float], None]) -> None:
        self._record_unreachable = record_unreachable
        self._clients: dict[UpstreamIncarnation, HttpClient] = {}
        self._ended: set[UpstreamIncarnation] = set()

    def client(self, upstream: Upstream) -> HttpClient:
        """Return the client that pools connections to an upstream."""
        client = self._clients.get(upstream.incarnation)
        if client is None:
            timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, MAX_ANSWER_S, MAX_ANSWER_S)
            client = HttpClient(upstream.address, timeouts)
            self._clients[upstream.incarnation] = client
        return client

    def is_known_ended(self, upstream: Upstream) -> bool:
        """Return whether an upstream's process was found to have ended."""
        return upstream.incarnation in self._ended

    async def has_ended(self, upstream: Upstream, checks: int = 1) -> bool:
        """Return whether an upstream's process has ended: its host refuses connections to it."""
        for check in range(checks):
            if check:
                await curio.sleep(END_CHECK_INTERVAL_S)
            if upstream.incarnation in self._ended:
                return True
            try:
                sock = await connect(upstream.address, CONNECT_TIMEOUT_S)
            except ConnectError as error:
                self._record_unreachable(upstream.instance, time.monotonic())
                if error.refused:
                    self._ended.add(upstream.incarnation)
                return error.refused
            await sock.close()
        return False

    async def retain(self, incarnations: Collection[UpstreamIncarnation]) -> None:
        """Close the connections to all other upstreams."""
        for incarnation in [
            incarnation for incarnation in self._clients if incarnation not in incarnations
        ]:
            await self._clients.pop(incarnation).close()
        self._ended.intersection_update(incarnations)

    async def close(self) -> None:
        """Close all pooled connections."""
        for client in self._clients.values():
            await client.close()
