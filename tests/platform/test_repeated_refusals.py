"""Upstreams that write an earlier refusal once more on a kept connection."""

from typing import Any

import curio
import pytest

from tests.platform.test_gateway import run_check
from tests.platform.upstreams import Arrival, GatewayBench, reply

REFUSAL = reply(503, b"full", X_Bluebellrun_Not_Run="1")


class RepeatsRefusals:
    """Refuse the first requests, and write the last refusal of a connection again before answers.

    ``ran`` are the requests that ran, by upstream.
    """

    def __init__(self, refusal: bytes, refused: int) -> None:
        self._refusal = refusal
        self._refused = refused
        self._connections: set[int] = set()
        self.ran: list[str] = []

    async def __call__(self, sock: Any, arrival: Arrival) -> None:
        if self._refused > 0:
            self._refused -= 1
            self._connections.add(id(sock))
            await sock.sendall(self._refusal)
            return
        request = arrival.headers["x-bluebellrun-request-id"]
        self.ran.append(request)
        repeated = self._refusal if id(sock) in self._connections else b""
        ran = reply(200, b"ran", request, X_Bluebellrun_Server_Stamp="st")
        await sock.sendall(repeated + ran)


# Guards: a request that was refused and sent again on the same connection got the first refusal
# once more while it ran: it ran twice, or its caller was told that it had not (TWICE, REFUSED).
def test_a_repeated_refusal_is_not_taken_for_that_of_a_later_attempt():
    script = RepeatsRefusals(REFUSAL, 2)

    async def check(bench: GatewayBench) -> None:
        for _ in range(20):
            bench.gateway._retry_detector.is_retry("once", 8.0, 2.0)
        answer = await bench.send_request("/once/a", "POST", b"x", deadline="1900")
        assert (answer.status, answer.body) == (200, b"ran")

    run_check(check, ("u1", script))
    assert script.ran == ["r1"]


# Guards: a refusal that names no request was taken for the answer to the next one.
@pytest.mark.parametrize("status", [503, 429])
def test_a_refusal_that_names_no_request_is_no_promise_on_a_kept_connection(status):
    unnamed = f"HTTP/1.1 {status} X\r\nX-Bluebellrun-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    script = RepeatsRefusals(unnamed.encode(), 1)

    async def check(bench: GatewayBench) -> None:
        first = await bench.send_request("/once/a", "POST", b"x", request="r1")
        assert first.status == 503
        second = await bench.send_request("/once/a", "POST", b"x", request="r2")
        assert second.status == 502

    run_check(check, ("u1", script))
    assert script.ran == ["r2"]


def test_a_refusal_that_names_no_request_is_one_on_a_new_connection():
    script = RepeatsRefusals(
        b"HTTP/1.1 503 X\r\nX-Bluebellrun-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 1
    )

    async def check(bench: GatewayBench) -> None:
        refused = await bench.send_request("/once/a", "POST", b"x")
        assert (refused.status, "retry-after" in refused.headers) == (503, True)

    run_check(check, ("u1", script))


def test_a_repeated_refusal_of_another_request_is_skipped():
    script = RepeatsRefusals(REFUSAL, 1)

    async def check(bench: GatewayBench) -> None:
        assert (await bench.send_request("/once/a", "POST", b"x", request="r1")).status == 503
        await curio.sleep(0.1)
        second = await bench.send_request("/once/a", "POST", b"x", request="r2")
        assert second.status == 200

    run_check(check, ("u1", script))
    assert script.ran == ["r2"]
