"""Crowds of callers outside the limits at an entry with little memory."""

import urllib.request
from collections.abc import Awaitable, Callable

import curio
import pytest

from bluebellrun.customers import hash_key
from standins.fleet import FleetProcess, LocalFleet
from tests.crowd.callers import MEGABYTE, keep_asking, leave_at_once
from tests.crowd.checks import (
    all_kinds,
    check_crowd,
    check_descriptors,
    check_pieces,
    crowd_of,
    crowds,
    descriptor_limit,
    pipelines,
)
from tests.gateway.processes import ROUTE_TIMEOUT_S

MEMORY_MB = 160
SERVICE, KEY = "job-ledger", "a-key"
MAX_BODY_BYTES = 4_194_304
ENOUGH_DESCRIPTORS, MAX_DESCRIPTORS = 1_024, 240
CONNECTIONS = 300
MAX_HEADER_BYTES = 32_768
UNKNOWN = b"GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n"
KINDS = crowds(MAX_BODY_BYTES)
PIPELINES = pipelines(
    "/readyz", f"/services/{SERVICE}/x", MAX_HEADER_BYTES, f"Authorization: Bearer {KEY}\r\n"
)
ALL_KINDS = all_kinds("/x", KINDS, PIPELINES)


Check = Callable[[FleetProcess, Callable[[], Awaitable[bool]]], Awaitable[None]]


def run_entry(
    fleet: LocalFleet,
    monkeypatch: pytest.MonkeyPatch,
    check: Check,
    descriptors: int = ENOUGH_DESCRIPTORS,
) -> None:
    # By the environment: a build that does not know the setting ignores it.
    monkeypatch.setenv("BLUEBELLRUN_MEMORY_MB", str(MEMORY_MB))
    fleet.start_platform()
    with descriptor_limit(descriptors):
        entry = fleet.start_entry("entry-1", "--max-body-bytes", str(MAX_BODY_BYTES))
    fleet.start_plain("plain-1")
    fleet.order("plain-1", "/standin/faults", {"held": True})
    agent = fleet.start_agent("jobs-1", SERVICE, "plain-1", "--protocol", "plain")
    fleet.declare(
        [
            {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)]},
            {"kind": "service", "name": SERVICE, "protocol": "plain"},
            {
                "kind": "upstream",
                "name": "jobs-1",
                "service": SERVICE,
                "agent": str(agent.address),
            },
        ]
    )
    fleet.wait_ready("entry-1")

    def ask() -> bool:
        try:
            with urllib.request.urlopen(
                f"http://{entry.address}/readyz", timeout=ROUTE_TIMEOUT_S
            ) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    async def ordinary() -> bool:
        return bool(await curio.run_in_thread(ask))

    curio.run(check, entry, ordinary)


# Guards: an entry read every body whole with no bound on their sum.
@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_leaves_memory_and_room_for_an_ordinary_request(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    async def check(entry, ordinary) -> None:
        memory = MEMORY_MB * MEGABYTE
        await check_crowd(entry.process, entry.address, "/x", KINDS[kind], memory, ordinary)

    run_entry(fleet, monkeypatch, check)


# Guards: an entry read what callers sent during a request before it charged the bytes, and charged
# no headers.
@pytest.mark.parametrize("kind", [*PIPELINES, "all together"])
def test_whole_requests_leave_memory_and_room_for_an_ordinary_one(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    async def check(entry, ordinary) -> None:
        kinds = [PIPELINES[kind]] if kind in PIPELINES else ALL_KINDS
        memory = MEMORY_MB * MEGABYTE
        crowd = crowd_of(kind)
        await check_pieces(entry.process, entry.address, kinds, memory, ordinary, crowd)

    run_entry(fleet, monkeypatch, check)


# Guards: an entry accepted 4,096 connections however few descriptors it had, and none was left for
# its callers, links and store.
@pytest.mark.parametrize("data", [b"", b"POST /x HTTP/1.1\r\nHost: h"], ids=["idle", "head"])
def test_connections_leave_descriptors_for_an_ordinary_request(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, data: bytes
) -> None:
    async def check(entry, ordinary) -> None:
        await check_descriptors(
            entry.process, entry.address, data, CONNECTIONS, MAX_DESCRIPTORS, ordinary
        )

    run_entry(fleet, monkeypatch, check, MAX_DESCRIPTORS)


# Guards: callers that asked without a pause kept all connections, and those that had left were
# served before others.
@pytest.mark.parametrize("keep, crowd", [(keep_asking, 150), (leave_at_once, 60)])
def test_busy_callers_leave_connections_for_an_ordinary_request(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, keep, crowd: int
) -> None:
    async def check(entry, ordinary) -> None:
        await check_descriptors(
            entry.process, entry.address, UNKNOWN, crowd, MAX_DESCRIPTORS, ordinary, keep
        )

    run_entry(fleet, monkeypatch, check, MAX_DESCRIPTORS)
