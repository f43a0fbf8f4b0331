"""Crowds of callers outside the limits at a sidecar with little memory."""

from pathlib import Path

import curio
import pytest

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
from bluebellrun.runtime import run_program
from tests.crowd.callers import MEGABYTE, keep_asking, leave_at_once
from tests.crowd.checks import (
    all_kinds,
    check_crowd,
    check_descriptors,
    check_pieces,
    crowd_of,
    crowds,
    pipelines,
)
from tests.gateway.processes import ROUTE_TIMEOUT_S, UPSTREAM_PORT, free_network

MEMORY_MB = 72
MAX_BODY_BYTES = 1_048_576
MAX_DESCRIPTORS = 240
CONNECTIONS = 300
MAX_HEADER_BYTES = 8_192
UNKNOWN = b"GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n"
KINDS = crowds(MAX_BODY_BYTES)
PIPELINES = pipelines("/api/report", "/api/picked", MAX_HEADER_BYTES)
ALL_KINDS = all_kinds("/api/order", KINDS, PIPELINES)
SLOW_S = 30.0


def run_sidecar(folder: Path, check, **limits: float) -> None:
    network = free_network()
    engine = Address(f"{network}.2", UPSTREAM_PORT)
    store = Address(f"{network}.3", 1)
    program = Program("sidecar1", "sidecar", f"{network}.1", "a", store, folder, engine)
    program.limits.update(limits)
    address = Address(program.ip, FIRST_PORT)

    async def handle(exchange: HttpExchange) -> None:
        if exchange.request.path == "/api/picked":
            await curio.sleep(SLOW_S)
        await exchange.answer_json(200, {"prepared": 0})

    async def ordinary() -> bool:
        client = HttpClient(address, ClientTimeouts(ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S))
        try:
            return (await client.fetch("GET", "/api/report", []))[0] == 200
        except TransportError:
            return False
        finally:
            await client.close()

    async def main() -> None:
        await curio.spawn(HttpServer(engine, handle, HttpLimits()).run, daemon=True)
        program.start()
        async with curio.timeout_after(10.0):
            while not await ordinary():
                await curio.sleep(0.05)
        await check(program, address, ordinary)

    try:
        run_program(main)
    finally:
        program.end(0.0)


# Guards: a sidecar held 64 bodies at once whatever memory its host had, and a crowd kept its 64
# connections from the coordinator.
@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_leaves_memory_and_room_for_an_ordinary_call(tmp_path: Path, kind: str) -> None:
    async def check(program, address, ordinary) -> None:
        memory = MEMORY_MB * MEGABYTE
        await check_crowd(program.process, address, "/api/order", KINDS[kind], memory, ordinary)

    run_sidecar(tmp_path, check, ram_mb=MEMORY_MB)


# Guards: a sidecar read what callers sent during a call before it charged the bytes, and charged no
# headers.
@pytest.mark.parametrize("kind", [*PIPELINES, "all together"])
def test_whole_calls_leave_memory_and_room_for_an_ordinary_one(tmp_path: Path, kind: str) -> None:
    async def check(program, address, ordinary) -> None:
        kinds = [PIPELINES[kind]] if kind in PIPELINES else ALL_KINDS
        memory, crowd = MEMORY_MB * MEGABYTE, crowd_of(kind)
        await check_pieces(program.process, address, kinds, memory, ordinary, crowd)

    run_sidecar(tmp_path, check, ram_mb=MEMORY_MB)


# Guards: connections that stay idle took all that the sidecar accepts.
def test_idle_connections_leave_room_for_an_ordinary_call(tmp_path: Path) -> None:
    async def check(program, address, ordinary) -> None:
        await check_descriptors(
            program.process, address, b"", CONNECTIONS, MAX_DESCRIPTORS, ordinary
        )

    run_sidecar(tmp_path, check, ram_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)


# Guards: callers that asked without a pause kept all connections, and those that had left were
# served before others.
@pytest.mark.parametrize("keep, crowd", [(keep_asking, 100), (leave_at_once, 60)])
def test_busy_callers_leave_connections_for_an_ordinary_call(
    tmp_path: Path, keep, crowd: int
) -> None:
    async def check(program, address, ordinary) -> None:
        await check_descriptors(
            program.process, address, UNKNOWN, crowd, MAX_DESCRIPTORS, ordinary, keep
        )

    run_sidecar(tmp_path, check, ram_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
