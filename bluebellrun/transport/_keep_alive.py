"""Pings the peer of a link, and gives the link up when the peer is silent."""

import time
from collections.abc import Awaitable, Callable

import curio

from bluebellrun.transport._exceptions import LinkLostError
from bluebellrun.transport._models import LinkTiming

# A ping sleep longer than this many intervals means that this process was paused.
PAUSE_THRESHOLD_INTERVALS = 2


class KeepAlive:
    """Watches when bytes arrive from the peer. Times are of the monotonic clock, in seconds."""

    def __init__(
        self,
        timing: LinkTiming,
        ping: Callable[[], Awaitable[None]],
        on_silence: Callable[[LinkLostError], Awaitable[None]],
    ) -> None:
        self._timing = timing
        self._ping = ping
        self._on_silence = on_silence
        self._last_received_at = time.monotonic()

    def record_received(self) -> None:
        """Record that bytes arrived."""
        self._last_received_at = time.monotonic()

    async def run(self) -> None:
        """Send pings until cancelled, or until nothing arrives within the ping timeout.

        Time during which this process itself was paused does not count.
        """
        interval_s = self._timing.ping_interval_s
        while True:
            sleep_started_at = time.monotonic()
            await curio.sleep(interval_s)
            if time.monotonic() - sleep_started_at > PAUSE_THRESHOLD_INTERVALS * interval_s:
                self._last_received_at = time.monotonic()
            silent_s = time.monotonic() - self._last_received_at
            if silent_s > self._timing.ping_timeout_s:
                await self._on_silence(LinkLostError(f"the peer was silent for {silent_s:.2f} s"))
                return
            if silent_s >= interval_s / 2:
                await self._ping()
