"""Servers outlive any bytes: each connection ends, and the next one is served."""

from random import Random

import curio

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
    Listener,
)
from bluebellrun.transport import LinkTiming, dial, serve_link

VALID = (
    b"POST /a?b=c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
)
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
TIMING = LinkTiming(ping_interval_s=0.05, ping_timeout_s=0.1)
CONNECTIONS = 150


def mutate(random: Random, valid: bytes) -> bytes:
    raw = bytearray(valid)
    for _ in range(random.randint(1, 6)):
        position = random.randrange(len(raw))
        match random.randrange(3):
            case 0:
                raw[position] = random.randrange(256)
            case 1:
                raw[position:position] = random.randbytes(random.randint(1, 40))
            case 2:
                del raw[position : position + random.randint(1, 10)]
        raw = raw or bytearray(b"\0")
    return bytes(raw)


async def send_and_wait(address: Address, raw: bytes) -> None:
    sock = await curio.open_connection(address.ip, address.port)
    async with curio.timeout_after(10):
        try:
            await sock.sendall(raw)
            while await sock.recv(10_000):
                pass
        except OSError:
            pass
    await sock.close()


async def attack(address: Address, valid: bytes, seed: int) -> None:
    random = Random(seed)
    async with curio.TaskGroup() as group:
        for _ in range(CONNECTIONS):
            await group.spawn(send_and_wait, address, mutate(random, valid))


def test_http_connections_end_and_the_next_request_is_answered(caplog):
    async def handle(exchange: HttpExchange) -> None:
        await exchange.answer_json(200, {"length": len(exchange.request.body)})

    async def main() -> None:
        limits = HttpLimits(
            max_header_bytes=500, header_timeout_s=0.3, body_timeout_s=0.3, idle_timeout_s=0.3
        )
        server = HttpServer(Address("127.0.0.1", 0), handle, limits)
        await curio.spawn(server.run, daemon=True)
        await attack(server.address, VALID, 1)
        client = HttpClient(server.address, ClientTimeouts())
        status, body = await client.fetch("POST", "/", [], b"abc")
        assert (status, body) == (200, b'{"length": 3}')

    curio.run(main)
    assert not [record for record in caplog.records if "Crash" in record.getMessage()]


def test_links_end_and_the_next_link_is_served(caplog):
    async def echo(call) -> None:
        while (message := await call.receive()) is not None:
            await call.send(message)

    async def main() -> None:
        listener = Listener(Address("127.0.0.1", 0), lambda sock: serve_link(sock, echo, TIMING))
        await curio.spawn(listener.run, daemon=True)
        await attack(listener.address, PREFACE, 2)
        link = await dial(listener.address, LinkTiming())
        assert await link.call_unary("/echo", b"alive", 1.0) == b"alive"
        await link.close()

    curio.run(main)
    assert not [record for record in caplog.records if "Crash" in record.getMessage()]
