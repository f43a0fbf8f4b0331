"""Stand-in upstreams: ranks of one model group, and replicas of a plain service."""

import hashlib
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio

from bluebellrun.core import Address
from bluebellrun.http import CallerGoneError, Headers, HttpExchange, HttpLimits, HttpServer
from bluebellrun.placement import (
    ArmMap,
    ClaimRank,
    HoldPass,
    Placement,
    PrepareMap,
    RankOrder,
    ReleasePass,
)
from standins.users_platform import ACCEPTED, CONFLICT, FENCED, FakeGroup

PREFIX = "x-bluebellrun-"
STEP_S = 0.02
LAYERS, EXPERTS, PLACES, SPARE = 2, 16, 6, 3
SLOTS = 6
NOT_RUN: Headers = [(f"{PREFIX}not-run", "1")]


@dataclass(slots=True)
class Run:
    """One run of a request at an upstream; times on the monotonic clock in seconds."""

    upstream: str
    began: float
    deadline_ms: float | None
    customer: str
    keyed: bool
    resumed_after: int
    body: bytes
    ended: bool = False


@dataclass(slots=True)
class CrashingPart:
    """A part of a prompt that crashes each rank that begins to answer it; times in seconds."""

    crashes: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)


@dataclass(slots=True)
class LimitPeriod:
    """A limit that an upstream named for a while, and the arrivals meanwhile by request id."""

    upstream: str
    per_s: float
    began: float
    arrivals: list[tuple[float, str]] = field(default_factory=list)


@dataclass
class Record:
    """What all upstreams saw: runs of each request id, limits, and crashing parts of prompts."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    limits: list[LimitPeriod] = field(default_factory=list)
    crashing: dict[str, CrashingPart] = field(default_factory=dict)
    # When the registrations of upstreams that left without notice were removed.
    left: dict[str, float] = field(default_factory=dict)

    def crashing_part(self, exchange: HttpExchange) -> CrashingPart | None:
        """Return the crashing part of a request's prompt, or none."""
        prompt = exchange.request.header(f"{PREFIX}prefix-hash") or ""
        parts = (entry.partition(":")[0] for entry in prompt.split(","))
        return next((self.crashing[part] for part in parts if part in self.crashing), None)

    def begin(self, upstream: str, exchange: HttpExchange) -> Run:
        """Note that a request begins to run."""
        header = exchange.request.header
        deadline = header(f"{PREFIX}deadline-ms")
        run = Run(
            upstream,
            time.monotonic(),
            None if deadline is None else float(deadline),
            header(f"{PREFIX}tenant") or "",
            header(f"{PREFIX}key") is not None,
            int(header("last-event-id") or 0),
            exchange.request.body,
        )
        self.runs.setdefault(header(f"{PREFIX}request-id") or "", []).append(run)
        return run


def event_count(body: bytes) -> int:
    """Return how many events a stream has, which follows from the request's body."""
    return 5 + int(hashlib.sha256(body).hexdigest()[:4], 16) % 25


def event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


def whole_answer(request_id: str, body: bytes) -> bytes:
    """Return the only right body of an answer of the plain service."""
    return f"{request_id} {hashlib.sha256(body).hexdigest()}".encode()


def _connection(exchange: HttpExchange) -> int:
    """Return a number that tells a request's connection from others that are open."""
    return id(exchange._connection)


class Upstream:
    """One life after the other of an upstream at one address."""

    def __init__(self, address: Address, service: str, name: str, record: Record) -> None:
        self.address = address
        self.service = service
        self.record = record
        self._name = name
        self._lives = 0
        self._running = 0
        self._server: HttpServer | None = None
        self.instance = ""
        self.alive = False
        self.fails = 0.0
        # The part of requests that are refused; their connections get the refusal once more later.
        self.refuses = 0.0
        self._refused: dict[int, bytes] = {}
        self._limit: LimitPeriod | None = None
        self._random = Random(name)

    async def start(self) -> None:
        """Begin a new life."""
        self._lives += 1
        self._limit = None
        self.instance = f"i-{self._name}-{self._lives}"
        self._server = HttpServer(self.address, self._handle, HttpLimits())
        await curio.spawn(self._server.run, daemon=True)
        self.alive = True

    def name_limit(self, per_s: float) -> None:
        """Name a limit in all answers from now on."""
        self._limit = LimitPeriod(self.instance, per_s, time.monotonic())
        self.record.limits.append(self._limit)

    def lift_limit(self) -> None:
        """Name no limit any more."""
        self._limit = None

    @property
    def _notices(self) -> Headers:
        return [] if self._limit is None else [("server-limit", f"{self._limit.per_s:.3f}")]

    async def crash(self) -> None:
        """End this life, with all that runs: within a step it is broken off."""
        self.alive = False
        if self._server is not None:
            await self._server.close()
            await self._server.close_idle()

    async def _handle(self, exchange: HttpExchange) -> None:
        try:
            await self._answer(exchange)
        except CallerGoneError:
            exchange.abort()

    async def _answer(self, exchange: HttpExchange) -> None:
        header = exchange.request.header
        expected = header(f"{PREFIX}expect-instance")
        if expected is not None and expected != self.instance:
            await exchange.answer(421, NOT_RUN, b"")
            return
        if exchange.request.path.startswith("/api/"):
            await self._answer_call(exchange)
            return
        if self._limit is not None:
            request_id = header(f"{PREFIX}request-id") or ""
            self._limit.arrivals.append((time.monotonic(), request_id))
        if header(f"{PREFIX}request-id") is None or self._running >= 2 * SLOTS:
            await exchange.answer(503, [*NOT_RUN, *self._notices], b"")
            return
        if self._random.random() < self.refuses:
            await self._refuse(exchange, header(f"{PREFIX}request-id") or "")
            return
        await exchange._connection._socket.sendall(self._refused.pop(_connection(exchange), b""))
        self._running += 1
        try:
            await self._run(exchange, header(f"{PREFIX}request-id") or "")
        finally:
            self._running -= 1

    async def _refuse(self, exchange: HttpExchange, request_id: str) -> None:
        """Refuse a request, and keep the refusal to write it again before the next answer."""
        names = [(f"{PREFIX}request-id", request_id)] if self._random.random() < 0.7 else []
        headers = [*NOT_RUN, *self._notices, *names]
        await exchange.answer(503, headers, b"")
        lines = ["HTTP/1.1 503 X", *(f"{name}: {value}" for name, value in headers)]
        refusal = "\r\n".join([*lines, "content-length: 0", "", ""])
        self._refused[_connection(exchange)] = refusal.encode()

    async def _answer_call(self, exchange: HttpExchange) -> None:
        await exchange.answer(404, [], b"")

    async def _run(self, exchange: HttpExchange, request_id: str) -> None:
        run = self.record.begin(self.instance, exchange)
        await curio.sleep(self._random.uniform(0.01, 0.08))
        if not self.alive or self._random.random() < self.fails:
            exchange.abort()
            return
        run.ended = True
        body = whole_answer(request_id, exchange.request.body)
        await exchange.answer(200, self._stamped(request_id), body)

    def _stamped(self, request_id: str) -> Headers:
        return [
            (f"{PREFIX}request-id", request_id),
            (f"{PREFIX}server-stamp", f"{self.instance}.{request_id}"),
            *self._notices,
        ]


class ModelGroup:
    """Ranks that take their steps together, and the demand that they count."""

    def __init__(self, size: int, random: Random) -> None:
        self.ranks = FakeGroup(size, random)
        self._random = random
        self.counts = [[0] * (LAYERS * EXPERTS) for _ in range(size)]
        self.liked = [0, 1, 2]
        self.is_open = True
        self.pace = [1.0] * size
        self.mixed: list[str] = []

    @property
    def step(self) -> int:
        """Return the latest step."""
        return self.ranks.states[0].step

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            await curio.sleep(STEP_S * max(self.pace))
            if not self.is_open:
                continue
            self.ranks.begin_pass()
            for counts in self.counts:
                for layer in range(LAYERS):
                    for _ in range(12):
                        hot = self._random.random() < 0.6
                        one = self._random.choice(self.liked) if hot else None
                        expert = self._random.randrange(EXPERTS) if one is None else one
                        counts[layer * EXPERTS + expert] += 1

    def form_again(self) -> None:
        """Form the group anew, as after a rank was gone."""
        self.mixed += self.ranks.mixed
        self.ranks.mixed.clear()
        self.ranks.pending.clear()
        self.ranks.form_again()
        self.is_open = True


class RankUpstream(Upstream):
    """One rank: it serves streams, tells of itself and takes orders."""

    def __init__(
        self, address: Address, name: str, record: Record, rank: int, group: ModelGroup
    ) -> None:
        super().__init__(address, "draft-pool", name, record)
        self._rank = rank
        self._group = group
        # Called when a crashing part ends this rank's process.
        self.on_crash: Callable[[], Awaitable[None]] | None = None
        self._born = 0

    async def start(self) -> None:
        """Begin a new life, with counts that start anew."""
        self._born += 1
        self._group.counts[self._rank] = [0] * (LAYERS * EXPERTS)
        await super().start()

    async def _run(self, exchange: HttpExchange, request_id: str) -> None:
        if not self._group.is_open:
            await exchange.answer(503, [*NOT_RUN, *self._notices], b"")
            return
        run = self.record.begin(self.instance, exchange)
        crashing = self.record.crashing_part(exchange)
        if crashing is not None:
            crashing.arrivals.append(time.monotonic())
        headers = [*self._stamped(request_id), ("content-type", "text/event-stream")]
        await exchange.send_head(200, headers)
        if crashing is not None and self.alive and self.on_crash is not None:
            crashing.crashes.append(time.monotonic())
            await curio.spawn(self.on_crash, daemon=True)
            exchange.abort()
            return
        step, epoch = self._group.step, self._group.ranks.states[0].epoch
        for number in range(run.resumed_after + 1, event_count(exchange.request.body) + 1):
            while self._waits_for(step, epoch):
                await curio.sleep(STEP_S / 4)
            step = self._group.step
            formed_anew = self._group.ranks.states[0].epoch != epoch
            if not self.alive or not self._group.is_open or formed_anew:
                exchange.abort()
                return
            if self._random.random() < self.fails / 10:
                await exchange.send_body(event(request_id, number)[:-5])
                exchange.abort()
                return
            await exchange.send_body(event(request_id, number))
        run.ended = True
        await exchange.finish()

    def _waits_for(self, step: int, epoch: int) -> bool:
        """Return whether the group has not taken the next step and may do so."""
        state = self._group.ranks.states[0]
        return self.alive and self._group.is_open and (state.step, state.epoch) == (step, epoch)

    async def _answer_call(self, exchange: HttpExchange) -> None:
        request = exchange.request
        state = self._group.ranks.states[self._rank]
        match request.method, request.path:
            case "GET", "/api/report":
                await exchange.answer_json(200, self._report())
            case "GET", "/api/picked" if "lists" in request.target:
                placement = self._group.ranks.maps[self._rank][state.active]
                await exchange.answer_json(200, {"map": _held(placement, self._rank, state.active)})
            case "GET", "/api/picked":
                counts = self._group.counts[self._rank]
                told = {"step": state.step, "epoch": state.epoch, "counts": counts}
                await exchange.answer_json(200, {**told, "born": self._born})
            case "POST", "/api/order":
                await self._take_order(exchange, json.loads(request.body))
            case _:
                await exchange.answer(404, [], b"")

    def _report(self) -> dict[str, Any]:
        state = self._group.ranks.states[self._rank]
        return {
            "group": {
                "name": "g",
                "epoch": state.epoch,
                "rank": self._rank,
                "state": "open" if self._group.is_open else "broken",
            },
            "size": self._group.ranks.size,
            "step": state.step,
            "map": state.active,
            "prepared": state.prepared,
            "armed": None
            if state.armed_step is None
            else {"version": state.armed_version, "step": state.armed_step},
            "held": state.held,
            "pace": self._group.pace[self._rank],
            "born": self._born,
        }

    async def _take_order(self, exchange: HttpExchange, told: dict[str, Any]) -> None:
        state = self._group.ranks.states[self._rank]
        if told["epoch"] != state.epoch or not self._group.is_open:
            await exchange.answer(409, [], b"")
            return
        reply = self._group.ranks.send_order(self._rank, _order(told), told["fence"])
        if reply == ACCEPTED:
            await exchange.answer(202 if told["op"] == "prepare" else 200, [], b"")
        elif reply in (CONFLICT, FENCED):
            await exchange.answer(409 if reply == CONFLICT else 412, [], b"")
        else:
            await curio.sleep(30)


def _held(placement: object, rank: int, version: int) -> dict[str, Any]:
    """Return a map as one rank tells of it."""
    layers = placement.layers if isinstance(placement, Placement) else ()
    return {"version": version, "experts": [sorted(layer[rank]) for layer in layers]}


def _order(told: dict[str, Any]) -> RankOrder:
    """Return an order in the product's type."""
    match told["op"]:
        case "prepare":
            layers = tuple(tuple(frozenset(held) for held in layer) for layer in told["map"])
            return PrepareMap(told["version"], Placement(layers))
        case "hold":
            return HoldPass(told["step"])
        case "arm":
            return ArmMap(told["version"], told["step"])
        case "go":
            return ReleasePass(told["step"])
        case _:
            return ClaimRank()
