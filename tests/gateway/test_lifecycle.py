import time
from random import Random
from typing import Any

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.deployment import Bounds, HostSettings, ReservedPorts, StoreTerms
from bluebellrun.gateway import Fleet, Gateway, UpstreamDirectory
from bluebellrun.gateway import _lifecycle as lifecycle_module
from bluebellrun.gateway import main as program
from bluebellrun.gateway._lifecycle import Lifecycle
from bluebellrun.gateway._listening import open_listening_socket
from bluebellrun.http import HttpExchange, HttpLimits, HttpServer
from bluebellrun.platform import PlatformWire, SettingsError


def make_gateway() -> Gateway:
    store = StoreTerms(Address("127.0.0.1", 1), 1, 1, 1)
    settings = HostSettings("h", "127.0.0.1", "a", "r", store, ReservedPorts(1, 2))
    fleet = Fleet(UpstreamDirectory(), "a", Random(1))
    return Gateway(settings, fleet, PlatformWire(), Random(1))


def test_a_stop_finishes_requests_in_progress_and_closes_idle_connections(monkeypatch):
    monkeypatch.setattr(lifecycle_module, "ACCEPT_WHILE_STOPPING_S", 0.1)
    monkeypatch.setattr(lifecycle_module, "SERVE_WHILE_STOPPING_S", 0.2)
    gateway = make_gateway()

    async def slow(exchange: HttpExchange) -> None:
        gateway._in_progress += 1
        await curio.sleep(0.6)
        await exchange.answer_json(200, {"done": True})
        gateway._in_progress -= 1

    async def request(address: Address) -> bytes:
        sock = await curio.open_connection(address.ip, address.port)
        async with sock:
            await sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            return await sock.recv(4096)

    async def main() -> None:
        server = HttpServer(Address("127.0.0.1", 0), slow, HttpLimits())
        await curio.spawn(server.run, daemon=True)
        lifecycle = Lifecycle(gateway, server, Bounds(stop_grace_s=5.0))
        idle = await curio.open_connection(server.address.ip, server.address.port)
        requesting: Any = await curio.spawn(request, server.address)
        await curio.sleep(0.05)
        started = time.monotonic()
        await lifecycle.stop()
        answer = await requesting.join()
        assert b'"done"' in answer
        assert b"connection: close" in answer.lower()
        assert await idle.recv(10) == b""
        assert 0.4 < time.monotonic() - started < 2.0
        assert not lifecycle.ready

    curio.run(main)


def test_an_endless_answer_delays_a_stop_no_longer_than_the_grace_period(monkeypatch):
    monkeypatch.setattr(lifecycle_module, "ACCEPT_WHILE_STOPPING_S", 0.0)
    monkeypatch.setattr(lifecycle_module, "SERVE_WHILE_STOPPING_S", 0.0)
    gateway = make_gateway()

    async def main() -> None:
        server = HttpServer(Address("127.0.0.1", 0), gateway.handle, HttpLimits())
        await curio.spawn(server.run, daemon=True)
        gateway._in_progress = 1
        started = time.monotonic()
        await Lifecycle(gateway, server, Bounds(stop_grace_s=1.0)).stop()
        assert 0.5 < time.monotonic() - started < 1.0

    curio.run(main)


def test_an_address_in_use_is_reported_as_a_settings_error():
    with open_listening_socket(Address("127.0.0.1", 0)) as taken:
        address = Address(*taken.getsockname())
        with pytest.raises(SettingsError, match=f"cannot listen on {address}.*correct the setting"):
            program._listen(address)
