"""Links beyond the limit of a server."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import MemoryGate
from bluebellrun.transport import Call, LinkLostError, LinkServer, LinkTiming, dial
from bluebellrun.transport import _server as server_module

TIMING = LinkTiming(connect_s=1.0, ping_interval_s=0.2, ping_timeout_s=2.0)
MAX_LINKS = 3


@pytest.fixture(autouse=True)
def short_age(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "MIN_AGE_S", 0.1)


def run(check: Callable[[Address], Awaitable[None]]) -> None:
    async def echo(call: Call) -> None:
        while (message := await call.receive()) is not None:
            await call.send(message)

    async def main() -> None:
        server = LinkServer(Address("127.0.0.1", 0), echo, TIMING, MAX_LINKS, MemoryGate())
        await curio.spawn(server.run, daemon=True)
        async with curio.timeout_after(10.0):
            await check(server.address)

    curio.run(main)


def test_the_oldest_link_without_calls_is_closed_for_a_new_one():
    async def check(address: Address) -> None:
        links = [await dial(address, TIMING) for _ in range(MAX_LINKS)]
        call = await links[0].call("/echo")
        await call.send(b"first")
        assert await call.receive() == b"first"
        await curio.sleep(0.2)
        new = await dial(address, TIMING)
        assert await new.call_unary("/echo", b"new", 1.0) == b"new"
        await links[1].wait_closed()
        assert [link.closed for link in links] == [False, True, False]
        await call.send(b"still here")
        assert await call.receive() == b"still here"

    run(check)


def test_links_with_calls_are_kept_and_a_new_one_is_refused():
    async def check(address: Address) -> None:
        links = [await dial(address, TIMING) for _ in range(MAX_LINKS)]
        for link in links:
            await (await link.call("/echo")).send(b"begun")
        await curio.sleep(0.2)
        new = await dial(address, TIMING)
        with pytest.raises(LinkLostError):
            await new.call_unary("/echo", b"new", 1.0)
        assert not any(link.closed for link in links)

    run(check)
