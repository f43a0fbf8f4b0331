"""What links are charged for messages, and who goes when memory is short."""

from collections.abc import Awaitable, Callable

import curio

from bluebellrun.core import Address
from bluebellrun.http import Listener, MemoryGate, MemorySettings
from bluebellrun.transport import Call, LinkTiming, dial, serve_link
from bluebellrun.transport._call_table import CALL_COST_BYTES
from tests.transport.peers import (
    DATA,
    END_HEADERS,
    HEADERS,
    MAX_FRAME_BYTES,
    connect,
    frame,
    head,
    is_closed,
    opening,
)

TIMING = LinkTiming(connect_s=1.0, ping_interval_s=1.0, ping_timeout_s=8.0)
SETTINGS = MemorySettings(
    total_bytes=300_000, reserved_bytes=60_000, small_bytes=16_384, stalled_s=0.2
)
# The beginning of a call with a message of two megabytes, of which eight frames arrive.
BEGUN = (
    opening()
    + frame(HEADERS, END_HEADERS, 1, head("/echo"))
    + frame(DATA, 0, 1, b"\0" + (2_000_000).to_bytes(4, "big"))
    + frame(DATA, 0, 1, bytes(MAX_FRAME_BYTES)) * 8
)


def run(check: Callable[[Address, MemoryGate], Awaitable[None]]) -> None:
    async def echo(call: Call) -> None:
        while (message := await call.receive()) is not None:
            await call.send(message)

    async def main() -> None:
        memory = MemoryGate(SETTINGS)

        async def serve(sock) -> None:
            await serve_link(sock, echo, TIMING, memory)

        listener = Listener(Address("127.0.0.1", 0), serve)
        await curio.spawn(listener.run, daemon=True)
        async with curio.timeout_after(20.0):
            await check(listener.address, memory)

    curio.run(main)


def test_messages_are_charged_until_they_are_consumed():
    async def check(address: Address, memory: MemoryGate) -> None:
        link = await dial(address, TIMING)
        call = await link.call("/echo")
        await curio.sleep(0.1)
        assert memory.budget.held == CALL_COST_BYTES
        for size in (0, 10, 100_000):
            await call.send(bytes(size))
            assert await call.receive() == bytes(size)
        assert memory.budget.held == CALL_COST_BYTES
        await call.end()
        assert await call.receive() is None
        await curio.sleep(0.1)
        assert memory.budget.held == 0
        await link.close()

    run(check)


def test_what_a_link_held_is_free_once_it_is_closed_or_its_call_is_reset():
    async def check(address: Address, memory: MemoryGate) -> None:
        sock = await connect(address, [BEGUN])
        await curio.sleep(0.1)
        assert memory.budget.held > 8 * MAX_FRAME_BYTES
        await sock.close()
        await curio.sleep(0.1)
        assert memory.budget.held == 0
        link = await dial(address, TIMING)
        call = await link.call("/echo")
        await curio.sleep(0.1)
        await call.reset()
        await curio.sleep(0.1)
        assert memory.budget.held == 0
        await link.close()

    run(check)


# Guards: messages that were not complete were kept without a bound on all of them together.
def test_a_stalled_link_is_closed_for_the_messages_of_another():
    async def check(address: Address, memory: MemoryGate) -> None:
        stalled = [await connect(address, [BEGUN]) for _ in range(2)]
        await curio.sleep(0.5)
        assert memory.budget.held <= SETTINGS.total_bytes
        link = await dial(address, TIMING)
        assert await link.call_unary("/echo", bytes(150_000), 5.0) == bytes(150_000)
        assert [await is_closed(sock) for sock in stalled].count(True) >= 1
        await link.close()

    run(check)


# Guards: a short message found no room beside links with long ones.
def test_a_short_message_uses_the_reserve():
    async def check(address: Address, memory: MemoryGate) -> None:
        await connect(address, [BEGUN])
        await curio.sleep(0.1)
        link = await dial(address, TIMING)
        assert await link.call_unary("/echo", b"short", 1.0) == b"short"
        assert memory.closed == 0
        await link.close()

    run(check)
