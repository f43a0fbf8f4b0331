"""Calls to the ranks of a model group, by the process beside each where there is one."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any

import curio
import msgspec

from bluebellrun.core import Address
from bluebellrun.gateway import OrderReply, RankCallError, RankReplacedError, Upstream
from bluebellrun.http import (
    COMPRESSED,
    COMPRESSED_FROM_BYTES,
    ClientTimeouts,
    Headers,
    HttpClient,
    TransportError,
    compress_body,
)
from bluebellrun.placement import (
    ArmMap,
    ClaimRank,
    HoldPass,
    Placement,
    PrepareMap,
    RankCounts,
    RankOrder,
    RankState,
    ReleasePass,
)
from bluebellrun.platform._engine_messages import MAX_ANSWER_BYTES
from bluebellrun.platform._names import EXPECT_INSTANCE, ORDER_PATH, PICKED_PATH, REPORT_PATH
from bluebellrun.sidecar import COUNTS_KNOWN, COUNTS_PATH, RankCountsTold, whole_counts
from bluebellrun.telemetry import get_logger

OK = 200
MISDIRECTED = 421
GATEWAY_TIMEOUT = 504
# Calls within a region take a few milliseconds; a rank that leaves an order unanswered is asked
# again soon, as the group may be waiting.
CONNECT_TIMEOUT_S = 0.15
CALL_TIMEOUT_S = 0.25
# A process beside an engine that does not pass a call on in this time is passed over for a while:
# its host may have stopped it, and the group may be waiting.
RELAY_TIMEOUT_S = 0.08
RELAY_AVOIDED_S = 2.0
# A version that no rank ever has: disarming it changes nothing but the fencing number seen.
NO_VERSION = 2_000_000_000
# Counts are read again a moment later, so that a late answer costs nothing.
COUNTS_TIMEOUT_S = 0.4
# An engine copies experts within this time, unless its group waits.
PREPARE_TIMEOUT_S = 0.5
# Each call has its own time-out; this one only bounds them all.
LONGEST_CALL_S = 1.0

_log = get_logger("engine-calls")


@dataclass(frozen=True, slots=True)
class _Call:
    """A call to an engine, and the seconds that the process beside it has to pass it on."""

    method: str
    target: str
    body: bytes = b""
    relay_timeout_s: float = RELAY_TIMEOUT_S


class _NoAnswerError(RankCallError):
    """The process beside an engine says that the engine did not answer."""


class _AvoidedError(RankCallError):
    """The process beside an engine did not pass a call on a moment ago and is not asked."""


class _Group(msgspec.Struct):
    """The group that a rank belongs to."""

    name: str
    epoch: int
    rank: int
    state: str


class _Armed(msgspec.Struct):
    """The map a rank is armed with and its first pass."""

    version: int
    step: int


class _Report(msgspec.Struct):
    """What an engine reports of itself; fields that are not used are ignored."""

    group: _Group | None = None
    size: int = 0
    # The last pass that was begun.
    step: int = 0
    # The version of the map in use.
    map: int = 0
    # The version whose copy is complete.
    prepared: int | None = None
    armed: _Armed | int | None = None
    held: int | None = None
    pace: float = 1.0
    born: int = 0


class _Held(msgspec.Struct):
    """A map as one rank holds it: its experts, set by set."""

    version: int
    experts: list[list[int]]


class _Lists(msgspec.Struct):
    """The maps that a rank holds."""

    map: _Held


_report = msgspec.json.Decoder(_Report)
_counts_told = msgspec.msgpack.Decoder(RankCountsTold)
_lists = msgspec.json.Decoder(_Lists)


class EngineCalls:
    """Call ranks through the processes beside them, or directly where these do not answer.

    An upstream that wants no requests of this process is not called directly either.
    """

    def __init__(
        self,
        relay_port: int,
        wants_requests: Callable[[Upstream], bool] = lambda upstream: True,
    ) -> None:
        self._relay_port = relay_port
        self._wants_requests = wants_requests
        self._relays: dict[str, HttpClient] = {}
        self._direct: dict[str, HttpClient] = {}
        self._avoided_until: dict[str, float] = {}
        # By instance, the number of the counts that are known, and those.
        self._counts: dict[str, tuple[int, tuple[int, ...]]] = {}
        self._last_order: tuple[tuple[RankOrder, int, int], bytes] | None = None
        self._last_packed = (b"", b"")

    async def state(self, upstream: Upstream) -> RankState | None:
        """Return what an upstream says of its rank, none if it is no rank of a group."""
        report = _decode(_report, await self._call(upstream, _Call("GET", REPORT_PATH)))
        group = report.group
        if group is None:
            return None
        armed = report.armed
        return RankState(
            rank=group.rank,
            size=report.size,
            group=group.name,
            epoch=group.epoch,
            born=report.born,
            is_open=group.state == "open",
            step=report.step,
            active=report.map,
            prepared=report.prepared,
            armed_version=armed.version if isinstance(armed, _Armed) else report.prepared,
            armed_step=armed.step if isinstance(armed, _Armed) else armed,
            held=report.held,
            slowness=report.pace,
        )

    async def counts(self, upstream: Upstream, rank: int) -> RankCounts:
        """Return how often the rank's requests chose each expert.

        Only the process beside an engine is asked: a group rests while an engine answers other
        hosts. Of counts that are known it tells the differences.
        """
        instance = upstream.instance
        known = self._counts.get(instance)
        number = 0 if known is None else known[0]
        headers = [(EXPECT_INSTANCE, instance), (COUNTS_KNOWN, str(number))]
        client = self._client(self._relays, instance, self._beside(upstream))
        call = _Call("GET", COUNTS_PATH)
        answer = await self._fetch(client, upstream, call, headers, b"", COUNTS_TIMEOUT_S)
        told = _decode(_counts_told, answer)
        counts = whole_counts(told, None if known is None else known[1])
        self._counts[instance] = (told.number, counts)
        return RankCounts(rank, told.epoch, told.born, counts, told.step)

    async def placement_held(self, upstream: Upstream) -> list[frozenset[int]]:
        """Return the experts that a rank holds in use, layer by layer."""
        call = _Call("GET", f"{PICKED_PATH}?lists=1")
        lists = _decode(_lists, await self._call(upstream, call))
        return [frozenset(experts) for experts in lists.map.experts]

    async def send_order(
        self, upstream: Upstream, order: RankOrder, epoch: int, fencing: int
    ) -> OrderReply:
        """Give an order.

        A group must not wait for a third host to release a pass: that order goes directly.
        """
        call = _Call("POST", ORDER_PATH, self._order_body(order, epoch, fencing))
        if isinstance(order, PrepareMap):
            call = replace(call, relay_timeout_s=PREPARE_TIMEOUT_S)
        directly = isinstance(order, HoldPass | ReleasePass)
        status, data = await self._call(upstream, call, directly)
        match status:
            case HTTPStatus.OK:
                return OrderReply.DONE
            case HTTPStatus.ACCEPTED:
                return OrderReply.ACCEPTED
            case HTTPStatus.CONFLICT:
                return OrderReply.CONFLICT
            case HTTPStatus.PRECONDITION_FAILED:
                return OrderReply.FENCED
            case _:
                raise RankCallError(f"{upstream.instance} answered {status}: {data[:100]!r}")

    async def forget(self, instance: str) -> None:
        """Close what is kept open to an upstream that is gone."""
        self._counts.pop(instance, None)
        for clients in (self._relays, self._direct):
            client = clients.pop(instance, None)
            if client is not None:
                await client.close()

    async def _call(
        self, upstream: Upstream, call: _Call, directly: bool = False
    ) -> tuple[int, bytes]:
        """Make a call by the process beside the upstream, else directly, or the other way."""
        ways = (self._by_relay, self._directly)
        first, second = reversed(ways) if directly else ways
        try:
            return await first(upstream, call)
        except (RankReplacedError, _NoAnswerError):
            raise
        except _AvoidedError:
            pass
        except RankCallError as error:
            _log.info("engine called the other way", upstream=upstream.instance, reason=str(error))
        return await second(upstream, call)

    async def _by_relay(self, upstream: Upstream, call: _Call) -> tuple[int, bytes]:
        """Make a call by the process beside the upstream, unless that failed a moment ago."""
        instance = upstream.instance
        if time.monotonic() < self._avoided_until.get(instance, 0.0):
            raise _AvoidedError("the process beside the engine did not answer a moment ago")
        client = self._client(self._relays, instance, self._beside(upstream))
        headers, body = self._packed(_headers(instance, call), call.body)
        try:
            return await self._fetch(client, upstream, call, headers, body, call.relay_timeout_s)
        except (RankReplacedError, _NoAnswerError):
            raise
        except RankCallError:
            self._avoided_until[instance] = time.monotonic() + RELAY_AVOIDED_S
            raise

    async def _directly(self, upstream: Upstream, call: _Call) -> tuple[int, bytes]:
        """Call the engine itself, unless it wants no requests of this process."""
        instance = upstream.instance
        if not self._wants_requests(upstream):
            raise RankCallError(f"{instance} wants no requests of this process for a while")
        client = self._client(self._direct, instance, upstream.address)
        headers = _headers(instance, call)
        return await self._fetch(client, upstream, call, headers, call.body, CALL_TIMEOUT_S)

    async def _fetch(
        self,
        client: HttpClient,
        upstream: Upstream,
        call: _Call,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Make a call over one connection."""
        try:
            async with curio.timeout_after(timeout_s):
                status, data = await client.fetch(call.method, call.target, headers, body)
        except curio.TaskTimeout:
            raise RankCallError(f"{upstream.instance} did not answer {call.target}") from None
        except TransportError as error:
            raise RankCallError(f"{upstream.instance}: {error}") from error
        if status == MISDIRECTED:
            raise RankReplacedError(f"another upstream has the address of {upstream.instance}")
        if status == GATEWAY_TIMEOUT:
            raise _NoAnswerError(f"{upstream.instance} left {call.target} unanswered")
        if call.method == "GET" and status != OK:
            raise RankCallError(f"{upstream.instance} answered {status} to {call.target}")
        return status, data

    def _beside(self, upstream: Upstream) -> Address:
        """Return the address of the process beside an engine."""
        return Address(upstream.address.ip, self._relay_port)

    def _order_body(self, order: RankOrder, epoch: int, fencing: int) -> bytes:
        """Return an order's body; that of the last order is kept, as all ranks get the same."""
        told = (order, epoch, fencing)
        if self._last_order is None or self._last_order[0] != told:
            body = msgspec.json.encode({**_order(order), "epoch": epoch, "fence": fencing})
            self._last_order = (told, body)
        return self._last_order[1]

    def _packed(self, headers: Headers, body: bytes) -> tuple[Headers, bytes]:
        """Return headers and body of a call to the process beside an engine.

        The last body that was compressed is kept: all ranks get the same map.
        """
        if len(body) < COMPRESSED_FROM_BYTES:
            return headers, body
        if self._last_packed[0] != body:
            self._last_packed = (body, compress_body(body))
        return [*headers, COMPRESSED], self._last_packed[1]

    def _client(
        self, clients: dict[str, HttpClient], instance: str, address: Address
    ) -> HttpClient:
        """Return the client for an upstream."""
        client = clients.get(instance)
        if client is None or client.address != address:
            timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, LONGEST_CALL_S, LONGEST_CALL_S)
            client = clients[instance] = HttpClient(address, timeouts, MAX_ANSWER_BYTES)
        return client


def _headers(instance: str, call: _Call) -> Headers:
    """Return the headers of a call to an instance."""
    headers = [(EXPECT_INSTANCE, instance)]
    return [*headers, ("content-type", "application/json")] if call.body else headers


def _decode(decoder: Any, answer: tuple[int, bytes]) -> Any:
    """Return an answer's content."""
    try:
        return decoder.decode(answer[1])
    except msgspec.DecodeError as error:
        raise RankCallError(f"an engine's answer cannot be read: {error}") from error


def _order(order: RankOrder) -> dict[str, Any]:
    """Return an order's body."""
    match order:
        case ClaimRank():
            return {"op": "disarm", "version": NO_VERSION}
        case PrepareMap(version, placement):
            return {"op": "prepare", "version": version, "map": _experts_by_set(placement)}
        case HoldPass(step):
            return {"op": "hold", "step": step}
        case ArmMap(version, step):
            return {"op": "arm", "version": version, "step": step}
        case ReleasePass(step):
            return {"op": "go", "step": step}


def _experts_by_set(placement: Placement) -> list[list[list[int]]]:
    """Return a placement as experts by set and rank."""
    return [[sorted(held) for held in layer] for layer in placement.layers]
