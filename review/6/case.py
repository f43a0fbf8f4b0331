"""A replica leaves just before an outage of the store; it gets requests once that is long over."""

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
# From the entry of the new replica to the end of the old one's, and from there to the outage.
STEP_S = 0.06
OUTAGE_S = 2.9
# The replica that has left serves on for so long after the outage.
SERVES_ON_S = STABLE_S + 0.4
# A request counts if its consumer sent it so long after the gateways are in touch again.
SLACK_S = 0.05


class LeftBeforeOutage(Case):
    """A replica is replaced by a new one, then the store answers nothing for some seconds."""

    async def run(self) -> int:
        """Do the case and check DRAIN."""
        scene, write = self.scene, self.scene.record.write
        leaving, new = scene.servers[0], scene.servers[-1]
        await scene.start(ROUTE_TIMEOUT_MS)
        self.sent: dict[str, tuple[float, Gateway]] = {}
        self.over = False
        consumers = [
            asyncio.ensure_future(self._consume(front, number))
            for front in scene.fronts
            for number in range(CONSUMERS)
        ]
        await asyncio.sleep(CALM_S)
        await new.start()
        scene.store.put(f"servers/{new.name}", new.entry())
        write(f"the entry of {new.name} is written")
        await asyncio.sleep(STEP_S)
        scene.store.delete(f"servers/{leaving.name}")
        removed = time.monotonic()
        write(f"the entry of {leaving.name} is removed; it serves on")
        await asyncio.sleep(STEP_S)
        ended = await self._outage()
        await asyncio.sleep(ended + SERVES_ON_S - time.monotonic())
        await leaving.stop()
        write(f"{leaving.name} exits")
        await asyncio.sleep(1.0)
        self.over = True
        unresolved = await asyncio.gather(*consumers)
        write(f"requests that may have run and were answered 502: {sum(unresolved)}")
        in_touch = ended + STABLE_S + SLACK_S
        late = 0
        for at, name in leaving.arrivals:
            sent, front = self.sent[name]
            if sent > in_touch and at - removed > DRAIN_S:
                late += 1
                write(
                    f"{name}, sent {sent - ended:.3f} s after the outage, was sent on by "
                    f"{front.name} and reached {leaving.name} {at - removed:.3f} s after its entry "
                    "was removed"
                )
        write(f"requests later than drain_ms, by machines in touch: {late}")
        return BROKEN if late else HELD

    async def _outage(self) -> float:
        """Let the store answer nothing for a while; return when that ends."""
        if self.trouble:
            self.scene.record.write("the store answers nothing from now on")
            self.scene.store.silent = True
        await asyncio.sleep(OUTAGE_S)
        if self.trouble:
            self.scene.store.silent = False
            self.scene.record.write("the store answers again")
        return time.monotonic()

    async def _consume(self, front: Gateway, number: int) -> int:
        """Send one request after the other to a gateway; return how many were answered 502."""
        channel, sent, unresolved = Channel(front.ip, CALLERS_PORT), 0, 0
        while not self.over:
            if not channel.is_open:
                await channel.open()
            sent += 1
            name = f"{front.name}-{number}-{sent}"
            self.sent[name] = time.monotonic(), front
            headers = request_headers(name, DEADLINE_MS)
            self.scene.record.write(f"{name} sent")
            ending, answer = await channel.send("POST", f"/order/{WORK_MS}", headers, b"job", 4.0)
            status = None if answer is None else answer.status
            self.scene.record.write(f"{name} {ending} with {status}")
            unresolved += status == 502
            await asyncio.sleep(PAUSE_S)
        await channel.close()
        return unresolved


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, LeftBeforeOutage))
