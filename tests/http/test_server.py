"""Bad input gets a clear error and harms nobody else."""

import curio
import pytest
from curio import socket

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
)

LIMITS = HttpLimits(
    max_header_bytes=2_000, max_body_bytes=100, header_timeout_s=0.3, body_timeout_s=0.3
)


async def echo(exchange: HttpExchange) -> None:
    await exchange.answer_json(200, {"length": len(exchange.request.body)})


async def talk(raw: bytes, half_close: bool = False, handler=echo) -> bytes:
    server = HttpServer(Address("127.0.0.1", 0), handler, LIMITS)
    await curio.spawn(server.run, daemon=True)
    sock = await curio.open_connection(*_pair(server))
    await sock.sendall(raw)
    if half_close:
        await sock.shutdown(socket.SHUT_WR)
    answer = b""
    async with curio.ignore_after(2):
        while data := await sock.recv(10_000):
            answer += data
    client = HttpClient(server.address, ClientTimeouts())
    assert (await client.fetch("GET", "/", []))[0] == 200
    await sock.close()
    await client.close()
    await server.close()
    return answer


def _pair(server: HttpServer) -> tuple[str, int]:
    return server.address.ip, server.address.port


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"\x00\xff garbage\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" + b"x" * 101, b"413"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 3_000 + b"\r\n\r\n", b"431"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: slow", b"408"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nslow", b"408"),
    ],
)
def test_bad_requests_get_a_problem_that_says_why(raw, status):
    answer = curio.run(talk, raw)
    assert answer.split(b" ", 2)[1] == status
    assert b"application/problem+json" in answer
    assert b'"outcome": "not_run"' in answer


def test_a_half_closed_request_is_answered_with_an_error():
    async def slow(exchange: HttpExchange) -> None:
        if exchange.request.method == "POST":
            await curio.sleep(5)
        await echo(exchange)

    async def main() -> bytes:
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        return await talk(raw, half_close=True, handler=slow)

    assert curio.run(main).startswith(b"HTTP/1.1 400")


def test_an_aborted_answer_has_no_proper_end():
    async def breaks(exchange: HttpExchange) -> None:
        if exchange.request.method == "GET":
            await echo(exchange)
            return
        await exchange.send_head(200, [])
        await exchange.send_body(b"part")
        exchange.abort()

    async def main() -> bytes:
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        return await talk(raw, handler=breaks)

    answer = curio.run(main)
    assert b"part" in answer
    assert not answer.endswith(b"0\r\n\r\n")


def test_a_caller_that_leaves_before_its_answer_is_no_crash_of_the_handler(caplog):
    answered: list[str] = []

    async def answers_late(exchange: HttpExchange) -> None:
        try:
            for _ in range(80):
                await exchange.send_head(200, []) if not exchange.started else None
                await exchange.send_body(b"x" * 100_000)
        except BaseException as error:
            answered.append(type(error).__name__)
            raise

    async def main() -> None:
        server = HttpServer(Address("127.0.0.1", 0), answers_late, HttpLimits(write_timeout_s=0.2))
        await curio.spawn(server.run, daemon=True)
        sock = await curio.open_connection(*_pair(server))
        await sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with curio.timeout_after(5):
            while not answered or server.open_connections:
                await curio.sleep(0.02)
        await sock.close()
        await server.close()

    curio.run(main)
    assert answered == ["CallerGoneError"]
    assert "Task Crash" not in caplog.text


def test_a_connection_beyond_the_limit_is_told_to_come_back():
    async def main() -> bytes:
        server = HttpServer(Address("127.0.0.1", 0), echo, HttpLimits(max_connections=1))
        await curio.spawn(server.run, daemon=True)
        first = await curio.open_connection(*_pair(server))
        second = await curio.open_connection(*_pair(server))
        answer = b""
        while data := await second.recv(10_000):
            answer += data
        await first.close()
        return answer

    answer = curio.run(main)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after: 1" in answer
    assert b"request-id: " in answer
