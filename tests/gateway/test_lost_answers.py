"""Single answers of the store that are lost, while it serves everybody."""

import time
from collections.abc import Callable
from pathlib import Path

import curio
import pytest

from bluebellrun.http import HttpClient
from tests.gateway.processes import (
    OTHER_SERVICE,
    SERVICE,
    Gateways,
    configuration,
    run_with_gateways,
)

# A process that lost an answer is in touch again after CALM_S; a change has to be in force
# APPLY_S after it was confirmed, and an upstream gets no requests DRAIN_S after it left.
CALM_S, APPLY_S, DRAIN_S = 3.0, 2.0, 2.0
PAUSE_S = 0.05
# Of each gateway at a time, so that each upstream gets some.
CALLERS, WORK_S = 3, 0.05
LOSSES = ((1, 1), (2, 1), (2, 2))


async def start_serving(gateways: Gateways) -> list[HttpClient]:
    """Start upstreams and wait until each gateway sends requests to them."""
    for number in (1, 2):
        await gateways.upstreams.start(gateways.store, f"desk{number}", SERVICE)
    await gateways.upstreams.start(gateways.store, "archive1", OTHER_SERVICE)
    clients = [gateways.client(program) for program in gateways.programs]
    async with curio.timeout_after(5.0):
        for client in clients:
            while (await gateways.request(client, 0.0))[0] != 200:
                await curio.sleep(PAUSE_S)
    # The watches that told of the upstreams have ended, and those after them are waiting.
    await curio.sleep(0.5)
    return clients


async def lose_answer_to(gateways: Gateways, losing: int, change: Callable[[], None]) -> float:
    """Make a change of which some gateways get no answer; return when the last one was lost."""
    store = gateways.store
    store.lose_watches_of = {program.name for program in gateways.programs[:losing]}
    change()
    await gateways.until(lambda: not store.lose_watches_of, 1.0)
    return max(store.lost_at.values())


async def served_by(gateways: Gateways, client: HttpClient) -> str:
    """Return the upstream that answers a request."""
    status, body = await gateways.request(client, 0.0)
    assert status == 200
    return body.decode()


# Guards: a gateway that missed the answer with a configuration found out after it had to be in
# force, and let the old service run requests.
@pytest.mark.parametrize(("count", "losing"), LOSSES)
def test_a_configuration_whose_answer_was_lost_is_in_force_in_time(
    tmp_path: Path, count: int, losing: int
) -> None:
    async def check(gateways: Gateways) -> None:
        clients = await start_serving(gateways)
        value = configuration(7, OTHER_SERVICE)
        lost_at = await lose_answer_to(
            gateways, losing, lambda: gateways.store.put("op/config", value)
        )
        assert (await served_by(gateways, clients[0])).startswith(SERVICE)
        await curio.sleep(lost_at + CALM_S - time.monotonic())
        for client in clients:
            assert await served_by(gateways, client) == "archive1"

    run_with_gateways(tmp_path, check, count)


# Guards: after one lost answer each removal counted as a lapse of the registration, and an
# upstream that had left got requests for too long.
@pytest.mark.parametrize(("count", "losing"), LOSSES)
@pytest.mark.parametrize("removed_s", [0.0, CALM_S + 0.15])
def test_an_upstream_that_left_after_a_lost_answer_gets_no_requests(
    tmp_path: Path, count: int, losing: int, removed_s: float
) -> None:
    async def check(gateways: Gateways) -> None:
        clients = await start_serving(gateways)
        store, arrivals = gateways.store, gateways.upstreams.arrivals["desk1"]

        async def call(client: HttpClient) -> None:
            while True:
                assert (await gateways.request(client, WORK_S))[0] == 200

        callers = [await curio.spawn(call, client) for client in clients for _ in range(CALLERS)]
        await gateways.until(lambda: arrivals)
        if removed_s:
            lost_at = await lose_answer_to(gateways, losing, lambda: store.put("unread", b""))
            await curio.sleep(lost_at + removed_s - time.monotonic())
            store.delete("servers/desk1")
        else:
            lost_at = await lose_answer_to(gateways, losing, lambda: store.delete("servers/desk1"))
        removed_at = time.monotonic()
        allowed_s = max(DRAIN_S, lost_at + CALM_S - removed_at)
        await curio.sleep(allowed_s + 0.5)
        for caller in callers:
            assert not caller.terminated
            await caller.cancel()
        assert arrivals[-1] - removed_at < allowed_s

    run_with_gateways(tmp_path, check, count)
