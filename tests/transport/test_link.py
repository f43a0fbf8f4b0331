import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import Listener
from bluebellrun.transport import (
    Call,
    CallError,
    LinkLostError,
    LinkTiming,
    dial,
    serve_link,
)

TIMING = LinkTiming(connect_s=1.0, ping_interval_s=0.05, ping_timeout_s=0.2)


async def echo(call: Call) -> None:
    if call.path == "/refuse":
        raise CallError(5, "not here")
    while (message := await call.receive()) is not None:
        await call.send(message)


async def listen() -> Listener:
    listener = Listener(Address("127.0.0.1", 0), lambda sock: serve_link(sock, echo, TIMING))
    await curio.spawn(listener.run, daemon=True)
    return listener


def test_messages_larger_than_a_frame_arrive_complete_and_in_order():
    async def main() -> None:
        link = await dial((await listen()).address, TIMING)
        call = await link.call("/echo")
        for size in (0, 1, 20_000, 300_000):
            await call.send(bytes([size % 251]) * size)
        for size in (0, 1, 20_000, 300_000):
            assert await call.receive() == bytes([size % 251]) * size
        await call.end()
        assert await call.receive() is None
        await link.close()

    curio.run(main)


def test_error_status_is_raised_at_the_caller():
    async def main() -> None:
        link = await dial((await listen()).address, TIMING)
        with pytest.raises(CallError, match="not here"):
            await link.call_unary("/refuse", b"", 1.0)
        await link.close()

    curio.run(main)


def test_link_to_a_silent_peer_is_closed():
    async def main() -> None:
        async def never_answers(sock) -> None:
            await curio.sleep(10)

        listener = Listener(Address("127.0.0.1", 0), never_answers)
        await curio.spawn(listener.run, daemon=True)
        link = await dial(listener.address, TIMING)
        with pytest.raises(LinkLostError):
            await link.call_unary("/echo", b"", 5.0)
        assert link.closed

    curio.run(main)


def test_new_links_work_after_silent_ones_were_closed():
    async def main() -> None:
        async def never_answers(sock) -> None:
            await curio.sleep(10)

        silent = Listener(Address("127.0.0.1", 0), never_answers)
        await curio.spawn(silent.run, daemon=True)
        working = await listen()
        for _ in range(3):
            lost = await dial(silent.address, TIMING)
            await lost.wait_closed()
            link = await dial(working.address, TIMING)
            assert await link.call_unary("/echo", b"new", 1.0) == b"new"

    curio.run(main)


def test_idle_link_stays_open():
    async def main() -> None:
        link = await dial((await listen()).address, TIMING)
        await curio.sleep(0.6)
        assert await link.call_unary("/echo", b"still here", 1.0) == b"still here"
        await link.close()

    curio.run(main)


def test_file_descriptor_of_a_closed_link_can_be_reused_at_once():
    async def main() -> None:
        listener = await listen()
        for _ in range(20):
            link = await dial(listener.address, TIMING)
            assert await link.call_unary("/echo", b"x", 1.0) == b"x"
            await link.close()
        other = await listen()
        await other.close()
        again = await listen()
        link = await dial(again.address, TIMING)
        assert await link.call_unary("/echo", b"y", 1.0) == b"y"


def test_concurrent_messages_over_the_window_size_are_not_interleaved():
    async def main() -> None:
        link = await dial((await listen()).address, TIMING)
        call = await link.call("/echo")
        sizes = [5_000_000, 6_000_000, 7_000_000]
        tasks = [await curio.spawn(call.send, bytes([n]) * size) for n, size in enumerate(sizes)]
        received = [await call.receive() for _ in sizes]
        for task in tasks:
            await task.join()
        assert received == [bytes([n]) * size for n, size in enumerate(sizes)]
        await link.close()

    curio.run(main)


def test_cancelled_send_resets_its_call_and_keeps_the_link():
    async def main() -> None:
        async def stalls_on_one_path(call: Call) -> None:
            if call.path == "/stuck":
                await curio.sleep(30)
            await echo(call)

        listener = Listener(
            Address("127.0.0.1", 0), lambda sock: serve_link(sock, stalls_on_one_path, LinkTiming())
        )
        await curio.spawn(listener.run, daemon=True)
        link = await dial(listener.address, LinkTiming())
        stuck = await link.call("/stuck")
        async with curio.ignore_after(0.3):
            for _ in range(3):
                await stuck.send(b"x" * 10_000_000)
        with pytest.raises(LinkLostError):
            await stuck.send(b"more")
        assert await link.call_unary("/echo", b"alive", 5.0) == b"alive"
        await link.close()

    curio.run(main)
