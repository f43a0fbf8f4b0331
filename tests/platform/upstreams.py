"""Test bench: a gateway between raw callers and scripted upstreams, all on loopback."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import h11

from bluebellrun.core import Address
from bluebellrun.deployment import HostSettings, ReservedPorts, StoreTerms
from bluebellrun.expert_maps import SlowUpstreams
from bluebellrun.gateway import Fleet, Gateway, Upstream, UpstreamDirectory
from bluebellrun.http import HttpLimits, HttpServer, Listener
from bluebellrun.platform import PlatformWire
from bluebellrun.platform._configuration import read_configuration

Script = Callable[[Any, "Arrival"], Awaitable[None]]
CONFIGURATION = b"""{"version": 1, "routes": [
 {"name": "ask", "host": "h.example", "prefix": "/ask/", "kind": "idempotent", "timeout_ms": 900,
  "goal_ms": 300, "service": "s", "attempts": 2},
 {"name": "once", "host": "h.example", "prefix": "/once/", "kind": "non_idempotent",
  "timeout_ms": 2000, "service": "s", "attempts": 2},
 {"name": "talk", "host": "h.example", "prefix": "/talk/", "kind": "stream", "timeout_ms": 8000,
  "service": "s", "attempts": 3, "can_resume": true, "gap_goal_ms": 120},
 {"name": "tell", "host": "h.example", "prefix": "/tell/", "kind": "stream", "timeout_ms": 8000,
  "service": "s", "attempts": 3},
 {"name": "open", "host": "h.example", "prefix": "/open/", "kind": "idempotent",
  "timeout_ms": 900, "service": "s", "attempts": 1, "public": true}],
 "services": [{"name": "s", "health_path": "/health", "max_conns": 50}],
 "tenants": [{"name": "board", "api_keys": ["k1"], "priority": 3}]}"""


@dataclass
class Arrival:
    """A request as received by an upstream."""

    upstream: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer as received by a caller."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class GatewayBench:
    """A gateway and its upstreams; each upstream runs its script for every request."""

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.closed: list[str] = []
        self.crashed: list[str] = []
        self._listeners: dict[str, Listener] = {}
        self._scripts: dict[str, Script] = {}
        self.directory = UpstreamDirectory()
        store = StoreTerms(Address("127.0.0.1", 1), 1, 1, 1)
        settings = HostSettings("h", "127.0.0.1", "a", "r", store, ReservedPorts(1, 2))
        self.slow = SlowUpstreams()
        self.fleet = Fleet(self.directory, "a", Random(1), slow_now=self.slow.current)
        self.gateway = Gateway(settings, self.fleet, PlatformWire(), Random(1))
        self.server: HttpServer | None = None

    async def start(self, *scripts: tuple[str, Script], configured: bool = True) -> None:
        """Start the upstreams and the gateway."""
        for name, script in scripts:
            await self.add(name, script)
        if configured:
            self.gateway.apply_deployment(read_configuration(CONFIGURATION, 1))
        limits = HttpLimits()
        self.server = HttpServer(Address("127.0.0.1", 0), self.gateway.handle, limits)
        await curio.spawn(self.server.run, daemon=True)

    async def add(self, name: str, script: Script) -> None:
        """Start one more upstream."""

        async def serve(sock: Any) -> None:
            protocol = h11.Connection(h11.SERVER)
            while True:
                arrival = await self._read(sock, protocol, name)
                if arrival is None:
                    self.closed.append(name)
                    return
                self.arrivals.append(arrival)
                await script(sock, arrival)
                protocol = h11.Connection(h11.SERVER)

        listener = Listener(Address("127.0.0.1", 0), serve)
        await curio.spawn(listener.run, daemon=True)
        self._listeners[name], self._scripts[name] = listener, script
        self.directory.put(Upstream(name, "s", listener.address, "a", 6))

    async def crash(self, name: str, sock: Any) -> None:
        """End an upstream: it refuses connections from now on, and closes this one."""
        self.crashed.append(name)
        await self._listeners[name].close()
        await sock.close()

    async def restart_crashed(self) -> None:
        """Start a new upstream for each one that has crashed and is still registered."""
        for name in [name for name in self.crashed if self.directory.find(name) is not None]:
            self.directory.remove(name)
            await self.add(f"{name}+", self._scripts[name])

    async def _read(self, sock: Any, protocol: h11.Connection, name: str) -> Arrival | None:
        head, body = None, b""
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await sock.recv(65_536))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {k.decode(): v.decode() for k, v in head.headers}
                target = head.target.decode()
                return Arrival(name, head.method.decode(), target, headers, body)
            else:
                return None

    async def connect(self) -> Any:
        """Return a caller's connection."""
        assert self.server is not None
        address = self.server.address
        return await curio.open_connection(address.ip, address.port)

    async def send_request(
        self, path: str, method: str = "GET", body: bytes = b"", **headers: str
    ) -> Answer:
        """Send one request and read the answer, complete or cut off."""
        sock = await self.connect()
        async with sock:
            await sock.sendall(request_bytes(path, method, body, headers))
            return await read_answer(sock, method)

    def names(self) -> list[str]:
        """Return the names of the upstreams that requests reached, in order."""
        return [arrival.upstream for arrival in self.arrivals]


def request_bytes(path: str, method: str, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a caller's request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
    lines.append(f"X-Bluebellrun-Request-Id: {headers.pop('request', 'r1')}")
    if "key" not in headers:
        lines.append("X-Bluebellrun-Key: k1")
    known = {"deadline": "X-Bluebellrun-Deadline-Ms", "key": "X-Bluebellrun-Key"}
    for name, value in headers.items():
        lines.append(f"{known.get(name, name.replace('_', '-'))}: {value}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(sock: Any, method: str = "GET") -> Answer:
    """Read an answer until it or the connection ends."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method=method, target="/", headers=[("host", "h")]))
    protocol.send(h11.EndOfMessage())
    answer = Answer()
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            return answer
        if event is h11.NEED_DATA:
            try:
                protocol.receive_data(await sock.recv(65_536))
            except OSError:
                return answer
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {k.decode(): v.decode() for k, v in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        else:
            answer.is_complete = isinstance(event, h11.EndOfMessage)
            return answer


def reply(status: int, body: bytes = b"", request: str = "r1", **headers: str) -> bytes:
    """Return an upstream's answer."""
    lines = [f"HTTP/1.1 {status} X", f"X-Bluebellrun-Request-Id: {request}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def sends(*pieces: bytes) -> Script:
    """Return a script that sends these bytes."""

    async def script(sock: Any, arrival: Arrival) -> None:
        for piece in pieces:
            await sock.sendall(piece)

    return script


def sends_and_closes(*pieces: bytes) -> Script:
    """Return a script that sends these bytes and closes the connection."""

    async def script(sock: Any, arrival: Arrival) -> None:
        for piece in pieces:
            await sock.sendall(piece)
        await sock.close()

    return script


def crashes_under(bench: GatewayBench, part: str, answer: bytes, before: bytes = b"") -> Script:
    """Return a script that sends ``answer``, or ``before`` and crashes if a prompt has the part."""

    async def script(sock: Any, arrival: Arrival) -> None:
        parts = arrival.headers.get("x-bluebellrun-prefix-hash", "")
        if part not in parts:
            await sock.sendall(answer)
            return
        await sock.sendall(before)
        await bench.crash(arrival.upstream, sock)

    return script


async def is_silent(sock: Any, arrival: Arrival) -> None:
    """Send nothing until the connection ends."""
    while await sock.recv(1_000):
        pass


def unframed(*numbers: int, partial: bytes = b"") -> bytes:
    """Return the bytes of a stream with neither length nor chunks, which ends by its close."""
    head = (
        b"HTTP/1.1 200 OK\r\nX-Bluebellrun-Request-Id: r1\r\n"
        b"X-Bluebellrun-Server-Stamp: st\r\nContent-Type: text/event-stream\r\n\r\n"
    )
    return head + events(*numbers) + partial


def stream(
    *numbers: int, with_head: bool = True, complete: bool = True, partial: bytes = b""
) -> bytes:
    """Return the bytes of a chunked stream of events."""
    out = b""
    if with_head:
        out = (
            b"HTTP/1.1 200 OK\r\nX-Bluebellrun-Request-Id: r1\r\n"
            b"X-Bluebellrun-Server-Stamp: st\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
    for data in [*(f"id: {n}\ndata: w{n}\n\n".encode() for n in numbers), partial]:
        if data:
            out += f"{len(data):x}\r\n".encode() + data + b"\r\n"
    return out + (b"0\r\n\r\n" if complete else b"")


def events(*numbers: int) -> bytes:
    """Return events as a caller reads them."""
    return b"".join(f"id: {n}\ndata: w{n}\n\n".encode() for n in numbers)
