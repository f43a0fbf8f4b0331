"""Peers that send what no link needs."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import Listener
from bluebellrun.transport import Call, LinkTiming, dial, serve_link
from bluebellrun.transport import _writer as writer_module
from tests.transport.peers import (
    CONTINUATION,
    END_HEADERS,
    HEADERS,
    MAX_FRAME_BYTES,
    PING,
    RESET,
    SETTINGS,
    connect,
    frame,
    head,
    is_closed,
    opening,
)

TIMING = LinkTiming(connect_s=1.0, ping_interval_s=1.0, ping_timeout_s=5.0)


async def echo(call: Call) -> None:
    while (message := await call.receive()) is not None:
        await call.send(message)


def run(check: Callable[[Address], Awaitable[None]]) -> None:
    async def main() -> None:
        listener = Listener(Address("127.0.0.1", 0), lambda sock: serve_link(sock, echo, TIMING))
        await curio.spawn(listener.run, daemon=True)
        async with curio.timeout_after(20.0):
            await check(listener.address)
            link = await dial(listener.address, TIMING)
            assert await link.call_unary("/echo", b"whole", 1.0) == b"whole"
            await link.close()

    curio.run(main)


# Guards: control frames without a pause kept a process from all other links.
@pytest.mark.parametrize(
    "one",
    [
        lambda number: frame(PING, 0, 0, bytes(8)),
        lambda number: frame(SETTINGS, 0, 0, b""),
        lambda number: (
            frame(HEADERS, END_HEADERS, 2 * number + 1, head("/echo"))
            + frame(RESET, 0, 2 * number + 1, bytes(4))
        ),
    ],
    ids=["pings", "settings", "resets"],
)
def test_a_link_with_too_many_control_frames_is_closed(one) -> None:
    async def check(address: Address) -> None:
        few = await connect(address, [opening(), *(one(number) for number in range(500))])
        assert not await is_closed(few)
        many = await connect(address, [opening(), *(one(number) for number in range(2_000))])
        assert await is_closed(many)

    run(check)


# Guards: messages to a peer that reads nothing were kept up to its windows, of any size.
def test_a_link_whose_peer_reads_nothing_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(writer_module, "WRITE_STALL_S", 0.3)
    message = bytes(1_000_000)
    ended = curio.Event()

    async def talk(call: Call) -> None:
        try:
            while True:
                await call.send(message)
        finally:
            await ended.set()

    async def main() -> None:
        listener = Listener(Address("127.0.0.1", 0), lambda sock: serve_link(sock, talk, TIMING))
        await curio.spawn(listener.run, daemon=True)
        window = frame(8, 0, 1, (2**31 - 65_536).to_bytes(4, "big"))
        window += frame(8, 0, 0, (2**31 - 65_536).to_bytes(4, "big"))
        begin = opening() + frame(HEADERS, END_HEADERS, 1, head("/talk")) + window
        sock = await connect(listener.address, [begin])
        async with curio.timeout_after(3.0):
            while not ended.is_set():
                await curio.sleep(0.1)
                await sock.sendall(frame(PING, 0, 0, bytes(8)))

    curio.run(main)


# Guards: a head without an end was kept until a megabyte of it had arrived.
def test_a_link_whose_frames_complete_nothing_is_closed() -> None:
    async def check(address: Address) -> None:
        part = frame(CONTINUATION, 0, 1, bytes(MAX_FRAME_BYTES))
        begin = opening() + frame(HEADERS, 0, 1, head("/echo"))
        few = await connect(address, [begin, part, part])
        assert not await is_closed(few)
        many = await connect(address, [begin, *[part] * 8])
        assert await is_closed(many)

    run(check)
