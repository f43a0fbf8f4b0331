import fcntl
import resource
import socket

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    ConnectError,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
    PeerTimeoutError,
)
from bluebellrun.http._client_connection import ClientConnection


async def answer(exchange: HttpExchange) -> None:
    if exchange.request.path == "/slow":
        await curio.sleep(5)
    await exchange.answer_json(200, {})


async def serve() -> HttpServer:
    server = HttpServer(Address("127.0.0.1", 0), answer, HttpLimits())
    await curio.spawn(server.run, daemon=True)
    return server


def test_closing_an_ended_response_keeps_its_connection_usable():
    async def main() -> None:
        server = await serve()
        client = HttpClient(server.address, ClientTimeouts())
        for _ in range(3):
            response = await client.open("GET", "/", [], b"")
            await response.read_all(1)
            await response.close()
        assert server.open_connections == 1

    curio.run(main)


def test_a_server_that_does_not_answer_in_time_is_reported():
    async def main() -> None:
        server = await serve()
        client = HttpClient(server.address, ClientTimeouts(first_byte_s=0.1))
        with pytest.raises(PeerTimeoutError):
            await client.fetch("GET", "/slow", [])

    curio.run(main)


def test_a_closed_port_means_nothing_was_sent():
    async def main() -> None:
        server = await serve()
        address = server.address
        await server.close()
        with pytest.raises(ConnectError):
            await HttpClient(address, ClientTimeouts()).fetch("GET", "/", [])

    curio.run(main)


def test_a_kept_connection_with_a_high_file_number_is_tried_for_freshness():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 2_048), hard))
    near, far = socket.socketpair()
    high = socket.socket(fileno=fcntl.fcntl(near.fileno(), fcntl.F_DUPFD, 1_100))
    connection = ClientConnection(high)
    assert high.fileno() >= 1_100
    assert connection.fresh()
    far.send(b"unasked")
    assert not connection.fresh()
    for item in (near, far, high):
        item.close()
