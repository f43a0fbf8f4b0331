"""SIGTERM to a sidecar process while it serves a call."""

import json
import signal
import time
from pathlib import Path

import curio

from bench.platform_soak._programs import FIRST_PORT, Program
from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
    TransportError,
)
from tests.gateway.processes import UPSTREAM_PORT, free_network

COPY_S = 0.2
ORDER = json.dumps({"op": "prepare", "version": 4, "epoch": 1, "map": []}).encode()


# Guards: a stop cut off the order that the sidecar was passing on; its sender did not learn
# whether the engine had carried it out.
def test_a_stop_finishes_the_order_in_progress(tmp_path: Path) -> None:
    network = free_network()
    engine = Address(f"{network}.2", UPSTREAM_PORT)
    ordered_at: list[float] = []

    async def handle(exchange: HttpExchange) -> None:
        if exchange.request.method == "POST":
            ordered_at.append(time.monotonic())
            await exchange.answer_json(202, {})
            return
        is_complete = ordered_at and time.monotonic() - ordered_at[0] > COPY_S
        await exchange.answer_json(200, {"prepared": 4 if is_complete else 0})

    program = Program(
        "sidecar1", "sidecar", f"{network}.1", "a", Address(f"{network}.3", 1), tmp_path, engine
    )

    async def main() -> None:
        await curio.spawn(HttpServer(engine, handle, HttpLimits()).run, daemon=True)
        program.start()
        client = HttpClient(Address(program.ip, FIRST_PORT), ClientTimeouts(1.0, 2.0, 2.0))
        async with curio.timeout_after(10.0):
            while True:
                try:
                    await client.fetch("GET", "/api/report", [])
                    break
                except TransportError:
                    await curio.sleep(0.05)
        ordering = await curio.spawn(client.fetch, "POST", "/api/order", [], ORDER)
        while not ordered_at:
            await curio.sleep(0.005)
        program.signal(signal.SIGTERM)
        assert (await ordering.join())[0] == 200
        assert await curio.run_in_thread(program.end, 2.0) == 0

    try:
        curio.run(main)
    finally:
        program.end(0.0)
