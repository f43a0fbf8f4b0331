"""Upstreams that name in their answers how many requests a second they take."""

import time
from typing import Any

import curio

from tests.platform.test_gateway import run_check
from tests.platform.upstreams import GatewayBench, reply

WINDOW_S = 4.0
# Beyond one and a half times the limit, requests within any window that its upstream bears.
SLACK = 5


def limited(per_s: str, **headers: str) -> bytes:
    return reply(200, b"ok", Server_Limit=per_s, **headers)


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times within any window."""
    return max((sum(0 <= at - start <= WINDOW_S for at in times) for start in times), default=0)


def allowed(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_S + SLACK


class ArrivalTimes:
    """A script that answers and records when requests arrive."""

    def __init__(self, answer: bytes, takes_s: float = 0.0) -> None:
        self.answer = answer
        self.takes_s = takes_s
        self.times: list[float] = []

    async def __call__(self, sock: Any, arrival: Any) -> None:
        self.times.append(time.monotonic())
        await curio.sleep(self.takes_s)
        await sock.sendall(self.answer)


async def send_burst(
    bench: GatewayBench, times: int, gap_s: float, path: str = "/ask/a"
) -> list[int]:
    """Send requests at a steady rate and return their statuses in order."""
    tasks = []
    for _ in range(times):
        tasks.append(await curio.spawn(bench.send_request, path, "POST", b"x"))
        await curio.sleep(gap_s)
    return [(await task.join()).status for task in tasks]


# Guards: upstreams that had named a limit of 1 request a second got 14 to 20 in 4 s.
def test_an_upstream_gets_no_more_than_the_limit_that_it_names():
    limits, free = ArrivalTimes(limited("1")), ArrivalTimes(reply(200, b"ok"), takes_s=0.03)

    async def check(bench: GatewayBench) -> None:
        assert set(await send_burst(bench, 100, 0.02)) == {200}

    run_check(check, ("limited", limits), ("free", free))
    assert most_in_window(limits.times) <= allowed(1)


def test_a_request_that_fits_nowhere_is_refused_at_once():
    limits = [ArrivalTimes(limited("2")) for _ in range(2)]

    async def check(bench: GatewayBench) -> None:
        assert (await bench.send_request("/ask/a")).status == 200
        assert (await bench.send_request("/ask/a")).status == 200
        began = time.monotonic()
        statuses = await send_burst(bench, 100, 0.02)
        assert time.monotonic() - began < 100 * 0.02 + 1.0
        assert statuses.count(200) >= 6
        assert set(statuses) == {200, 503}
        refused = await bench.send_request("/ask/a")
        while refused.status == 200:
            refused = await bench.send_request("/ask/a")
        assert 0 < float(refused.headers["retry-after"]) <= 1.5

    run_check(check, *((f"u{number}", script) for number, script in enumerate(limits)))
    assert all(most_in_window(script.times) <= allowed(2) for script in limits)
