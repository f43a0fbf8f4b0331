"""Requests whose prompts crash the upstreams that answer them, through the gateway."""

import curio
import pytest

from tests.platform.upstreams import GatewayBench, crashes_under, stream, unframed

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
