"""Calls to ranks through their sidecars, and directly when a sidecar does not answer."""

import json
import time
from dataclasses import replace
from typing import Any

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.expert_maps import OrderReply, RankCallError, RankReplacedError
from bluebellrun.gateway import Upstream
from bluebellrun.http import HttpExchange, HttpLimits, HttpServer, Listener
from bluebellrun.placement import (
    ArmMap,
    HoldPass,
    PrepareMap,
    ReleasePass,
    default_placement,
)
from bluebellrun.platform import EngineClient, EngineRelay

UNANSWERED_S = 5
PREPARED = 9
REPORT = {
    "group": {"name": "g", "epoch": 3, "rank": 1, "state": "open"},
    "size": 2,
    "born": 99,
    "pace": 1.5,
    "step": 40,
    "map": 7,
    "prepared": 8,
    "armed": {"version": 8, "step": 44},
    "held": None,
    "kv_used": 0,
}


class Engine:
    """An engine that answers every order with the same status."""

    def __init__(self, status: int = 202) -> None:
        self.status = status
        self.silent = False
        self.orders: list[dict[str, Any]] = []
        self.picked = {"step": 1, "epoch": 3, "counts": [1, 2], "born": 9}
        self.prepared_after = 0
        self.encodings: list[str | None] = []

    async def handle(self, exchange: HttpExchange) -> None:
        if self.silent:
            await curio.sleep(UNANSWERED_S)
        match exchange.request.path:
            case "/api/report":
                self.prepared_after -= 1
                prepared = REPORT["prepared"] if self.prepared_after > 0 else PREPARED
                await exchange.answer_json(200, {**REPORT, "prepared": prepared})
            case "/api/picked":
                await exchange.answer_json(200, self.picked)
            case _:
                self.orders.append(json.loads(exchange.request.body))
                self.encodings.append(exchange.request.header("content-encoding"))
                await exchange.answer(self.status, [], b"")


async def serve(handler: Any) -> Address:
    server = HttpServer(Address("127.0.0.1", 0), handler, HttpLimits())
    await curio.spawn(server.run, daemon=True)
    return server.address


def run_check(check: Any, status: int = 202, relayed: bool = True) -> None:
    async def main() -> None:
        engine = Engine(status)
        address = await serve(engine.handle)
        port = (await serve(EngineRelay(address).handle)).port if relayed else 1
        upstream = Upstream("i1", "s", address, "a", 6)
        await check(engine, EngineClient(port), upstream)

    curio.run(main)


def test_a_report_is_read_into_a_state():
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        state = await calls.state(upstream)
        assert state is not None
        assert (state.rank, state.size, state.epoch, state.step, state.active) == (1, 2, 3, 40, 7)
        assert (state.prepared, state.armed_version, state.armed_step) == (PREPARED, 8, 44)
        assert (state.held, state.slowness, state.is_open) == (None, 1.5, True)
        assert (await calls.counts(upstream, 1)).counts == (1, 2)

    run_check(check)


@pytest.mark.parametrize("relayed", [True, False])
def test_orders_reach_the_engine_with_or_without_a_sidecar(relayed):
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        prepare = PrepareMap(5, default_placement(1, 2, 4))
        assert await calls.send_order(upstream, prepare, 3, 12) is OrderReply.ACCEPTED
        await calls.send_order(upstream, ArmMap(5, 60), 3, 12)
        assert engine.orders[0] == {
            "op": "prepare",
            "version": 5,
            "map": [[[0, 2], [1, 3]]],
            "epoch": 3,
            "fence": 12,
        }
        assert engine.orders[1] == {"op": "arm", "version": 5, "step": 60, "epoch": 3, "fence": 12}

    run_check(check, relayed=relayed)


@pytest.mark.parametrize(
    ("status", "reply"),
    [(200, "DONE"), (202, "ACCEPTED"), (409, "CONFLICT"), (412, "FENCED")],
)
def test_an_order_reply_is_read_from_the_status(status, reply):
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        assert await calls.send_order(upstream, HoldPass(4), 3, 12) is OrderReply[reply]

    run_check(check, status)


def test_counts_are_complete_after_the_previous_report_is_unknown():
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        relay_port = calls._relay_port
        for counts in ([1, 2], [4, 2], [300, 70_000]):
            engine.picked = {"step": 7, "epoch": 3, "counts": counts, "born": 9}
            read = await calls.counts(upstream, 1)
            assert (read.counts, read.step, read.epoch, read.born) == (tuple(counts), 7, 3, 9)
        engine.picked = {"step": 1, "epoch": 4, "counts": [5, 0], "born": 10}
        assert (await calls.counts(upstream, 1)).counts == (5, 0)
        other = EngineClient(relay_port)
        assert (await other.counts(upstream, 1)).counts == (5, 0)
        engine.picked = {"step": 2, "epoch": 4, "counts": [6, 1], "born": 10}
        assert (await calls.counts(upstream, 1)).counts == (6, 1)
        await calls.forget(upstream.instance)
        assert (await calls.counts(upstream, 1)).counts == (6, 1)

    run_check(check)


def test_counts_are_never_requested_directly_from_an_engine():
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        with pytest.raises(RankCallError):
            await calls.counts(upstream, 1)

    run_check(check, relayed=False)


@pytest.mark.parametrize(("reports", "reply"), [(3, "DONE"), (1_000, "ACCEPTED")])
def test_a_prepare_order_is_answered_as_done_if_the_copy_completes_soon(reports, reply):
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        engine.prepared_after = reports
        prepare = PrepareMap(PREPARED, default_placement(1, 2, 4))
        assert await calls.send_order(upstream, prepare, 3, 12) is OrderReply[reply]
        assert len(engine.orders) == 1

    run_check(check)


def test_a_large_map_is_compressed_and_reaches_the_engine_unchanged():
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        placement = default_placement(8, 63, 252)
        await calls.send_order(upstream, PrepareMap(PREPARED, placement), 3, 12)
        assert engine.orders[0]["map"][0][0] == sorted(placement.layers[0][0])
        assert len(engine.orders[0]["map"]) == 8
        assert engine.encodings == [None]

    run_check(check)


def test_a_body_with_a_wrong_content_encoding_is_refused():
    async def main() -> None:
        engine = Engine()
        relay = await serve(EngineRelay(await serve(engine.handle)).handle)
        sock = await curio.open_connection(relay.ip, relay.port)
        async with sock:
            head = "POST /api/order HTTP/1.1\r\nHost: h\r\nContent-Encoding: deflate\r\n"
            await sock.sendall(f"{head}Content-Length: 5\r\n\r\nnoise".encode())
            assert b" 400 " in await sock.recv(4096)
        assert engine.orders == []

    curio.run(main)


def test_another_upstream_at_the_address_is_detected():
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        with pytest.raises(RankReplacedError):
            await calls.send_order(upstream, HoldPass(4), 3, 12)

    run_check(check, 421)


def test_an_order_that_the_engine_does_not_answer_fails_soon():
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        await calls.state(upstream)
        engine.silent = True
        began = time.monotonic()
        with pytest.raises(RankCallError):
            await calls.send_order(upstream, HoldPass(4), 3, 12)
        assert time.monotonic() - began < UNANSWERED_S / 2

    run_check(check)


def test_a_frozen_sidecar_is_bypassed():
    async def main() -> None:
        engine = Engine()
        address = await serve(engine.handle)
        connections: list[Any] = []

        async def frozen(sock: Any) -> None:
            connections.append(sock)
            await curio.sleep(30)

        listener = Listener(Address("127.0.0.1", 0), frozen)
        await curio.spawn(listener.run, daemon=True)
        calls = EngineClient(listener.address.port)
        upstream = Upstream("i1", "s", address, "a", 6)
        for _ in range(3):
            assert await calls.send_order(upstream, ArmMap(5, 60), 3, 12) is OrderReply.ACCEPTED
        assert len(connections) == 1
        assert len(engine.orders) == 3

    curio.run(main)


def test_hold_and_release_orders_do_not_pass_through_a_sidecar():
    async def check(engine: Engine, relayed: EngineClient, upstream: Upstream) -> None:
        calls = EngineClient(1)
        for order in (HoldPass(4), ReleasePass(4)):
            assert await calls.send_order(upstream, order, 3, 12) is OrderReply.ACCEPTED
        assert not calls._relay_bypassed_until
        calls = EngineClient(relayed._relay_port, lambda target: False)
        assert await calls.send_order(upstream, ReleasePass(4), 3, 12) is OrderReply.ACCEPTED
        assert [order["op"] for order in engine.orders] == ["hold", "go", "go"]

    run_check(check)


def test_other_calls_are_not_forwarded_to_an_engine():
    async def main() -> None:
        engine = Engine()
        relay = await serve(EngineRelay(await serve(engine.handle)).handle)
        for method, path in [("POST", "/api/report"), ("GET", "/secret"), ("GET", "/api/order")]:
            sock = await curio.open_connection(relay.ip, relay.port)
            async with sock:
                await sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
                assert b" 404 " in await sock.recv(4096)
        assert engine.orders == []

    curio.run(main)


@pytest.mark.parametrize("accepts_requests", [True, False])
def test_an_engine_that_accepts_no_requests_is_not_called_directly(accepts_requests):
    async def check(engine: Engine, _: EngineClient, upstream: Upstream) -> None:
        calls = EngineClient(1, lambda target: accepts_requests)
        if accepts_requests:
            await calls.send_order(upstream, ArmMap(5, 60), 3, 12)
        else:
            with pytest.raises(RankCallError, match="accepts no requests"):
                await calls.send_order(upstream, ArmMap(5, 60), 3, 12)
        assert len(engine.orders) == int(accepts_requests)

    run_check(check)


def test_a_rank_that_restarts_at_another_address_is_called_there():
    async def check(engine: Engine, calls: EngineClient, upstream: Upstream) -> None:
        await calls.send_order(upstream, HoldPass(4), 3, 12)
        moved = Engine()
        address = await serve(moved.handle)
        await calls.send_order(replace(upstream, address=address, started_ms=2), HoldPass(5), 3, 12)
        assert (len(engine.orders), len(moved.orders)) == (1, 1)

    run_check(check, relayed=False)
