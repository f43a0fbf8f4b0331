"""A gateway gets SIGTERM while the store answers nothing; requests that it took later are cut."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from review.standins.scene import (
    BROKEN,
    CALLERS_PORT,
    GRACE_S,
    HELD,
    STABLE_S,
    Case,
    Gateway,
    request_headers,
    run_case,
)
from review.standins.wire import Channel

STORE_SILENT_S = 4.5
SILENT_BEFORE_SIGTERM_S = 0.3
ROUTE_TIMEOUT_MS = 8_000
WORK_MS, SHORT_WORK_MS = 5_500, 20
CONSUMERS = 6
# The first request after the SIGTERM, and the time to the next one.
FIRST_S, NEXT_S = 3.2, 0.15
# Requests that were sent no later than this after the SIGTERM may still be cut.
EXCUSED_S = 3.0
READY_ASKED_S = 1.0


class StopInOutage(Case):
    """The process with the placement role is stopped in an outage of the store."""

    async def run(self) -> int:
        """Do the case and check LOST."""
        await self.scene.start(ROUTE_TIMEOUT_MS)
        while not self.scene.store.role_holder:
            await asyncio.sleep(0.05)
        fronts = {front.name: front for front in self.scene.fronts}
        stopped = fronts.pop(self.scene.store.role_holder)
        self.other = next(iter(fronts.values()))
        self.scene.record.write(f"{stopped.name} has the placement role and will be stopped")
        channels = [await self._kept_channel(stopped, number) for number in range(CONSUMERS)]
        await asyncio.sleep(STABLE_S + 0.5)
        if self.trouble:
            self.scene.record.write("the store answers nothing from now on")
            self.scene.store.silent = True
            await asyncio.sleep(SILENT_BEFORE_SIGTERM_S)
        self.began = time.monotonic()
        self.scene.record.write(f"SIGTERM to {stopped.name}")
        stopped.signal(signal.SIGTERM)
        lost = await asyncio.gather(
            *(self._consume(number, channel) for number, channel in enumerate(channels)),
            self._platform(stopped),
        )
        self.scene.record.write(f"requests lost: {sum(lost)}")
        return BROKEN if any(lost) else HELD

    async def _kept_channel(self, front: Gateway, number: int) -> Channel:
        """Open a consumer's channel and use it once."""
        channel = Channel(front.ip, CALLERS_PORT)
        await channel.open()
        name = f"early-{number}"
        target = f"/order/{SHORT_WORK_MS}"
        headers = request_headers(name, ROUTE_TIMEOUT_MS)
        self.scene.record.write(f"{name} sent to {front.name}")
        ending, answer = await channel.send("POST", target, headers, b"job", 8.0)
        status = None if answer is None else answer.status
        self.scene.record.write(f"{name} {ending} with {status}")
        if answer is None or answer.status != 200 or not channel.is_open:
            raise RuntimeError(f"{name} ended {ending} before any trouble")
        return channel

    async def _platform(self, stopped: Gateway) -> bool:
        """Ask for readiness once a second, end the outage, and kill the process after its grace."""
        outage_left_s = STORE_SILENT_S - SILENT_BEFORE_SIGTERM_S
        while (passed := time.monotonic() - self.began) < GRACE_S:
            if self.scene.store.silent and passed >= outage_left_s:
                self.scene.store.silent = False
                self.scene.record.write("the store answers again")
            if not stopped.runs:
                self.scene.record.write(f"{stopped.name} has ended by itself")
                return False
            if passed % READY_ASKED_S < 0.1:
                ready = await stopped.is_ready()
                self.scene.record.write(f"{stopped.name} says it is {'' if ready else 'not '}ready")
            await asyncio.sleep(0.1)
        self.scene.record.write(f"SIGKILL to {stopped.name} at the end of its grace")
        stopped.signal(signal.SIGKILL)
        return False

    async def _consume(self, number: int, channel: Channel) -> bool:
        """Send one request; return whether it was lost as the rule says."""
        name = f"late-{number}"
        await asyncio.sleep(max(0.0, self.began + FIRST_S + number * NEXT_S - time.monotonic()))
        if not channel.is_open:
            self.scene.record.write(f"{name}: the channel was closed before; another gateway")
            return await self._send_elsewhere(name, number)
        sent = time.monotonic()
        target = self._target(number)
        self.scene.record.write(
            f"{name} ({target}) sent {sent - self.began:.3f} s after the SIGTERM"
        )
        headers = request_headers(name, ROUTE_TIMEOUT_MS)
        ending, answer = await channel.send("POST", target, headers, b"job", 9.0)
        took_s = time.monotonic() - sent
        status = None if answer is None else answer.status
        self.scene.record.write(f"{name} {ending} with {status} after {took_s:.3f} s")
        passed_on = [s for s in self.scene.servers if name in [run for _, run in s.arrivals]]
        if ending == "closed" and not passed_on:
            return await self._send_elsewhere(name, number)
        if status == 503 and not passed_on:
            return await self._send_elsewhere(f"{name}-again", number)
        in_time = took_s < ROUTE_TIMEOUT_MS / 1000
        late_enough = sent - self.began > EXCUSED_S
        return bool(passed_on) and ending == "closed" and in_time and late_enough

    @staticmethod
    def _target(number: int) -> str:
        """Return what a consumer asks for: every other one a booking, the others a letter."""
        return f"/{'letter' if number % 2 else 'order'}/{WORK_MS}"

    async def _send_elsewhere(self, name: str, number: int) -> bool:
        """Send a request to the gateway that is not stopped; it must be answered."""
        channel = Channel(self.other.ip, CALLERS_PORT)
        await channel.open()
        headers = request_headers(name, ROUTE_TIMEOUT_MS)
        target = self._target(number)
        self.scene.record.write(f"{name} ({target}) sent to {self.other.name}")
        ending, answer = await channel.send("POST", target, headers, b"job", 9.0)
        status = None if answer is None else answer.status
        self.scene.record.write(f"{name} at {self.other.name}: {ending} with {status}")
        await channel.close()
        return False


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, StopInOutage))
