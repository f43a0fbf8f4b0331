"""Evacuations and cold upstreams in gateway processes, with a store that loses answers."""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import ClientTimeouts, HttpClient
from tests.gateway.processes import (
    METRICS_PORT,
    SERVICE,
    Gateways,
    configuration,
    run_with_gateways,
)
from tests.gateway.test_lost_answers import CALM_S, lose_answer_to

# An evacuation is in force this long after it was stored, where no answer is lost.
PROMPT_S = 0.8
PAUSE_S = 0.02
COLD_S, COLD_PER_S = 4.0, 2.0
BOUND = 1.5 * COLD_PER_S + 5.0


async def call_steadily(gateways: Gateways, client: HttpClient) -> None:
    while True:
        assert (await gateways.request(client, 0.01))[0] == 200
        await curio.sleep(PAUSE_S)


def run_with_callers(
    folder: Path, check: Callable[[Gateways], Awaitable[None]], count: int = 2
) -> None:
    """Run a check while callers send requests that two upstreams in two domains can serve."""

    async def check_with_callers(gateways: Gateways) -> None:
        store, upstreams = gateways.store, gateways.upstreams
        store.put("op/config", configuration(4, cold_s=COLD_S, cold_per_s=COLD_PER_S))
        await upstreams.start(store, "desk1", SERVICE, "a")
        await upstreams.start(store, "desk2", SERVICE, "b")
        clients = [gateways.client(program) for program in gateways.programs for _ in range(2)]
        for client in clients:
            while (await gateways.request(client, 0.0))[0] != 200:
                await curio.sleep(PAUSE_S)
        callers = [await curio.spawn(call_steadily, gateways, client) for client in clients]
        # Gateways use cold upstreams once each has read the registrations of all.
        await curio.sleep(3.0)
        assert all(upstreams.arrivals.values())
        await check(gateways)
        for caller in callers:
            assert not caller.terminated
            await caller.cancel()

    run_with_gateways(folder, check_with_callers, count)


async def metric(ip: str, name: str) -> float:
    """Return the value of a gateway's metric."""
    client = HttpClient(Address(ip, METRICS_PORT), ClientTimeouts(1.0, 1.0, 1.0))
    _, text = await client.fetch("GET", "/metrics", [])
    await client.close()
    return next(
        float(line.split()[1]) for line in text.decode().splitlines() if line.startswith(f"{name} ")
    )


def most_in_a_second(times: list[float], since: float) -> int:
    times = [at for at in times if at >= since]
    return max((sum(0 <= at - start < 1.0 for at in times) for start in times), default=0)


# Guards: a gateway that missed the answer sent to the domain until it read the store again.
@pytest.mark.parametrize("losing", [0, 2])
def test_no_request_reaches_an_evacuated_domain_and_its_return_is_bounded(
    tmp_path: Path, losing: int
) -> None:
    async def check(gateways: Gateways) -> None:
        store, arrivals = gateways.store, gateways.upstreams.arrivals["desk1"]
        if losing:
            began = await lose_answer_to(
                gateways, losing, lambda: store.put("op/evacuate/a", b"{}")
            )
        else:
            began = time.monotonic()
            store.put("op/evacuate/a", b"{}")
        allowed_s = CALM_S if losing else PROMPT_S
        await curio.sleep(allowed_s + 1.0)
        assert arrivals[-1] < began + allowed_s
        for program in gateways.programs:
            assert await metric(program.callers.ip, "bluebellrun_evacuated_domains") == 1.0
        withdrawn = time.monotonic()
        store.delete("op/evacuate/a")
        await gateways.until(lambda: arrivals[-1] > withdrawn, 3.0)
        await curio.sleep(COLD_S - 1.0)
        assert most_in_a_second(arrivals, withdrawn) <= BOUND
        for program in gateways.programs:
            assert await metric(program.callers.ip, "bluebellrun_cold_upstreams") == 1.0
        await gateways.until(lambda: most_in_a_second(arrivals, withdrawn) > BOUND, 5.0)

    run_with_callers(tmp_path, check)


def test_an_upstream_that_starts_anew_amid_work_is_kept_to_its_bound(tmp_path: Path) -> None:
    async def check(gateways: Gateways) -> None:
        store, arrivals = gateways.store, gateways.upstreams.arrivals["desk1"]
        gateways.upstreams.register(store, "desk1", born=2)
        known = time.monotonic() + PROMPT_S
        await curio.sleep(PROMPT_S + COLD_S - 1.5)
        assert 0 < most_in_a_second(arrivals, known) <= BOUND

    run_with_callers(tmp_path, check)
