"""SIGTERM to gateway processes, with the store in every state."""

import contextlib
import signal
import time
from pathlib import Path

import curio
import pytest

from bench.platform_soak._programs import STOP_GRACE_S
from bluebellrun.http import TransportError
from tests.gateway.processes import START_S, Gateways, configuration, run_with_gateways

# A platform asks for readiness once a second; the process refuses requests after this time.
UNREADY_S, REFUSING_S = 0.5, 3.0
# Requests that were sent later than this after the signal may not be cut off.
EXCUSED_S = 3.0
OUTAGES = ("silent before", "silent after", "refusing", "slow")


async def begin_outage(gateways: Gateways, outage: str) -> None:
    """Let the store fail as named, shortly before the signal."""
    store = gateways.store
    match outage:
        case "silent before":
            store.silent = True
            await curio.sleep(0.3)
        case "refusing":
            store.refuse = 503
            await curio.sleep(0.3)
        case "slow":
            store.delay_s = 1.0


# Guards: SIGTERM took effect only after a call to the store that did not answer; requests that
# were taken meanwhile were cut.
@pytest.mark.parametrize("outage", OUTAGES)
def test_a_stop_does_not_wait_for_the_store(tmp_path: Path, outage: str) -> None:
    async def check(gateways: Gateways) -> None:
        (program,) = gateways.programs
        await gateways.upstreams.start(gateways.store, "desk1", "desk")
        await gateways.until(lambda: gateways.record("roles/placement"))
        client = gateways.client(program)
        async with curio.timeout_after(5.0):
            while (await gateways.request(client, 0.0))[0] != 200:
                await curio.sleep(0.1)
        await begin_outage(gateways, outage)
        began = time.monotonic()
        program.signal(signal.SIGHUP)
        program.signal(signal.SIGTERM)
        if outage == "silent after":
            await curio.sleep(0.02)
            gateways.store.silent = True
        await curio.sleep(UNREADY_S - (time.monotonic() - began))
        assert not await gateways.is_ready(program)
        program.signal(signal.SIGTERM)
        late = gateways.client(program)
        assert (await gateways.request(late, 0.0))[0] == 200
        await curio.sleep(REFUSING_S + 0.1 - (time.monotonic() - began))
        with pytest.raises(TransportError):
            await gateways.request(gateways.client(program), 0.0)
        status = await curio.run_in_thread(program.end, STOP_GRACE_S)
        assert (status, time.monotonic() - began < REFUSING_S + 1.5) == (0, True)

    run_with_gateways(tmp_path, check)


# Guards: a process that was stopping took the placement role again after it had released it.
def test_a_stopping_process_leaves_the_role_to_another(tmp_path: Path) -> None:
    async def check(gateways: Gateways) -> None:
        (program,) = gateways.programs
        await gateways.until(lambda: gateways.record("roles/placement"))
        taken = gateways.store.items["bluebellrun/roles/placement"]["rev"]
        program.signal(signal.SIGTERM)
        await gateways.until(lambda: not gateways.record("roles/placement"))
        await curio.run_in_thread(program.end, STOP_GRACE_S)
        records = [item for item in gateways.store.events if "/roles/" in item["key"]]
        assert [item["rev"] for item in records if item["rev"] > taken and "value" in item] == []

    run_with_gateways(tmp_path, check)


# Guards: in a stop in calm, requests that came late in the grace time were passed on and cut off
# at its end without an answer.
def test_each_request_of_a_stopping_process_gets_an_answer(tmp_path: Path) -> None:
    async def check(gateways: Gateways) -> None:
        (program,) = gateways.programs
        await gateways.upstreams.start(gateways.store, "desk1", "desk")
        kept, early = gateways.client(program), gateways.client(program)
        async with curio.timeout_after(5.0):
            while (await gateways.request(kept, 0.0))[0] != 200:
                await curio.sleep(0.1)
        unfinished = await curio.spawn(gateways.request, early, 9.0)
        late = gateways.client(program)
        response = await late.open("GET", "/none/", [("host", "h.example")], b"")
        await response.read_all(1.0)
        began = time.monotonic()
        program.signal(signal.SIGTERM)
        await curio.sleep(EXCUSED_S - 0.2 - (time.monotonic() - began))
        before = len(gateways.upstreams.arrivals["desk1"])
        with contextlib.suppress(TransportError):
            assert (await gateways.request(late, 5.5))[0] == 503
        assert len(gateways.upstreams.arrivals["desk1"]) == before
        status, _ = await unfinished.join()
        assert (status, time.monotonic() - began < STOP_GRACE_S) == (502, True)
        status = await curio.run_in_thread(program.end, STOP_GRACE_S)
        assert (status, time.monotonic() - began < STOP_GRACE_S) == (0, True)

    run_with_gateways(tmp_path, check)


# Guards: SIGHUP while the code was being loaded ended the process.
def test_a_process_that_is_starting_goes_on_after_sighup(tmp_path: Path) -> None:
    gateways = Gateways(tmp_path)

    async def main() -> None:
        (program,) = gateways.programs
        gateways.store.put("op/config", configuration(3))
        await gateways.store.start(program.store, program.name)
        program.start()
        async with curio.timeout_after(START_S):
            while True:
                try:
                    sock = await curio.open_connection(program.callers.ip, program.callers.port)
                except OSError:
                    await curio.sleep(0.005)
                else:
                    break
        await sock.close()
        program.signal(signal.SIGHUP)
        async with curio.timeout_after(START_S):
            while not await gateways.is_ready(program):
                assert program.runs
                await curio.sleep(0.02)

    try:
        curio.run(main)
    finally:
        gateways.end()
