"""Gateways as processes of their own, beside a stand-in of the store, on loopback addresses."""

import json
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import Any

import curio

from bench.platform_soak._programs import CALLERS_PORT, FIRST_PORT, READY_PORT, Program
from bluebellrun.core import Address
from bluebellrun.http import ClientTimeouts, HttpClient, HttpExchange, HttpLimits, HttpServer
from standins.users_platform import FakeStore

HOST = "h.example"
SERVICE, OTHER_SERVICE = "desk", "archive"
STORE_PORT, UPSTREAM_PORT, METRICS_PORT = 8223, 8228, 9464
START_S = 20.0
ROUTE_TIMEOUT_S = 8.0
_USED_PORTS = (CALLERS_PORT, READY_PORT, FIRST_PORT, STORE_PORT, UPSTREAM_PORT, METRICS_PORT)


def free_network() -> str:
    """Return the first three numbers of loopback addresses on which the used ports are free."""
    random = Random()
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for last in (1, 2):
                for port in _USED_PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{last}", port))
        except OSError:
            continue
        return network
    raise RuntimeError("no loopback addresses with free ports were found")


def configuration(version: int, service: str = SERVICE, **more: Any) -> bytes:
    """Return a configuration whose only route, a public one, leads to a service.

    The services have ``more`` fields.
    """
    route = {
        "name": "order",
        "host": HOST,
        "prefix": "/order/",
        "kind": "non_idempotent",
        "service": service,
        "timeout_ms": int(ROUTE_TIMEOUT_S * 1000),
        "goal_ms": 400,
        "attempts": 2,
        "public": True,
    }
    names = (SERVICE, OTHER_SERVICE)
    services = [{"name": name, "health_path": "/health", **more} for name in names]
    return json.dumps({"version": version, "routes": [route], "services": services}).encode()


class Upstreams:
    """Plain upstreams that answer after the seconds that a request's path ends with."""

    def __init__(self, network: str) -> None:
        self._network = network
        # When requests arrived, by upstream, on the monotonic clock in seconds.
        self.arrivals: dict[str, list[float]] = {}
        self._registrations: dict[str, dict[str, Any]] = {}

    async def start(self, store: FakeStore, name: str, service: str, zone: str = "a") -> None:
        """Start an upstream and register it."""
        self.arrivals[name] = []
        address = Address(f"{self._network}.{100 + len(self.arrivals)}", UPSTREAM_PORT)

        async def handle(exchange: HttpExchange) -> None:
            self.arrivals[name].append(time.monotonic())
            request = exchange.request
            await curio.sleep(float(request.path.rpartition("/")[2]))
            request_id = request.header("x-bluebellrun-request-id") or ""
            headers = [("x-bluebellrun-request-id", request_id)]
            await exchange.answer(200, headers, name.encode())

        await curio.spawn(HttpServer(address, handle, HttpLimits()).run, daemon=True)
        registration = {"service": service, "addr": str(address), "zone": zone, "slots": 6}
        self._registrations[name] = {**registration, "state": "ready", "born": 1, "seq": 0}
        self.register(store, name)

    def register(self, store: FakeStore, name: str, **more: Any) -> None:
        """Register a started upstream, with more fields or other values."""
        value = json.dumps({**self._registrations[name], **more}).encode()
        store.put(f"servers/{name}", value)


class Gateways:
    """Gateway processes; each reaches the store at an address of its own."""

    def __init__(self, folder: Path, count: int = 1) -> None:
        self.network = free_network()
        self.store = FakeStore()
        self.upstreams = Upstreams(self.network)
        self._requests = 0
        self.programs = [
            Program(
                *(f"gateway{number}", "gateway", f"{self.network}.{number}", "a"),
                Address(f"{self.network}.{50 + number}", STORE_PORT),
                folder,
            )
            for number in range(1, count + 1)
        ]

    async def start(self) -> None:
        """Start the store and the gateways, and wait until they are ready."""
        self.store.put("op/config", configuration(3))
        for program in self.programs:
            await self.store.start(program.store, program.name)
            program.start()
        until = time.monotonic() + START_S
        for program in self.programs:
            while not await self.is_ready(program):
                assert time.monotonic() < until, f"{program.name} is not ready"
                await curio.sleep(0.05)

    async def is_ready(self, program: Program) -> bool:
        """Return whether a gateway says that it is ready."""
        client = HttpClient(program.ready, ClientTimeouts(0.5, 0.5, 0.5))
        try:
            return (await client.fetch("GET", "/api/ready", []))[0] == 200
        except Exception:
            return False
        finally:
            await client.close()

    async def request(self, client: HttpClient, seconds: float) -> tuple[int, bytes]:
        """Send a request that an upstream answers after some seconds."""
        self._requests += 1
        headers = [
            ("host", HOST),
            ("x-bluebellrun-request-id", f"request-{self._requests}"),
            ("x-bluebellrun-deadline-ms", str(int(ROUTE_TIMEOUT_S * 1000))),
        ]
        return await client.fetch("POST", f"/order/{seconds}", headers, b"order")

    def client(self, program: Program) -> HttpClient:
        """Return a caller of a gateway."""
        return HttpClient(program.callers, ClientTimeouts(1.0, 10.0, 10.0))

    def record(self, key: str) -> dict[str, Any] | None:
        """Return one of the gateways' own keys in the store."""
        return self.store.items.get(f"bluebellrun/{key}")

    async def until(self, holds: Callable[[], Any], seconds: float = 5.0) -> None:
        """Wait until something holds."""
        async with curio.timeout_after(seconds):
            while not holds():
                await curio.sleep(0.01)

    def end(self) -> None:
        """Kill the processes that still run."""
        for program in self.programs:
            program.end(0.0)


def run_with_gateways(
    folder: Path, check: Callable[[Gateways], Awaitable[None]], count: int = 1
) -> None:
    """Run a check beside some gateways."""
    gateways = Gateways(folder, count)

    async def main() -> None:
        await gateways.start()
        await check(gateways)

    try:
        curio.run(main)
    finally:
        gateways.end()
