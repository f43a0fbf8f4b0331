"""Requests whose prompts crash the upstreams that answer them, through the gateway."""

import time
from typing import Any

import curio
import pytest

from bluebellrun.quarantine import QuarantineSettings
from tests.platform.upstreams import (
    Arrival,
    GatewayBench,
    crashes_under,
    is_silent,
    reply,
    sends,
    stream,
    unframed,
)

UPSTREAMS = ("u1", "u2", "u3", "u4")
SOUND = "a1:40,b2:30"
CRASHING = "a1:40,dead:30,c3:20"
HEAD = stream(complete=False)
MAX_CRASHES = 2


async def start(bench: GatewayBench, before: bytes = HEAD) -> None:
    """Start the gateway and its upstreams, which crash under a part after sending ``before``."""
    script = crashes_under(bench, "dead", stream(1, 2), before)
    await bench.start(*((name, script) for name in UPSTREAMS))


# Guards against requests with one prompt part ending one replica after the other.
@pytest.mark.parametrize(
    "before", [HEAD, unframed(), b""], ids=["with head", "with unframed head", "without head"]
)
def test_a_prompt_part_that_crashes_upstreams_ends_two_of_them_at_most(before):
    async def main() -> None:
        bench = GatewayBench()
        await start(bench, before)
        await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=SOUND)
        for _ in range(8):
            await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=CRASHING)
            await bench.restart_crashed()
        assert 1 <= len(bench.crashed) <= MAX_CRASHES

    curio.run(main)


# Guards against one whole prompt, whose shared parts are sound, ending one replica after the other.
def test_a_whole_prompt_that_crashes_upstreams_ends_one_of_them():
    async def main() -> None:
        bench = GatewayBench()
        script = crashes_under(bench, "dead", stream(1, 2), HEAD)
        await bench.start(*((name, script) for name in UPSTREAMS))
        for number in range(8):
            sound = f"a1:40,b2:30,e{number}:20"
            answer = await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=sound)
            assert answer.status == 200
            deadly = "a1:40,b2:30,dead:20"
            await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=deadly)
            await bench.restart_crashed()
        assert len(bench.crashed) == 1

    curio.run(main)


# Guards against carrying the request under which a replica ended on to the next replica.
def test_a_request_under_which_an_upstream_crashed_is_not_sent_to_another():
    async def main() -> None:
        bench = GatewayBench()
        await start(bench)
        await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=SOUND)
        answer = await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=CRASHING)
        assert len(bench.crashed) == 1
        assert answer.status == 502

    curio.run(main)


# Guards against refusing prompts because of an upstream that only broke off an answer.
@pytest.mark.parametrize("before", [HEAD, unframed(), b""])
def test_an_upstream_that_closes_a_connection_and_goes_on_accuses_no_prompt(before):
    async def main() -> None:
        bench = GatewayBench()
        remaining = [1, 1, 1, 1]

        async def breaks_off_at_first(sock: Any, arrival: Arrival) -> None:
            if remaining:
                remaining.pop()
                await sock.sendall(before)
                await sock.close()
            else:
                await sock.sendall(stream(1, 2))

        await bench.start(*((name, breaks_off_at_first) for name in UPSTREAMS))
        statuses = [
            (await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=SOUND)).status
            for _ in range(4)
        ]
        assert statuses[-1] == 200
        assert 422 not in statuses and 503 not in statuses

    curio.run(main)


def test_a_silent_upstream_accuses_no_prompt():
    async def main() -> None:
        bench = GatewayBench()
        await bench.start(("u1", is_silent))
        headers = {"X_Bluebellrun_Prefix_Hash": SOUND, "deadline": "300"}
        await bench.send_request("/ask/a", **headers)
        bench.directory.remove("u1")
        await bench.add("u2", sends(reply(200)))
        assert (await bench.send_request("/ask/a", **headers)).status == 200

    curio.run(main)


def test_a_prompt_whose_parts_may_not_be_sent_gets_its_final_answer_at_once():
    async def main() -> None:
        bench = GatewayBench()
        await start(bench)
        for number in range(MAX_CRASHES):
            bench.gateway._guard._quarantine.record_crash(
                "s", (f"x{number}", 1), ["dead"], beginning=True, now=time.monotonic() - 5
            )
        started = time.monotonic()
        answer = await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=CRASHING)
        assert answer.status == 422
        assert "retry-after" not in answer.headers
        assert time.monotonic() - started < 0.3
        assert bench.arrivals == []

    curio.run(main)


# Guards against holding a request that is refused for its prompt until its caller gives up.
def test_a_caller_that_comes_back_with_a_crashing_prompt_is_not_held():
    async def main() -> None:
        bench = GatewayBench()
        await start(bench)
        quarantine = bench.gateway._guard._quarantine
        quarantine.record_crash("s", ("x", 1), ["dead"], beginning=True, now=time.monotonic())
        started = time.monotonic()
        headers = {"X_Bluebellrun_Prefix_Hash": CRASHING, "Last_Event_Id": "0"}
        answer = await bench.send_request("/talk/a", "POST", **headers)
        assert answer.status == 503
        assert time.monotonic() - started < QuarantineSettings().settle_s + 0.4

    curio.run(main)


def test_after_one_crash_callers_are_told_when_to_come_back():
    async def main() -> None:
        bench = GatewayBench()
        await start(bench)
        bench.gateway._guard._quarantine.record_crash(
            "s", ("x", 1), ["dead"], beginning=True, now=time.monotonic() - 5
        )
        answer = await bench.send_request("/talk/a", "POST", X_Bluebellrun_Prefix_Hash=CRASHING)
        assert answer.status == 503
        assert 1 < float(answer.headers["retry-after"]) <= 60
        assert bench.arrivals == []

    curio.run(main)
