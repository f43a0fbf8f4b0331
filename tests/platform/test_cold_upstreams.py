"""Cold upstreams: what the platform says of them, and requests around them (FAILBACK)."""

import json
import time
from dataclasses import replace
from itertools import pairwise
from typing import Any

import curio
import pytest

from bluebellrun.deployment import ServiceTerms
from bluebellrun.gateway._cold_permits import REGISTRATION_READ_S
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._limit_permits import LimitPermits
from bluebellrun.gateway._peers import PeerTable
from bluebellrun.platform import PlatformWire
from bluebellrun.platform._configuration import read_configuration
from bluebellrun.platform._registrations import RegistrationError, read_registration
from tests.platform.test_limited_upstreams import ArrivalTimes
from tests.platform.test_settings import SETTINGS, read_settings, write_settings
from tests.platform.test_view import Watched, registration
from tests.platform.test_view import run_check as run_view_check
from tests.platform.upstreams import GatewayBench, reply

COLD_S, PER_S = 5.0, 4.0
BOUND = PER_S * 1.5 + 5.0


def terms(service: str) -> ServiceTerms:
    return ServiceTerms(service, "", 5, None, (), COLD_S, PER_S)


def test_the_platforms_names_of_cold_upstreams_are_read(tmp_path):
    stored = {
        "version": 1,
        "services": [{"name": "s", "cold_s": 8, "cold_per_s": 2}, {"name": "t"}],
    }
    services = read_configuration(json.dumps(stored).encode(), 1).services
    assert (services["s"].cold_s, services["s"].cold_per_s) == (8.0, 2.0)
    assert (services["t"].cold_s, services["t"].cold_per_s) == (0.0, 0.0)
    assert read_registration("servers/i", registration(cold_left_ms=2500)).cold_left_s == 2.5
    assert read_registration("servers/i", registration()).cold_left_s == 0.0
    with pytest.raises(RegistrationError):
        read_registration("servers/i", registration(cold_left_ms="soon"))
    wire = PlatformWire()
    for text, cold_s in (("1500", 1.5), ("0", 0.0), ("soon", None), ("-1", None), ("1e9", None)):
        assert wire.read_answer(200, [("x-bluebellrun-cold-ms", text)]).cold_s == cold_s
    assert wire.read_answer(200, []).cold_s is None
    bounds = read_settings(write_settings(tmp_path, SETTINGS)).bounds
    assert (bounds.evacuation_s, bounds.cold_excess, bounds.cold_slack) == (5.0, 1.5, 5.0)
    text = SETTINGS.replace("[bounds]", "[bounds]\nevac_ms = 900\ncold_excess = 2\ncold_slack = 1")
    bounds = read_settings(write_settings(tmp_path, text)).bounds
    assert (bounds.evacuation_s, bounds.cold_excess, bounds.cold_slack) == (0.9, 2.0, 1.0)


def run_check(check: Any, *scripts: Any, per_s: float = PER_S) -> GatewayBench:
    """Run a check against a gateway that is the only one, and counted."""
    bench = GatewayBench()

    async def main() -> None:
        cold = ColdUpstreams(lambda service: replace(terms(service), cold_per_s=per_s))
        permits = LimitPermits(PeerTable("h"), cold=cold)
        permits.set_registered(1)
        permits.record_registered(time.monotonic() - REGISTRATION_READ_S)
        bench.fleet._permits = permits
        await bench.start(*scripts)
        await check(bench)

    curio.run(main)
    return bench


async def send_steadily(bench: GatewayBench, times: int, gap_s: float) -> list[int]:
    tasks = []
    for _ in range(times):
        tasks.append(await curio.spawn(bench.send_request, "/ask/a"))
        await curio.sleep(gap_s)
    return [(await task.join()).status for task in tasks]


def most_in_a_second(times: list[float]) -> int:
    return max((sum(0 <= at - start < 1.0 for at in times) for start in times), default=0)


def test_requests_beyond_the_bound_go_to_warm_upstreams_unnoticed():
    cold = ArrivalTimes(reply(200, b"ok", X_Bluebellrun_Cold_Ms="4000"), 0.02)
    warm = ArrivalTimes(reply(200, b"ok"), 0.02)

    async def check(bench: GatewayBench) -> None:
        assert await send_steadily(bench, 120, 0.02) == [200] * 120

    run_check(check, ("cold", cold), ("warm", warm))
    assert 2 <= most_in_a_second(cold.times) <= BOUND
    assert len(warm.times) + len(cold.times) == 120


def test_a_single_cold_upstream_serves_its_rate_and_the_rest_is_refused_with_a_time():
    cold = ArrivalTimes(reply(200, b"ok", X_Bluebellrun_Cold_Ms="4000"), 0.02)

    async def check(bench: GatewayBench) -> None:
        assert set(await send_steadily(bench, 60, 0.02)) == {200, 503}
        refused = await bench.send_request("/ask/a")
        while refused.status == 200:
            refused = await bench.send_request("/ask/a")
        assert float(refused.headers["retry-after"]) < 2.0

    run_check(check, ("cold", cold))
    assert most_in_a_second(cold.times) <= BOUND


# Guards: a new request was refused though a permit was free a moment later.
def test_at_the_rate_of_a_cold_service_no_request_is_refused():
    cold = ArrivalTimes(reply(200, b"ok", X_Bluebellrun_Cold_Ms="4000"), 0.02)

    async def check(bench: GatewayBench) -> None:
        await bench.send_request("/ask/a")
        await curio.sleep(1.0)
        assert await send_steadily(bench, 10, 1.25 / PER_S) == [200] * 10

    run_check(check, ("cold", cold))


def test_a_new_request_waits_a_moment_for_the_next_permit():
    cold = ArrivalTimes(reply(200, b"ok", X_Bluebellrun_Cold_Ms="4000"))

    async def check(bench: GatewayBench) -> None:
        await bench.send_request("/ask/a")
        await curio.sleep(1.0)
        assert await send_steadily(bench, 4, 0.0) == [200] * 4
        gaps = [after - before for before, after in pairwise(cold.times[1:])]
        assert max(gaps) > 0.03

    # The burst is 3.6, and the rate 8.7 a second.
    run_check(check, ("cold", cold), per_s=16.0)


def test_a_domain_is_cold_when_its_evacuation_ends():
    async def check(watched: Watched) -> None:
        cold = ColdUpstreams(terms)
        watched.fake.put("servers/i1", registration())
        watched.fake.put("servers/i2", registration(zone="b", addr="10.0.0.2:80"))
        watched.fake.put("op/evacuate/a", b"{}")
        await watched.start(cold)
        await watched.until(lambda: watched.usable() == ["i2"])
        watched.fake.delete("op/evacuate/a")
        await watched.until(lambda: watched.usable() == ["i1", "i2"])
        one, two = (watched.directory.find(name) for name in ("i1", "i2"))
        assert one is not None
        assert two is not None
        now = time.monotonic()
        assert COLD_S - 1 < cold.left_s(one, now) <= COLD_S
        assert cold.left_s(two, now) == 0.0
        # A release: the same address, a new incarnation, while there is traffic.
        cold.record_traffic()
        watched.fake.put("servers/i3", registration(born=5, addr="10.0.0.2:80"))
        await watched.until(lambda: "i3" in watched.usable())
        three = watched.directory.find("i3")
        assert three is not None
        assert cold.left_s(three, time.monotonic()) > 0.0

    run_view_check(check)
