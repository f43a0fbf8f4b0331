"""The store's answer to one watch is lost; a replica that leaves later still gets requests."""

import asyncio
import sys
import time
from pathlib import Path

from review.standins.scene import (
    BROKEN,
    CALLERS_PORT,
    DRAIN_S,
    HELD,
    STABLE_S,
    Case,
    Gateway,
    request_headers,
    run_case,
)
from review.standins.wire import Channel

ROUTE_TIMEOUT_MS, DEADLINE_MS, WORK_MS = 1_500, 1_532, 50
CONSUMERS, PAUSE_S = 10, 0.1
CALM_S = 4.0
# The entry is removed so long after the lost answer: the machine is in touch again.
REMOVED_S = STABLE_S + 0.15
# The replica serves a little longer than drain_ms, and then exits.
EXIT_S = DRAIN_S + 0.25


class LostWatchAnswer(Case):
    """One gateway misses an answer of the store; then a replica leaves without notice."""

    async def run(self) -> int:
        """Do the case and check DRAIN."""
        scene = self.scene
        leaving = scene.servers[0]
        await scene.start(ROUTE_TIMEOUT_MS)
        warming = scene.servers[2]
        scene.store.put(f"servers/{warming.name}", warming.entry(cold_left_ms=4_000))
        self.sent: dict[str, Gateway] = {}
        self.over = False
        consumers = [
            asyncio.ensure_future(self._consume(front, number))
            for front in scene.fronts
            for number in range(CONSUMERS)
        ]
        await asyncio.sleep(CALM_S)
        await scene.store.new_watch_of(scene.fronts[0].name)
        if self.trouble:
            scene.store.lose_watch_of = scene.fronts[0].name
        scene.store.put(f"servers/{warming.name}", warming.entry())
        changed = time.monotonic()
        await asyncio.sleep(0.1)
        if self.trouble and not scene.store.lost_at:
            raise RuntimeError("no watch waited, so that no answer was lost")
        if self.trouble:
            scene.record.write(f"one answer of the store to {scene.fronts[0].name} was lost")
        await asyncio.sleep(changed + REMOVED_S - time.monotonic())
        scene.store.delete(f"servers/{leaving.name}")
        removed = time.monotonic()
        scene.record.write(f"the entry of {leaving.name} is removed")
        await asyncio.sleep(EXIT_S)
        await leaving.stop()
        scene.record.write(f"{leaving.name} exits")
        await asyncio.sleep(1.0)
        self.over = True
        await asyncio.gather(*consumers)
        late = [(at - removed, name) for at, name in leaving.arrivals if at - removed > DRAIN_S]
        for after, name in late:
            scene.record.write(
                f"{name}, sent on by {self.sent[name].name}, reached {leaving.name} {after:.3f} s "
                "after its entry was removed"
            )
        scene.record.write(f"requests later than drain_ms: {len(late)}")
        return BROKEN if late else HELD

    async def _consume(self, front: Gateway, number: int) -> None:
        """Send one request after the other to a gateway."""
        channel, sent = Channel(front.ip, CALLERS_PORT), 0
        while not self.over:
            if not channel.is_open:
                await channel.open()
            sent += 1
            name = f"{front.name}-{number}-{sent}"
            self.sent[name] = front
            headers = request_headers(name, DEADLINE_MS)
            self.scene.record.write(f"{name} sent")
            ending, answer = await channel.send("POST", f"/order/{WORK_MS}", headers, b"job", 4.0)
            status = None if answer is None else answer.status
            self.scene.record.write(f"{name} {ending} with {status}")
            await asyncio.sleep(PAUSE_S)
        await channel.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, LostWatchAnswer))
