"""The store's answer with a new configuration is lost; a moved route keeps to its old service."""

import asyncio
import sys
import time
from pathlib import Path

from review.standins.scene import (
    BROKEN,
    CALLERS_PORT,
    HELD,
    NEW_SERVICE,
    STABLE_S,
    Case,
    Gateway,
    request_headers,
    run_case,
)
from review.standins.wire import Channel

ROUTE_TIMEOUT_MS, DEADLINE_MS, WORK_MS = 1_500, 1_532, 22
CONSUMERS, PAUSE_S = 6, 0.1
CALM_S = 4.0
APPLY_S = 2.0
WATCHED_S = STABLE_S + 2.5


class LostConfiguration(Case):
    """One gateway misses the answer that moves a route to another service."""

    async def run(self) -> int:
        """Do the case and check CONFIG."""
        scene = self.scene
        scene.servers[2].service = NEW_SERVICE
        await scene.start(ROUTE_TIMEOUT_MS)
        self.over = False
        self.sent: dict[str, float] = {}
        consumers = [
            asyncio.ensure_future(self._consume(front, number))
            for front in scene.fronts
            for number in range(CONSUMERS)
        ]
        await asyncio.sleep(CALM_S)
        await scene.store.new_watch_of(scene.fronts[0].name)
        if self.trouble:
            scene.store.lose_watch_of = scene.fronts[0].name
        scene.write_configuration(7, ROUTE_TIMEOUT_MS, NEW_SERVICE)
        confirmed = time.monotonic()
        scene.record.write("a configuration that moves the routes is confirmed")
        await asyncio.sleep(0.1)
        if self.trouble and not scene.store.lost_at:
            raise RuntimeError("no watch waited, so that no answer was lost")
        if self.trouble:
            scene.record.write(f"one answer of the store to {scene.fronts[0].name} was lost")
        in_touch = max(confirmed + APPLY_S, scene.store.lost_at + STABLE_S)
        await asyncio.sleep(confirmed + WATCHED_S - time.monotonic())
        self.over = True
        await asyncio.gather(*consumers)
        old = [name for server in scene.servers[:2] for _, name in server.arrivals]
        late = [(self.sent[name], name) for name in old if self.sent[name] > in_touch]
        for at, name in late:
            after = at - confirmed
            scene.record.write(f"{name}, sent {after:.3f} s after the confirmation: old service")
        scene.record.write(f"requests run by the old service: {len(late)}")
        return BROKEN if late else HELD

    async def _consume(self, front: Gateway, number: int) -> None:
        """Send one request after the other on the route that is moved."""
        channel, sent = Channel(front.ip, CALLERS_PORT), 0
        while not self.over:
            if not channel.is_open:
                await channel.open()
            sent += 1
            name = f"{front.name}-{number}-{sent}"
            self.sent[name] = time.monotonic()
            headers = request_headers(name, DEADLINE_MS)
            self.scene.record.write(f"{name} sent")
            _, answer = await channel.send("POST", f"/order/{WORK_MS}", headers, b"job", 2.0)
            status = None if answer is None else answer.status
            self.scene.record.write(f"{name} was answered {status}")
            await asyncio.sleep(PAUSE_S)
        await channel.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, LostConfiguration))
