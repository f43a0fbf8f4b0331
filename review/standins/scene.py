"""A small deployment on loopback: the store, replicas of one plain service, and gateways."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from itertools import product
from pathlib import Path
from random import Random

from review.standins.store import Store
from review.standins.wire import Channel, Message, Server, answer_bytes

ROOT = Path(__file__).resolve().parents[2]
STORE_PORT, CALLERS_PORT, READY_PORT, REPLICA_PORT = 8223, 8227, 8220, 8228
METRICS_PORT = 9464
FIRST_PORT, LAST_PORT = 7340, 7355
USED_PORTS = (CALLERS_PORT, READY_PORT, METRICS_PORT, FIRST_PORT, STORE_PORT, REPLICA_PORT)
USED_ADDRESSES = (1, 2, 51, 52, 101, 102, 103, 104)
GRACE_S, STABLE_S, DRAIN_S = 8.0, 3.0, 2.0
HOST, KEY, TENANT, SERVICE = "review.example", "key-of-the-review", "one", "bookings-app"
NEW_SERVICE = "bookings-new"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MOST_LOG_LINES = 60
# The time from one event of a stream to the next; the longest pause that is in time is longer.
EVENT_S, LONGEST_PAUSE_MS = 0.1, 120
SETTINGS = """node = "{name}"
role = "gateway"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "cymru-a"
region = "cymru"
port_range = [{first}, {last}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.817
cores = 1
ram_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
stable_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
apply_ms = 2000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 94
need_fence = true
[platform]
addr = "{store}"
writes_per_s = 400
reads_per_s = 2000
ttl_min_ms = 1000
"""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
        self._file.flush()


@dataclass
class Replica:
    """One replica of the plain service: it runs each request for as long as its path says."""

    name: str
    ip: str
    record: Record
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    extra_headers: dict[str, str] = field(default_factory=dict)
    service: str = SERVICE
    # A replica of a later release is not there when the deployment starts.
    starts_later: bool = False

    def __post_init__(self) -> None:
        self._server = Server(self.ip, REPLICA_PORT, self._handle)
        self._born = int(time.time() * 1000)

    async def start(self) -> None:
        """Start the process: it listens."""
        self._born = int(time.time() * 1000)
        await self._server.start()

    async def stop(self) -> None:
        """End the process."""
        await self._server.stop()

    def entry(self, state: str = "ready", cold_left_ms: int = 0, version: str = "1") -> bytes:
        """Return what the replica registers."""
        told = {
            "service": self.service,
            "addr": f"{self.ip}:{REPLICA_PORT}",
            "zone": "cymru-a",
            "version": version,
            "slots": 6,
            "state": state,
            "cold_left_ms": cold_left_ms,
            "seq": 0,
            "born": self._born,
        }
        return json.dumps(told).encode()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request that is meant for this replica."""
        name = request.headers.get("x-bluebellrun-request-id", "")
        if request.headers.get("x-bluebellrun-expect-instance", self.name) != self.name:
            writer.write(answer_bytes(421, {"x-bluebellrun-not-run": "1"}, b""))
            return
        self.arrivals.append((time.monotonic(), name))
        self.record.write(f"{name} runs at {self.name}")
        work_s = float(request.target.rpartition("/")[2]) / 1000
        stamp = f"{self.name}.{name}"
        headers = {"x-bluebellrun-request-id": name, "x-bluebellrun-server-stamp": stamp}
        headers.update(self.extra_headers)
        try:
            if request.target.startswith("/letter/"):
                await _stream(writer, headers, work_s)
            else:
                await asyncio.sleep(work_s)
                writer.write(answer_bytes(200, headers, f"done {name}".encode()))
        except asyncio.CancelledError:
            self.record.write(f"{name} is dropped at {self.name}: its channel was closed")
            raise
        self.ended.append(name)
        self.record.write(f"{name} has run at {self.name}")


async def _stream(writer: asyncio.StreamWriter, headers: dict[str, str], work_s: float) -> None:
    """Answer with a stream of events."""
    lines = [f"{k}: {v}" for k, v in headers.items()]
    lines += ["content-type: text/event-stream", "transfer-encoding: chunked"]
    writer.write("\r\n".join(["HTTP/1.1 200 X", *lines, "", ""]).encode())
    for number in range(1, 1 + round(work_s / EVENT_S)):
        await asyncio.sleep(EVENT_S)
        event = f"id: {number}\ndata: words\n\n"
        writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
    writer.write(b"0\r\n\r\n")


@dataclass
class Gateway:
    """One gateway as a process of its own, started as the deploy file says."""

    name: str
    ip: str
    store: str
    folder: Path
    process: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Write the settings and start the process."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                store=self.store,
                first=FIRST_PORT,
                last=LAST_PORT,
                callers=CALLERS_PORT,
                ready=READY_PORT,
            )
        )
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        command = roles["gateway"]["run"].split(" ")
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "BLUEBELLRUN_NODE_FILE": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT
            )

    @property
    def runs(self) -> bool:
        """Return whether the process is there."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask as the platform does whether the gateway takes consumers."""
        channel = Channel(self.ip, READY_PORT)
        try:
            await channel.open()
            _, answer = await channel.send("GET", "/api/ready", {"host": self.ip}, b"", 0.9)
        except (OSError, TimeoutError):
            return False
        await channel.close()
        return answer is not None and answer.status == 200


@dataclass
class Scene:
    """All parts of a case."""

    record: Record
    folder: Path
    gateways: int = 2
    replicas: int = 3

    def __post_init__(self) -> None:
        net = _free_net()
        self.store = Store()
        self.ips = [f"{net}.{number}" for number in range(1, 1 + self.gateways)]
        self.servers = [
            Replica(f"i-replica{number}", f"{net}.{100 + number}", self.record)
            for number in range(1, 2 + self.replicas)
        ]
        self.servers[-1].starts_later = True
        self.fronts = [
            Gateway(f"front-{number}", ip, f"{net}.{50 + number}:{STORE_PORT}", self.folder)
            for number, ip in enumerate(self.ips, 1)
        ]

    async def start(self, timeout_ms: int) -> None:
        """Start the parts, and write the first configuration: bookings, and letters as streams."""
        addresses = {}
        for front in self.fronts:
            ip, _, port = front.store.partition(":")
            addresses[front.name] = (ip, int(port))
        await self.store.start(addresses)
        for server in self.servers:
            if server.starts_later:
                continue
            await server.start()
            self.store.put(f"servers/{server.name}", server.entry())
        self.write_configuration(3, timeout_ms)
        for front in self.fronts:
            front.start()
        until = time.monotonic() + 20.0
        while not all([await front.is_ready() for front in self.fronts]):
            if time.monotonic() > until:
                raise RuntimeError("the gateways are not ready")
            await asyncio.sleep(0.1)

    def write_configuration(self, version: int, timeout_ms: int, service: str = SERVICE) -> None:
        """Write a version of the configuration, whose routes lead to a service."""
        shared = {"host": HOST, "service": service, "goal_ms": 400, "attempts": 2, "public": True}
        booking = {"name": "booking", "prefix": "/order/", "kind": "non_idempotent"}
        letter = {"name": "letter", "prefix": "/letter/", "kind": "stream"}
        routes = [
            {**shared, **booking, "timeout_ms": timeout_ms, "priority": 2},
            {
                **shared,
                **letter,
                "timeout_ms": 8000,
                "priority": 0,
                "gap_goal_ms": LONGEST_PAUSE_MS,
            },
        ]
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        told = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "health_path": "/health", "max_conns": 110}
                for name in (SERVICE, NEW_SERVICE)
            ],
            "limits": limits,
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        }
        self.store.put("op/config", json.dumps(told).encode())

    def end(self) -> None:
        """End all processes that the case started."""
        for front in self.fronts:
            if front.process is not None:
                front.signal(signal.SIGKILL)
                front.process.wait()


def request_headers(name: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a consumer's request; its route is public, so it has no key."""
    return {
        "host": HOST,
        "x-bluebellrun-request-id": name,
        "x-bluebellrun-deadline-ms": str(deadline_ms),
    }


def _free_net() -> str:
    """Return the first three parts of loopback addresses on which the ports are free."""
    random = Random()
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for last, port in product(USED_ADDRESSES, USED_PORTS):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{last}", port))
        except OSError:
            continue
        return net
    raise RuntimeError("no loopback addresses with free ports were found")


def _telling_lines(log: Path) -> list[str]:
    """Return the lines of a gateway's log that tell of the store, of signals and of errors."""
    if not log.exists():
        return []
    told = [line for line in log.read_text().splitlines() if _is_telling(line)]
    return [line.replace(f"{ROOT}/", "") for line in told[-MOST_LOG_LINES:]]


def _is_telling(line: str) -> bool:
    """Return whether a line of a log belongs into the record."""
    if not line.startswith("{"):
        return True
    words = ("store", "catch-up", "role", "stopping", "stopped", "started", "warning", "error")
    return any(f'"{word}' in line for word in words)


def run_case(folder: Path, case: "type[Case]") -> int:
    """Run a case with or without its trouble; return its exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        scene: Scene | None = None
        status = NOT_RUN
        try:
            scene = Scene(record, Path(temporary))
            record.write(f"the case runs {'with' if trouble else 'without'} its trouble")
            status = asyncio.run(asyncio.wait_for(case(scene, trouble).run(), 105.0))
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
        finally:
            if scene is not None:
                _finish(scene, record)
    record.write({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    return status


def _finish(scene: "Scene", record: Record) -> None:
    """End the processes and keep what their logs tell."""
    scene.end()
    for front in scene.fronts:
        for line in _telling_lines(front.folder / f"{front.name}.log"):
            record.write(f"log of {front.name}: {line}")


@dataclass
class Case:
    """A case: what it does, and the check of its rule."""

    scene: Scene
    trouble: bool

    async def run(self) -> int:
        """Do the case; return whether its rule held."""
        raise NotImplementedError
