"""Upstreams that name in their answers how many requests a second they take."""

import time
from dataclasses import replace
from typing import Any

import curio
import pytest

from tests.platform.test_gateway import run_check
from tests.platform.upstreams import GatewayBench, events, reply, stream

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
        assert b"at their rate limits" in refused.body
        assert 0 < float(refused.headers["retry-after"]) <= 1.5

    run_check(check, *((f"u{number}", script) for number, script in enumerate(limits)))
    assert all(most_in_window(script.times) <= allowed(2) for script in limits)


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf", "1e3", "", "1,5"])
def test_a_limit_that_is_no_number_changes_nothing(value):
    answers = [limited("2"), limited(value)]

    async def check(bench: GatewayBench) -> None:
        upstream = bench.directory.find("u1")
        assert upstream is not None
        script.answer = answers[1]
        assert (await bench.send_request("/ask/a")).status == 200
        assert bench.fleet.permits.rate(upstream) is None
        script.answer = answers[0]
        assert (await bench.send_request("/ask/a")).status == 200
        script.answer = answers[1]
        await curio.sleep(0.6)
        assert (await bench.send_request("/ask/a")).status == 200
        assert bench.fleet.permits.rate(upstream) == 2.0

    script = ArrivalTimes(answers[0])
    run_check(check, ("u1", script))


def test_a_limit_ends_with_the_answers_that_name_it():
    script = ArrivalTimes(limited("1"))

    async def check(bench: GatewayBench) -> None:
        assert (await bench.send_request("/ask/a")).status == 200
        assert (await bench.send_request("/ask/a")).status == 503
        script.answer = reply(200, b"ok")
        await curio.sleep(1.05)
        assert set(await send_burst(bench, 20, 0.01)) == {200}

    run_check(check, ("u1", script))


def test_retries_count_and_are_made_where_there_is_room():
    failing = ArrivalTimes(reply(503, X_Bluebellrun_Not_Run="1", Server_Limit="1"))

    async def check(bench: GatewayBench) -> None:
        assert set(await send_burst(bench, 100, 0.02)) == {200}

    run_check(check, ("failing", failing), ("free", ArrivalTimes(reply(200, b"ok"), 0.03)))
    assert most_in_window(failing.times) <= allowed(1)


def test_a_broken_stream_waits_for_a_permit_and_is_resumed():
    async def breaks_off(sock: Any, arrival: Any) -> None:
        resumed = "last-event-id" in arrival.headers
        head = stream(2, 3) if resumed else stream(1, complete=False)
        await sock.sendall(head.replace(b"200 OK\r\n", b"200 OK\r\nServer-Limit: 1.5\r\n"))
        await sock.close()

    async def check(bench: GatewayBench) -> None:
        answer = await bench.send_request("/talk/a", "POST", b"x")
        assert answer.is_complete
        assert answer.body == events(1, 2, 3)

    bench = run_check(check, ("u1", breaks_off))
    assert bench.names() == ["u1", "u1"]


def test_a_limit_does_not_bind_the_next_incarnation():
    async def check(bench: GatewayBench) -> None:
        assert (await bench.send_request("/ask/a")).status == 200
        assert (await bench.send_request("/ask/a")).status == 503
        former = bench.directory.find("u1")
        assert former is not None
        bench.directory.put(replace(former, started_ms=former.started_ms + 1))
        assert (await bench.send_request("/ask/a")).status == 200

    run_check(check, ("u1", ArrivalTimes(limited("0.1"))))
