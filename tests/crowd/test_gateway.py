"""Crowds of callers outside the limits at a gateway with little memory and few descriptors."""

from pathlib import Path

import curio
import pytest

from bluebellrun.http import ClientTimeouts, HttpClient, TransportError
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
from tests.gateway.processes import HOST, ROUTE_TIMEOUT_S, SERVICE, Gateways

MEMORY_MB = 128
# The configuration's default.
MAX_BODY_BYTES = 4_194_304
MAX_DESCRIPTORS = 600
CONNECTIONS = 800
MAX_HEADER_BYTES = 16_384
UNKNOWN = b"GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n"
# More callers than the process, or its readiness check, accepts connections.
BUSY_CALLERS = [(keep_asking, 300, MAX_DESCRIPTORS), (leave_at_once, 60, 4_100)]
BUSY_PROBES = [(keep_asking, 100), (leave_at_once, 60)]
BUSY_IDS = ["asking without a pause", "leaving at once"]
KINDS = crowds(MAX_BODY_BYTES)
PIPELINES = pipelines("/order/0", "/order/7", MAX_HEADER_BYTES)
ALL_KINDS = all_kinds("/order/0", KINDS, PIPELINES)


def run_gateway(folder: Path, check, **limits: float) -> None:
    gateways = Gateways(folder)
    program = gateways.programs[0]
    program.limits.update(limits)

    async def ordinary() -> bool:
        client = HttpClient(program.callers, ClientTimeouts(ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S))
        try:
            return (await gateways.request(client, 0.0))[0] == 200
        except TransportError:
            return False
        finally:
            await client.close()

    async def main() -> None:
        await gateways.start()
        await gateways.upstreams.start(gateways.store, "desk1", SERVICE)
        async with curio.timeout_after(10.0):
            while not await ordinary():
                await curio.sleep(0.05)
        await check(program, ordinary)

    try:
        run_program(main)
    finally:
        gateways.end()


# Guards: a gateway read every body whole with no bound on their sum, and one event for each chunk
# kept it from all other callers.
@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_leaves_memory_and_room_for_an_ordinary_request(tmp_path: Path, kind: str) -> None:
    async def check(program, ordinary) -> None:
        await check_crowd(
            program.process,
            program.callers,
            "/order/0",
            KINDS[kind],
            MEMORY_MB * MEGABYTE,
            ordinary,
        )

    run_gateway(tmp_path, check, ram_mb=MEMORY_MB)


# Guards: a gateway read what callers sent during a request before it charged the bytes, and charged
# no headers.
@pytest.mark.parametrize("kind", [*PIPELINES, "all together"])
def test_whole_requests_leave_memory_and_room_for_an_ordinary_one(
    tmp_path: Path, kind: str
) -> None:
    async def check(program, ordinary) -> None:
        kinds = [PIPELINES[kind]] if kind in PIPELINES else ALL_KINDS
        memory = MEMORY_MB * MEGABYTE
        crowd = crowd_of(kind)
        await check_pieces(program.process, program.callers, kinds, memory, ordinary, crowd)

    run_gateway(tmp_path, check, ram_mb=MEMORY_MB)


# Guards: the gateway accepted 4,096 connections however few descriptors its host granted.
@pytest.mark.parametrize("data", [b"", b"POST /order/0 HTTP/1.1\r\nHost: h"], ids=["idle", "head"])
def test_connections_stay_below_the_granted_descriptors(tmp_path: Path, data: bytes) -> None:
    async def check(program, ordinary) -> None:
        await check_descriptors(
            program.process, program.callers, data, CONNECTIONS, MAX_DESCRIPTORS, ordinary
        )

    run_gateway(tmp_path, check, ram_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)


# Guards: a bound so low that a single request of the largest legal size is refused on a small host.
def test_a_request_of_the_largest_legal_size_is_served(tmp_path: Path) -> None:
    async def check(program, _) -> None:
        client = HttpClient(program.callers, ClientTimeouts(5.0, ROUTE_TIMEOUT_S))
        headers = [("host", HOST), ("x-bluebellrun-request-id", "largest")]
        status, _ = await client.fetch("POST", "/order/0", headers, b"x" * MAX_BODY_BYTES)
        assert status == 200

    run_gateway(tmp_path, check, ram_mb=152)


# Guards: callers that asked without a pause kept all connections, and those that had left were
# served before others.
@pytest.mark.parametrize("keep, crowd, max_fds", BUSY_CALLERS, ids=BUSY_IDS)
def test_busy_callers_leave_connections_for_an_ordinary_request(
    tmp_path: Path, keep, crowd: int, max_fds: int
) -> None:
    async def check(program, ordinary) -> None:
        await check_descriptors(
            program.process, program.callers, UNKNOWN, crowd, max_fds, ordinary, keep
        )

    run_gateway(tmp_path, check, ram_mb=MEMORY_MB, max_fds=max_fds)


# Guards: callers of the readiness check kept all of its connections.
@pytest.mark.parametrize("keep, crowd", BUSY_PROBES, ids=BUSY_IDS)
def test_busy_probes_leave_connections_for_an_ordinary_one(
    tmp_path: Path, keep, crowd: int
) -> None:
    async def check(program, _) -> None:
        async def is_ready() -> bool:
            client = HttpClient(program.ready, ClientTimeouts(ROUTE_TIMEOUT_S, ROUTE_TIMEOUT_S))
            try:
                return (await client.fetch("GET", "/api/ready", []))[0] == 200
            except TransportError:
                return False
            finally:
                await client.close()

        await check_descriptors(
            program.process, program.ready, UNKNOWN, crowd, MAX_DESCRIPTORS, is_ready, keep
        )

    run_gateway(tmp_path, check, ram_mb=MEMORY_MB, max_fds=MAX_DESCRIPTORS)
