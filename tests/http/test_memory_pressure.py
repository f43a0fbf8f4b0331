"""A server whose memory budget is used up: who waits, who is refused and who is served."""

import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
    MemoryGate,
    MemorySettings,
)
from bluebellrun.http import _memory_gate as gate_module
from bluebellrun.http._connection import MAX_EARLY_BYTES
from bluebellrun.http._outgoing import MAX_AHEAD_BYTES
from bluebellrun.http._request_reader import FREE_HEAD_BYTES, HEADER_COST_BYTES

BODY = 100_000
SMALL = b"x" * 1_000
SETTINGS = MemorySettings(
    total_bytes=300_000, reserved_bytes=60_000, small_bytes=16_384, stalled_s=0.2
)
UNFINISHED = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + b"x" * (BODY - 1)


def run(
    check: Callable[[HttpServer, MemoryGate], Awaitable[None]], handler: Any = None, **limits: float
) -> None:
    async def echo(exchange: HttpExchange) -> None:
        await exchange.answer_json(200, {"length": len(exchange.request.body)})

    async def main() -> None:
        memory = MemoryGate(SETTINGS)
        bounds = HttpLimits(**limits)  # type: ignore[arg-type]
        server = HttpServer(Address("127.0.0.1", 0), handler or echo, bounds, memory=memory)
        await curio.spawn(server.run, daemon=True)
        async with curio.timeout_after(20.0):
            await check(server, memory)

    curio.run(main)


async def connect(server: HttpServer, data: bytes) -> Any:
    sock = await curio.open_connection(server.address.ip, server.address.port)
    await sock.sendall(data)
    return sock


async def status(server: HttpServer, body: bytes) -> int:
    client = HttpClient(server.address, ClientTimeouts(5.0, 10.0, 10.0))
    code, _ = await client.fetch("POST", "/", [], body)
    await client.close()
    return code


async def read(sock: Any) -> bytes:
    data = b""
    while piece := await sock.recv(65_536):
        data += piece
    return data


# Guards: stalled bodies kept their memory for the whole body timeout while others were refused.
def test_stalled_bodies_are_closed_as_not_run_when_another_needs_their_room() -> None:
    async def check(server: HttpServer, memory: MemoryGate) -> None:
        stalled = [await connect(server, UNFINISHED) for _ in range(2)]
        await curio.sleep(0.5)
        assert memory.budget.held == 2 * BODY
        assert await status(server, b"x" * BODY) == 200
        answer = await read(stalled[0])
        assert answer.startswith(b"HTTP/1.1 408")
        assert b'"outcome": "not_run"' in answer
        assert memory.closed == 1
        for sock in stalled:
            await sock.close()
        await curio.sleep(0.2)
        assert memory.budget.held == 0

    run(check)


# Guards: with all memory in use by requests that run, a new body took memory without a bound, or
# an ordinary caller's small request was refused with the large ones.
def test_a_large_body_waits_then_gets_503_while_a_small_one_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gate_module, "WAIT_S", 0.3)
    goes_on = curio.Event()

    async def slow(exchange: HttpExchange) -> None:
        if len(exchange.request.body) == BODY:
            await goes_on.wait()
        await exchange.answer_json(200, {})

    async def check(server: HttpServer, memory: MemoryGate) -> None:
        running = [await curio.spawn(status, server, b"x" * BODY) for _ in range(2)]
        await curio.sleep(0.5)
        sock = await connect(server, UNFINISHED + b"x")
        answer = await read(sock)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1" in answer.lower()
        assert b'"outcome": "not_run"' in answer
        assert await status(server, SMALL) == 200
        waiting = await curio.spawn(status, server, b"x" * BODY)
        await curio.sleep(0.1)
        assert memory.waiting == 1
        await goes_on.set()
        assert [await task.join() for task in (*running, waiting)] == [200, 200, 200]
        await curio.sleep(0.1)
        assert (memory.refused, memory.budget.held) == (1, 0)

    run(check, slow)


# Guards: stalled callers with small holdings used up the reserve, and as many large bodies as may
# wait kept an ordinary caller's small request from being considered at all.
def test_stalled_small_requests_give_way_while_large_ones_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gate_module, "MAX_WAITING", 1)
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def check(server: HttpServer, memory: MemoryGate) -> None:
        stalled = [await connect(server, head) for _ in range(18)]
        await curio.sleep(0.5)
        assert memory.budget.held > SETTINGS.total_bytes - 16_384
        waiting = await curio.spawn(status, server, b"x" * 290_000)
        assert await status(server, b"x" * 10_000) == 200
        assert memory.closed >= 1
        await waiting.join()
        for sock in stalled:
            await sock.close()

    run(check)


# Guards: bytes that came while a handler ran were held without a bound, or taken for a hang-up.
def test_early_bytes_wait_in_the_socket_when_memory_is_short() -> None:
    goes_on = curio.Event()

    async def slow(exchange: HttpExchange) -> None:
        await goes_on.wait()
        await exchange.answer_json(200, {})

    async def check(server: HttpServer, memory: MemoryGate) -> None:
        whole = UNFINISHED + b"x"
        running = [await connect(server, whole) for _ in range(2)]
        await curio.sleep(0.3)
        sending = await curio.spawn(running[0].sendall, whole * 20)
        await curio.sleep(0.3)
        assert memory.budget.held <= SETTINGS.total_bytes
        await goes_on.set()
        answers = 0
        while answers < 21:
            answers += (await running[0].recv(65_536)).count(b"HTTP/1.1 200")
        await sending.join()

    run(check, slow)


# Guards: each request of a pipeline read up to a body's bytes of those that follow it.
def test_a_bounded_part_of_a_pipeline_is_read_ahead() -> None:
    goes_on = curio.Event()

    async def slow(exchange: HttpExchange) -> None:
        await goes_on.wait()
        await exchange.answer_json(200, {})

    async def check(server: HttpServer, memory: MemoryGate) -> None:
        requests = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 20_000
        running = await connect(server, requests[:100])
        sending = await curio.spawn(running.sendall, requests[100:])
        await curio.sleep(0.3)
        assert memory.budget.held == MAX_EARLY_BYTES
        await goes_on.set()
        answers = 0
        while answers < 20_000:
            answers += (await running.recv(65_536)).count(b"HTTP/1.1 200")
            assert memory.budget.held <= MAX_EARLY_BYTES + MAX_AHEAD_BYTES
        await sending.join()

    run(check, slow)


# Guards: a caller that left behind bytes which stay in the socket was not noticed.
def test_a_caller_that_hangs_up_behind_unread_bytes_ends_its_request() -> None:
    ended = curio.Event()

    async def slow(_: HttpExchange) -> None:
        try:
            await curio.sleep(20.0)
        finally:
            await ended.set()

    async def check(server: HttpServer, memory: MemoryGate) -> None:
        request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        running = await connect(server, request + b"x" * 2 * MAX_EARLY_BYTES)
        await curio.sleep(0.3)
        assert memory.budget.held == MAX_EARLY_BYTES
        await running.close()
        async with curio.timeout_after(1.0):
            await ended.wait()

    run(check, slow)


# Guards: the headers of a request took fifty times the memory of their bytes, and none was charged.
@pytest.mark.parametrize("body", [b"", b"x"])
def test_many_headers_are_held_until_the_answer(body: bytes) -> None:
    goes_on = curio.Event()
    held = []

    async def slow(exchange: HttpExchange) -> None:
        held.append(len(exchange.request.headers))
        await goes_on.wait()
        await exchange.answer_json(200, {})

    async def check(server: HttpServer, memory: MemoryGate) -> None:
        head = b"POST / HTTP/1.1\r\nHost: a\r\n" + b"a: b\r\n" * 400
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        sock = await connect(server, head + length + body)
        await curio.sleep(0.3)
        assert held == [402]
        assert memory.budget.held >= 402 * HEADER_COST_BYTES - FREE_HEAD_BYTES
        # Two such heads have room, a third one has not.
        others = [await connect(server, head + length + body) for _ in range(2)]
        await curio.sleep(0.3)
        assert len(held) == 2
        assert memory.budget.held <= SETTINGS.total_bytes
        await goes_on.set()
        assert b"HTTP/1.1 200" in await sock.recv(65_536)
        for other in others:
            assert b"HTTP/1.1 200" in await other.recv(65_536)
        await curio.sleep(0.1)
        assert memory.budget.held == 0

    run(check, slow)


# Guards: answers that callers do not read were held without a bound.
def test_answers_that_are_not_read_are_given_up_the_stalled_first() -> None:
    async def large(exchange: HttpExchange) -> None:
        size = 8_000_000 if exchange.request.path == "/large" else 10
        await exchange.answer(200, [], b"x" * size)

    async def check(server: HttpServer, memory: MemoryGate) -> None:
        request = b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
        readers = [await connect(server, request)]
        await curio.sleep(0.5)
        assert memory.budget.held > SETTINGS.total_bytes
        readers.append(await connect(server, request))
        await curio.sleep(0.5)
        assert memory.closed == 1
        assert server.open_connections == 1
        assert await status(server, SMALL) == 200

    run(check, large)


# Guards: a body over the limit was read up to the limit before it was refused.
def test_a_body_that_is_announced_over_the_limit_is_refused_unread() -> None:
    async def check(server: HttpServer, memory: MemoryGate) -> None:
        head = (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200001\r\nExpect: 100-continue\r\n\r\n"
        )
        answer = await read(await connect(server, head))
        assert answer.startswith(b"HTTP/1.1 413")

    run(check, max_body_bytes=200_000)


# Guards: idle connections kept new callers out.
def test_the_longest_idle_connection_is_closed_for_a_new_one() -> None:
    async def check(server: HttpServer, memory: MemoryGate) -> None:
        idle = [await connect(server, b"")]
        await curio.sleep(0.1)
        idle.append(await connect(server, b""))
        await curio.sleep(1.2)
        assert await status(server, SMALL) == 200
        assert await read(idle[0]) == b""
        assert server.closed_idle == 1

    run(check, max_connections=2, header_timeout_s=30.0)


# Guards: a body whose reading had waited for memory counted as stalled for that time, and was
# closed for another one as soon as it had its room.
def test_a_wait_for_memory_is_not_a_stall_of_the_caller() -> None:
    class Owner:
        async def close_stalled(self, reason: str) -> None:
            raise AssertionError(reason)

    async def main() -> None:
        memory = MemoryGate(SETTINGS)
        full, grows = memory.open(Owner()), memory.open(Owner())
        await memory.acquire(full, 210_000)
        await memory.acquire(grows, 20_000)
        growing = await curio.spawn(memory.acquire, grows, BODY)
        await curio.sleep(2 * SETTINGS.stalled_s)
        memory.close(full)
        await growing.join()
        grows.is_closable = True
        other = memory.open(Owner())
        assert not memory.budget.select_closed(other, 200_000, time.monotonic())
        later = time.monotonic() + SETTINGS.stalled_s
        assert memory.budget.select_closed(other, 200_000, later) == [grows]

    curio.run(main)


# Guards: the time that a kept connection was idle counted as a stall of its next request, and a
# body that arrived steadily counted as stalled: both were closed for a new connection.
@pytest.mark.parametrize(("idle_s", "pieces"), [(1.2, 1), (0.0, 6)])
def test_a_request_that_arrives_is_not_closed_for_a_new_connection(
    idle_s: float, pieces: int
) -> None:
    async def check(server: HttpServer, memory: MemoryGate) -> None:
        sock = await connect(server, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        while not (await sock.recv(65_536)).endswith(b"}"):
            pass
        await curio.sleep(idle_s)
        await sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 120000\r\n\r\n")
        for _ in range(pieces):
            await sock.sendall(b"x" * 18_000)
            await curio.sleep(0.25)
        other = await connect(server, b"")
        assert (await read(other)).startswith(b"HTTP/1.1 503")
        await sock.sendall(b"x" * (120_000 - 18_000 * pieces))
        assert (await sock.recv(65_536)).startswith(b"HTTP/1.1 200")

    run(check, max_connections=1)


# Guards: a request of which nothing more arrived kept new callers out.
def test_a_stalled_request_is_closed_for_a_new_connection() -> None:
    async def check(server: HttpServer, memory: MemoryGate) -> None:
        stalled = await connect(server, UNFINISHED)
        await curio.sleep(1.3)
        assert await status(server, SMALL) == 200
        assert (await read(stalled)).startswith(b"HTTP/1.1 408")

    run(check, max_connections=1)


# Guards: a caller that always had a next request kept its connection, and new callers out.
def test_a_caller_with_requests_ahead_takes_turns_with_a_new_one() -> None:
    async def check(server: HttpServer, memory: MemoryGate) -> None:
        sock = await connect(server, b"")
        sending = await curio.spawn(sock.sendall, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 20_000)
        await curio.sleep(0.2)
        assert await status(server, SMALL) == 200
        answers = b""
        with contextlib.suppress(ConnectionResetError):
            while piece := await sock.recv(65_536):
                answers += piece
        assert b"connection: close" in answers
        assert answers.endswith(b"}")
        await sending.cancel()

    run(check, max_connections=1)
