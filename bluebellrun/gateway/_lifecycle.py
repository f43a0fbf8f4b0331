"""Readiness and the graceful stop of a gateway."""

import time

import curio

from bluebellrun.deployment import Bounds
from bluebellrun.gateway._gateway import Gateway, StopTimes
from bluebellrun.http import HttpServer

# New connections arrive until the balancer has polled readiness twice, once a second.
ACCEPT_WHILE_STOPPING_S = 2.5
# Requests that are read later than this after the signal are refused. Callers may be cut off at the
# end if they sent their request within three seconds of the signal, which is noticed later.
SERVE_WHILE_STOPPING_S = 2.7
# Requests that are unfinished this long before the process is killed get their final answer.
GIVE_UP_MARGIN_S = 0.6
# The process ends this long before it is killed.
KILL_MARGIN_S = 0.4
POLL_S = 0.05


class Lifecycle:
    """Readiness of the process, and a stop that lets answers in progress finish."""

    def __init__(self, gateway: Gateway, server: HttpServer, bounds: Bounds) -> None:
        self._gateway = gateway
        self._server = server
        self._bounds = bounds
        self._stopping = False

    @property
    def ready(self) -> bool:
        """Return whether the process accepts callers."""
        return not self._stopping and self._gateway.deployment is not None

    async def stop(self, signalled_at: float | None = None) -> None:
        """Keep serving briefly, then finish the requests in progress and return.

        All times count from the signal, by default from now; it is a reading of the monotonic
        clock.
        """
        started = time.monotonic() if signalled_at is None else signalled_at
        killed_at = started + self._bounds.stop_grace_s
        refuse_from = started + SERVE_WHILE_STOPPING_S
        give_up_at = killed_at - GIVE_UP_MARGIN_S
        self._stopping = True
        self._gateway.begin_stop(StopTimes(refuse_from, give_up_at))
        self._server.end_connections()
        await self._sleep_until(started + ACCEPT_WHILE_STOPPING_S)
        await self._server.close()
        await self._sleep_until(refuse_from)
        await self._server.close_idle()
        # Let the event loop read the requests that have already arrived.
        await curio.sleep(POLL_S)
        await self._finish_requests(give_up_at)
        await self._gateway.give_up()
        await self._finish_requests(killed_at - KILL_MARGIN_S)

    async def _finish_requests(self, deadline: float) -> None:
        """Wait until no request is in progress, or until a reading of the monotonic clock."""
        while self._gateway.in_progress and time.monotonic() < deadline:
            await curio.sleep(POLL_S)

    @staticmethod
    async def _sleep_until(moment: float) -> None:
        """Sleep until a reading of the monotonic clock."""
        await curio.sleep(max(0.0, moment - time.monotonic()))
