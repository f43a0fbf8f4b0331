"""Single answers of the store that are lost, while it serves everybody."""

import time
from pathlib import Path

import curio
import pytest

from bluebellrun.http import HttpClient
from tests.gateway.processes import (
    OTHER_SERVICE,
    SERVICE,
    Gateways,
    run_with_gateways,
)

# A process that lost an answer is in touch again after CALM_S; a change has to be in force
# APPLY_S after it was confirmed, and an upstream gets no requests DRAIN_S after it left.
CALM_S, DRAIN_S = 3.0, 2.0
PAUSE_S = 0.05
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


async def lose_answers(gateways: Gateways, count: int) -> None:
    """Lose the answer to the next change for some gateways."""
    gateways.store.lose_watches_of = {program.name for program in gateways.programs[:count]}


async def served_by(gateways: Gateways, client: HttpClient) -> str:
    """Return the upstream that answers a request."""
    status, body = await gateways.request(client, 0.0)
    assert status == 200
    return body.decode()


# Guards: after one lost answer each removal counted as a lapse of the registration, and an
# upstream that had left got requests for too long.
@pytest.mark.parametrize(("count", "losing"), LOSSES)
@pytest.mark.parametrize("removed_s", [CALM_S + 0.15])
def test_an_upstream_that_left_after_a_lost_answer_gets_no_requests(
    tmp_path: Path, count: int, losing: int, removed_s: float
) -> None:
    async def check(gateways: Gateways) -> None:
        clients = await start_serving(gateways)
        await lose_answers(gateways, losing)
        lost_at = time.monotonic()
        if removed_s:
            gateways.store.put("unread", b"")
            await curio.sleep(removed_s)
        gateways.store.delete("servers/desk1")
        removed_at = time.monotonic()
        bound = max(removed_at + DRAIN_S, lost_at + CALM_S)
        while time.monotonic() < bound + 0.5:
            for client in clients:
                await served_by(gateways, client)
            await curio.sleep(PAUSE_S)
        assert not gateways.store.lose_watches_of
        arrivals = gateways.upstreams.arrivals["desk1"]
        assert arrivals[-1] - removed_at < bound - removed_at

    run_with_gateways(tmp_path, check, count)
