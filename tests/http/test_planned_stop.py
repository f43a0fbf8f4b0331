"""A planned stop under load: what has reached this host's sockets is answered, not cut off."""

import socket

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import HttpExchange, HttpLimits, HttpServer

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


async def answer(exchange: HttpExchange) -> None:
    await exchange.answer_json(200, {})


async def read(sock: socket.socket) -> bytes:
    """Read until the server closes, in turns of the loop."""
    sock.setblocking(False)
    out = b""
    async with curio.timeout_after(3):
        while True:
            await curio.sleep(0.01)
            try:
                data = sock.recv(4_096)
            except BlockingIOError:
                continue
            if not data:
                return out
            out += data


def call(server: HttpServer, sent: bytes) -> socket.socket:
    """Connect and send before the server's tasks have another turn."""
    sock = socket.create_connection((server.address.ip, server.address.port))
    sock.sendall(sent)
    return sock


@pytest.mark.parametrize("callers", [1, 40])
def test_connections_in_the_accept_queue_are_served(callers):
    async def main() -> None:
        server = HttpServer(Address("127.0.0.1", 0), answer, HttpLimits())
        await curio.spawn(server.run, daemon=True)
        await curio.sleep(0.05)
        socks = [call(server, REQUEST) for _ in range(callers)]
        await server.close()
        for sock in socks:
            assert (await read(sock)).startswith(b"HTTP/1.1 200")

    curio.run(main)


def test_a_request_that_has_arrived_unread_on_a_kept_connection_is_answered():
    async def main() -> None:
        server = HttpServer(Address("127.0.0.1", 0), answer, HttpLimits())
        await curio.spawn(server.run, daemon=True)
        sock = call(server, REQUEST)
        await curio.sleep(0.1)
        server.end_connections()
        sock.setblocking(True)
        sock.sendall(REQUEST)
        await server.close_idle()
        assert (await read(sock)).count(b"HTTP/1.1 200") == 2

    curio.run(main)


def test_a_connection_without_a_request_is_closed():
    async def main() -> None:
        server = HttpServer(Address("127.0.0.1", 0), answer, HttpLimits())
        await curio.spawn(server.run, daemon=True)
        sock = call(server, b"")
        await curio.sleep(0.1)
        await server.close_idle()
        assert await read(sock) == b""

    curio.run(main)
