"""Readiness and the graceful stop of a gateway."""

import time

import curio

from bluebellrun.deployment import Bounds
from bluebellrun.gateway._gateway import Gateway
from bluebellrun.http import HttpServer

# New connections still come until the balancer has asked twice, once a second, and been told no.
ACCEPT_WHILE_STOPPING_S = 2.5
# Requests sent later than this after the stop began are refused; they would not be done in time.
SERVE_WHILE_STOPPING_S = 3.0
# Answers that are not done this long before the process is killed are broken off.
KILL_MARGIN_S = 0.4
POLL_S = 0.05


class Lifecycle:
    """Tell whether the process takes callers, and let it stop without cutting answers off."""

    def __init__(self, gateway: Gateway, server: HttpServer, bounds: Bounds) -> None:
        self._gateway = gateway
        self._server = server
        self._bounds = bounds
        self._stopping = False

    @property
    def ready(self) -> bool:
        """Return whether callers are to be sent here."""
        return not self._stopping and self._gateway.deployment is not None

    async def stop(self) -> None:
        """Serve on for a moment, then finish what is in progress and return."""
        began = time.monotonic()
        self._stopping = True
        self._server.end_connections()
        await self._sleep_until(began + ACCEPT_WHILE_STOPPING_S)
        await self._server.close()
        await self._sleep_until(began + SERVE_WHILE_STOPPING_S)
        self._gateway.refuse_new_requests()
        await self._server.close_idle()
        last = began + self._bounds.stop_grace_s - KILL_MARGIN_S
        # Requests that had arrived unread are read in the next turns.
        await curio.sleep(POLL_S)
        while self._gateway.in_progress and time.monotonic() < last:
            await curio.sleep(POLL_S)

    @staticmethod
    async def _sleep_until(moment: float) -> None:
        """Sleep until a reading of the monotonic clock."""
        await curio.sleep(max(0.0, moment - time.monotonic()))
