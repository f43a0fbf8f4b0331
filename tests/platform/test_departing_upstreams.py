"""Upstreams that announce in their answers that they are leaving or temporarily full."""

import time
from dataclasses import replace
from typing import Any

import curio
import pytest

from tests.platform.test_gateway import run_check
from tests.platform.upstreams import GatewayBench, events, reply, sends, stream

OK = reply(200, b"ok")
LEAVING = reply(200, b"ok", Server_Leaving="1")


def refusal(retry_after: str, **headers: str) -> bytes:
    return reply(503, X_Bluebellrun_Not_Run="1", Retry_After=retry_after, **headers)


async def request_repeatedly(
    bench: GatewayBench, path: str = "/ask/a", times: int = 12
) -> set[int]:
    return {(await bench.send_request(path, "POST", b"x")).status for _ in range(times)}


@pytest.mark.parametrize("answer", [LEAVING, refusal("0", Server_Leaving="1")])
@pytest.mark.parametrize("path", ["/ask/a", "/once/a"])
def test_a_leaving_upstream_gets_no_further_request(path, answer):
    async def check(bench: GatewayBench) -> None:
        await bench.send_request(path, "POST", b"x")
        assert (await bench.send_request(path, "POST", b"x")).status == 503
        await bench.add("stays", sends(OK))
        assert await request_repeatedly(bench, path) == {200}

    bench = run_check(check, ("leaves", sends(answer)))
    assert bench.names() == ["leaves", *["stays"] * 12]


def test_an_older_registration_does_not_undo_a_leaving_notice():
    async def check(bench: GatewayBench) -> None:
        registered = bench.directory.find("leaves")
        assert registered is not None
        assert (await bench.send_request("/ask/a")).status == 200
        bench.directory.put(registered)
        bench.directory.replace_all({"leaves": registered}, 0.0)
        assert (await bench.send_request("/ask/a")).status == 503
        bench.directory.put(replace(registered, started_ms=registered.started_ms + 1))
        assert (await bench.send_request("/ask/a")).status == 200

    assert len(run_check(check, ("leaves", sends(LEAVING))).arrivals) == 2


def test_a_late_leaving_notice_of_a_former_incarnation_does_not_affect_its_successor():
    release = curio.Event()

    async def answers_late(sock: Any, arrival: Any) -> None:
        await release.wait()
        await sock.sendall(LEAVING)

    async def check(bench: GatewayBench) -> None:
        waiting = await curio.spawn(bench.send_request, "/ask/a")
        while not bench.arrivals:
            await curio.sleep(0.01)
        former = bench.directory.find("one")
        assert former is not None
        bench.directory.put(replace(former, started_ms=former.started_ms + 1))
        await release.set()
        await waiting.join()
        assert (await bench.send_request("/ask/a")).status == 200

    assert len(run_check(check, ("one", answers_late)).arrivals) == 2


def test_a_broken_stream_is_not_resumed_at_a_leaving_upstream():
    async def once_then_cuts(sock: Any, arrival: Any) -> None:
        await sock.sendall(stream(1, complete=False))
        await sock.close()

    async def check(bench: GatewayBench) -> None:
        leaving = bench.directory.find("leaves")
        assert leaving is not None
        bench.fleet.mark_leaving(leaving.incarnation, 0.0)
        answer = await bench.send_request("/talk/a", "POST", b"x")
        assert not answer.is_complete
        assert answer.body == events(1)

    bench = run_check(check, ("cuts", once_then_cuts), ("leaves", sends(stream(2))))
    assert set(bench.names()) == {"cuts"}


@pytest.mark.parametrize("retry_after", ["0.4", "1"])
def test_an_upstream_gets_no_request_during_its_retry_after(retry_after):
    async def check(bench: GatewayBench) -> None:
        assert await request_repeatedly(bench) == {200}
        await curio.sleep(float(retry_after))
        before = bench.names().count("busy")
        assert await request_repeatedly(bench) == {200}
        assert bench.names().count("busy") > before

    bench = run_check(check, ("busy", sends(refusal(retry_after))), ("free", sends(OK)))
    assert bench.names().count("busy") <= 2


def test_if_all_upstreams_refuse_the_caller_gets_the_earliest_retry_after():
    async def check(bench: GatewayBench) -> None:
        answers = [await bench.send_request("/ask/a") for _ in range(8)]
        assert {answer.status for answer in answers} == {503}
        times = [float(answer.headers["retry-after"]) for answer in answers[2:]]
        assert all(2.9 <= seconds <= 4.5 for seconds in times)
        assert len(set(times)) > 1

    bench = run_check(check, ("u1", sends(refusal("3"))), ("u2", sends(refusal("5"))))
    assert sorted(bench.names()) == ["u1", "u2"]


@pytest.mark.parametrize(
    "retry_after", ["soon", "-1", "nan", "inf", "Fri, 04 Dec 2026 12:00:00 GMT", ""]
)
def test_a_malformed_retry_after_is_ignored(retry_after):
    async def check(bench: GatewayBench) -> None:
        await request_repeatedly(bench, times=4)

    bench = run_check(check, ("busy", sends(refusal(retry_after))))
    assert len(bench.arrivals) >= 3


def test_a_callers_retry_is_sent_again_once_its_upstream_accepts_requests():
    async def check(bench: GatewayBench) -> None:
        for _ in range(20):
            bench.gateway._retry_detector.is_retry("ask", 8.0, 0.9)
        assert (await bench.send_request("/ask/a", deadline="8000")).status == 503
        began = time.monotonic()
        assert (await bench.send_request("/ask/a", deadline="5000")).status == 200
        assert time.monotonic() - began < 0.8

    async def is_full_at_first(sock: Any, arrival: Any) -> None:
        full = time.monotonic() < first_request_at[0] + 0.3 if first_request_at else True
        if not first_request_at:
            first_request_at.append(time.monotonic())
        await sock.sendall(reply(503, X_Bluebellrun_Not_Run="1") if full else OK)

    first_request_at: list[float] = []
    run_check(check, ("u1", is_full_at_first))
