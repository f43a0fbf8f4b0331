"""Evacuations from the store to the last moment before a request is sent (EVAC)."""

import time
from functools import partial
from typing import Any

import curio
import msgspec
import pytest

from bluebellrun.core import Address
from bluebellrun.gateway import Upstream
from bluebellrun.gateway._catch_up import _Key, _StoreCopy
from bluebellrun.http import ClientTimeouts, HttpClient, HttpServer, NotSentError
from bluebellrun.platform import PlatformCatalogue
from bluebellrun.store import Snapshot
from tests.http.test_client import serve
from tests.platform.test_gateway import NOT_RUN, run_check
from tests.platform.test_view import Watched, registration
from tests.platform.test_view import run_check as run_view_check
from tests.platform.upstreams import GatewayBench, events, reply, sends, stream


def test_an_evacuation_is_in_force_within_some_tenths_of_a_second():
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/i1", registration())
        watched.fake.put("servers/i2", registration(zone="b", addr="10.0.0.2:80"))
        await watched.start()
        await watched.until(lambda: watched.usable() == ["i1", "i2"])
        for write, usable in (
            (lambda: watched.fake.put("op/evacuate/a", b"{}"), ["i2"]),
            (lambda: watched.fake.delete("op/evacuate/a"), ["i1", "i2"]),
        ):
            began = time.monotonic()
            write()
            await watched.until(lambda usable=usable: watched.usable() == usable)
            assert time.monotonic() - began < 0.6

    run_view_check(check)


def test_an_evacuation_survives_an_outage_and_ends_if_the_next_snapshot_lacks_it():
    async def check(watched: Watched) -> None:
        watched.fake.put("op/evacuate/a", b"\xff not JSON")
        watched.fake.put("servers/i1", registration())
        await watched.start()
        await watched.until(lambda: watched.directory.is_evacuated("s"))
        watched.fake.refuse = 503
        await watched.until(lambda: watched.view.is_cut_off(0.0))
        assert watched.usable() == []
        watched.fake.delete("op/evacuate/a")
        watched.fake.compact()
        watched.fake.refuse = 0
        await watched.until(lambda: watched.usable() == ["i1"])

    run_view_check(check)


def test_an_evacuation_that_a_restored_store_lacks_stays_for_a_while():
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/i1", registration())
        copy = watched.fake.copy()
        watched.fake.put("op/evacuate/a", b"{}")
        await watched.start()
        await watched.until(lambda: watched.directory.is_evacuated("s"))
        watched.fake.restore(copy)
        for number in range(2):
            watched.fake.put("servers/i2", registration(addr="10.0.0.2:80", seq=number))
        await watched.until(lambda: watched.directory.find("i2") is not None)
        assert watched.usable() == []

    run_view_check(check)


def test_an_entry_cut_off_from_the_store_takes_evacuations_from_another():
    async def check(watched: Watched) -> None:
        other = Watched()
        for side in (watched, other):
            side.fake.put("servers/i1", registration())
            await side.start()
            await side.until(lambda side=side: side.usable() == ["i1"])
        watched.fake.put("op/evacuate/a", b"{}")
        await watched.until(lambda: watched.usable() == [])
        copy = Snapshot(tuple(watched.view.shared), watched.view.revision)
        assert other.view.apply_peer_snapshot(copy)
        assert other.usable() == []
        # A copy of a build that knows no evacuations withdraws none, and is not passed on as one
        # that names them all.
        older = tuple(pair for pair in copy.items if not pair.key.startswith("op/evacuate/"))
        older_copy = Snapshot(older, copy.revision + 5)
        assert other.view.apply_peer_snapshot(older_copy, has_evacuations=False)
        assert other.usable() == []
        assert not other.view.knows_evacuations
        assert any(pair.key == "op/evacuate/a" for pair in other.view.shared)

    run_view_check(check)


def test_copies_of_older_builds_are_read_and_read_by_them():
    class OlderCopy(msgspec.Struct, array_like=True):
        revision: int
        keys: list[_Key]
        era: int = 0

    older = msgspec.msgpack.encode(OlderCopy(7, [], 2))
    assert msgspec.msgpack.decode(older, type=_StoreCopy) == _StoreCopy(7, [], 2, False)
    newer = msgspec.msgpack.encode(_StoreCopy(7, [], 2, True))
    assert msgspec.msgpack.decode(newer, type=OlderCopy).revision == 7


def test_an_evacuation_key_without_a_domain_is_ignored():
    assert PlatformCatalogue().read("op/evacuate/", b"{}", 3).reason
    assert PlatformCatalogue().is_shared("op/evacuate/a")


# Guards: requests that were refused by an upstream, or wait, kept going to the evacuated domain.
def test_if_all_is_evacuated_requests_are_refused_at_once_and_queued_ones_too():
    async def check(bench: GatewayBench) -> None:
        retry = partial(bench.send_request, "/once/a", deadline="1100")
        queued = await curio.spawn(retry)
        await curio.sleep(0.1)
        assert not queued.terminated
        sent = len(bench.arrivals)
        bench.directory.evacuate("a", 5)
        began = time.monotonic()
        new = await bench.send_request("/ask/a")
        waited = await queued.join()
        assert [new.status, waited.status] == [503, 503]
        assert float(new.headers["retry-after"]) > 0
        assert time.monotonic() - began < 0.3
        assert bench.names() == ["u1"] * sent

    run_check(check, ("u1", sends(NOT_RUN)))


# Guards: a request that waited for its connection reached a domain evacuated meanwhile.
def test_a_request_that_waits_for_a_connection_is_sent_elsewhere(monkeypatch: pytest.MonkeyPatch):
    async def check(bench: GatewayBench) -> None:
        for name, domain in (("u1", "a"), ("u2", "b")):
            known = bench.directory.find(name)
            assert known is not None
            bench.directory.put(
                Upstream(name, "s", known.address, domain, 6 if name == "u1" else 1)
            )
        connecting = HttpClient._connect

        async def connect_slowly(client: HttpClient) -> Any:
            connection = await connecting(client)
            bench.directory.evacuate("a", 5)
            return connection

        monkeypatch.setattr(HttpClient, "_connect", connect_slowly)
        answer = await bench.send_request("/once/a", "POST", b"body")
        assert answer.status == 200
        assert bench.names() == ["u2"]
        assert bench.fleet.stats("u1").failure_rate == 0.0
        assert not bench.fleet._ejection.ejected(["u1", "u2"], time.monotonic())

    run_check(check, ("u1", sends(reply(200))), ("u2", sends(reply(200))))


def test_a_stream_of_an_evacuated_domain_ends_there_and_resumes_only_elsewhere():
    async def check(bench: GatewayBench) -> None:
        async def ends_after_evacuation(sock: Any, arrival: Any) -> None:
            await sock.sendall(stream(1, 2, complete=False))
            bench.directory.evacuate("a", 5)
            await curio.sleep(0.1)
            await sock.close()

        await bench.add("u1", ends_after_evacuation)
        task = await curio.spawn(bench.send_request, "/talk/a")
        await curio.sleep(0.05)
        await bench.add("u2", sends(stream(3)))
        known = bench.directory.find("u2")
        assert known is not None
        bench.directory.put(Upstream("u2", "s", known.address, "b", 6))
        answer = await task.join()
        assert answer.body == events(1, 2, 3)
        assert bench.names() == ["u1", "u2"]

    run_check(check)


def test_a_withdrawn_request_leaves_its_connection_for_the_next():
    async def main() -> None:
        server: HttpServer = await serve()
        client = HttpClient(Address(server.address.ip, server.address.port), ClientTimeouts())
        with pytest.raises(NotSentError):
            await client.open("GET", "/", [], b"", may_send=lambda: False)
        for _ in range(2):
            assert (await client.fetch("GET", "/", []))[0] == 200
        assert server.open_connections == 1

    curio.run(main)
