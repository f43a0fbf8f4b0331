"""Peers that send what no link needs."""

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import Listener
from bluebellrun.transport import Call, LinkTiming, serve_link
from bluebellrun.transport import _writer as writer_module
from tests.transport.peers import (
    END_HEADERS,
    HEADERS,
    PING,
    connect,
    frame,
    head,
    opening,
)

TIMING = LinkTiming(connect_s=1.0, ping_interval_s=1.0, ping_timeout_s=5.0)


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
