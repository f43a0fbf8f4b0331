"""Callers: they keep their connections, and go to gateways that say they are ready."""

import time
from dataclasses import dataclass, field
from random import Random

import curio

from bench.platform_soak._programs import Program
from bench.platform_soak._world import DEADLINE_S, HOST, KEYS, World
from bluebellrun.http import ClientTimeouts, ConnectError, HttpClient, TransportError

READY_ASKED_S = 0.4
# Callers wait for an answer a second longer than they say.
PATIENCE_S = DEADLINE_S + 1.0
CONNECT_TIMEOUT_S = 1.0
PAUSE_S = 0.25
SUBJECTS = 6
# Of the drafts sent while there is a crashing part, this share has one.
CRASHING_SHARE = 0.1


@dataclass(slots=True)
class Told:
    """What one request came to; ``ending`` is ``whole``, ``cut``, ``silent`` or ``unreached``."""

    request_id: str
    kind: str
    customer: str
    sent: bytes
    gateway: Program
    began: float
    ended: float = 0.0
    status: int = 0
    body: bytes = b""
    stamp: str = ""
    retry_after: str | None = None
    ending: str = "unreached"
    prompt: str = ""
    crashing: bool = False
    # The outages noted when the request ended: of its gateway, and of all.
    disturbed: bool = False
    calm_but_for_signals: bool = False


@dataclass
class Callers:
    """Several callers that send one request after another."""

    world: World
    seed: int
    told: list[Told] = field(default_factory=list)
    stopping: bool = False
    _ready: dict[str, bool] = field(default_factory=dict)

    async def run(self, count: int) -> None:
        """Send requests until told to stop."""
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(self._ask_readiness)
            for number in range(count):
                await tasks.spawn(self._call, number)

    async def wait_ready(self, timeout_s: float) -> bool:
        """Return whether all gateways are ready within a time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all([await self._is_ready(gateway) for gateway in self.world.gateways]):
                return True
            await curio.sleep(0.1)
        return False

    async def _ask_readiness(self) -> None:
        """Ask each gateway whether it is ready, until told to stop."""
        while not self.stopping:
            for gateway in self.world.gateways:
                self._ready[gateway.name] = await self._is_ready(gateway)
            await curio.sleep(READY_ASKED_S)

    async def _is_ready(self, gateway: Program) -> bool:
        """Ask one gateway."""
        if not gateway.runs:
            return False
        client = HttpClient(gateway.ready, ClientTimeouts(0.3, 0.3, 0.3))
        try:
            status, _ = await client.fetch("GET", "/api/ready", [])
        except TransportError:
            return False
        finally:
            await client.close()
        return status == 200

    async def _call(self, number: int) -> None:
        """Send one request after another."""
        random = Random(f"{self.seed}/{number}")
        timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, PATIENCE_S, PATIENCE_S)
        clients = {g.name: HttpClient(g.callers, timeouts) for g in self.world.gateways}
        gateway, sent = random.choice(self.world.gateways), 0
        while not self.stopping:
            sent += 1
            if random.random() < 0.3 or not self._ready.get(gateway.name):
                ready = [g for g in self.world.gateways if self._ready.get(g.name)]
                gateway = random.choice(ready or self.world.gateways)
            key = random.choice(list(KEYS))
            told = Told(
                f"s{self.seed}-{number}-{sent}",
                random.choices(["draft", "order", "look"], [5, 3, 2])[0],
                KEYS[key],
                f"body {number} {sent} {random.random()}".encode(),
                gateway,
                time.monotonic(),
            )
            self._write_prompt(told, random)
            await self._send(clients[gateway.name], told, key)
            self._settle(told)
            self.told.append(told)
            await curio.sleep(random.expovariate(1 / PAUSE_S))
        for client in clients.values():
            await client.close()

    def _write_prompt(self, told: Told, random: Random) -> None:
        """Choose the parts of a request's prompt: two shared ones, and its own."""
        if told.kind != "draft":
            return
        parts = ["c0de", f"5ab{random.randrange(SUBJECTS):x}"]
        told.crashing = bool(self.world.sent_crashing) and random.random() < CRASHING_SHARE
        if told.crashing:
            parts.append(random.choice(self.world.sent_crashing))
        parts.append(f"{random.getrandbits(48):x}")
        told.prompt = ",".join(f"{part}:40" for part in parts)

    async def _send(self, client: HttpClient, told: Told, key: str) -> None:
        """Send a request and note what comes back."""
        headers = [
            ("host", HOST),
            ("x-bluebellrun-request-id", told.request_id),
            ("x-bluebellrun-deadline-ms", str(int(DEADLINE_S * 1000))),
            ("x-bluebellrun-key", key),
            ("x-bluebellrun-token-count", "400,80"),
        ]
        if told.prompt:
            headers.append(("x-bluebellrun-prefix-hash", told.prompt))
        method = "GET" if told.kind == "look" else "POST"
        body = b"" if told.kind == "look" else told.sent
        told.sent = body
        try:
            async with curio.timeout_after(PATIENCE_S):
                target = f"/{told.kind}/{told.request_id}"
                response = await client.open(method, target, headers, body)
                told.status, told.ending = response.status, "cut"
                values = dict(response.headers)
                told.stamp = values.get("x-bluebellrun-server-stamp", "")
                told.retry_after = values.get("retry-after")
                while piece := await response.read(PATIENCE_S):
                    told.body += piece
                await response.close()
                told.ending = "whole"
        except curio.TaskTimeout:
            told.ending = "silent"
        except ConnectError:
            told.ending = "unreached"
        except TransportError:
            told.ending = "cut"
        told.ended = time.monotonic()

    def _settle(self, told: Told) -> None:
        """Note which outages may have touched a request."""
        own = told.gateway.disturbed_until >= told.began
        told.disturbed = own or self.world.disturbed_until >= told.began
        told.calm_but_for_signals = self.world.disturbed_until < told.began
