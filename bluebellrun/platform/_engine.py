"""Client for the ranks of a model group, through their sidecars where these answer."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any

import curio
import msgspec

from bluebellrun.core import Address, DecodingError, decode
from bluebellrun.expert_maps import OrderReply, RankCallError, RankReplacedError
from bluebellrun.gateway import Upstream
from bluebellrun.http import (
    COMPRESSED,
    COMPRESSED_FROM_BYTES,
    ClientTimeouts,
    Headers,
    HttpClient,
    TransportError,
    compress_body,
    header_text,
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
from bluebellrun.platform._rank_messages import Armed, RankMaps, Report
from bluebellrun.sidecar import COUNTS_KNOWN, COUNTS_PATH, RankCountsReport, complete_counts
from bluebellrun.telemetry import get_logger

OK = 200
MISDIRECTED = 421
GATEWAY_TIMEOUT = 504
# Calls within a region take a few milliseconds; an unanswered order is soon sent again, as the
# group may be waiting.
CONNECT_TIMEOUT_S = 0.15
CALL_TIMEOUT_S = 0.25
# A sidecar that does not forward a call within this time is bypassed for RELAY_BYPASS_S: its host
# may have stopped it, and the group may be waiting.
RELAY_TIMEOUT_S = 0.08
RELAY_BYPASS_S = 2.0
# A version that no rank ever has: disarming it only raises the fencing number that a rank has seen.
UNUSED_VERSION = 2_000_000_000
# Counts are read again soon afterwards, so a missed answer does no harm.
COUNTS_TIMEOUT_S = 0.4
# An engine copies experts within this time unless its group is waiting.
PREPARE_TIMEOUT_S = 0.5
# Bodies of orders that are kept for the other ranks: a process changes the maps of a few groups at
# a time, and each change sends one order after the other.
CACHED_BODIES = 8
# Upper bound for the HTTP client; each call has a shorter timeout of its own.
MAX_CALL_S = 1.0

_log = get_logger("engine-calls")


@dataclass(frozen=True, slots=True)
class _Call:
    """A call to an engine, and the sidecar's time to forward it in seconds."""

    method: str
    target: str
    body: bytes = b""
    relay_timeout_s: float = RELAY_TIMEOUT_S


class _NoAnswerError(RankCallError):
    """The sidecar reports that its engine did not answer."""


class _RelayBypassedError(RankCallError):
    """The sidecar recently failed to forward a call and is being bypassed."""


_report = msgspec.json.Decoder(Report)
_counts_report = msgspec.msgpack.Decoder(RankCountsReport)
_rank_maps = msgspec.json.Decoder(RankMaps)


class EngineClient:
    """Calls ranks through their sidecars, or directly if a sidecar does not answer.

    An upstream that does not accept requests from this process is not called directly either.
    """

    def __init__(
        self,
        relay_port: int,
        accepts_requests: Callable[[Upstream], bool] = lambda upstream: True,
    ) -> None:
        self._relay_port = relay_port
        self._accepts_requests = accepts_requests
        self._relays: dict[str, HttpClient] = {}
        self._direct: dict[str, HttpClient] = {}
        self._relay_bypassed_until: dict[str, float] = {}
        # The last report number and the full counts, by instance.
        self._counts: dict[str, tuple[int, tuple[int, ...]]] = {}
        self._order_bodies: dict[tuple[RankOrder, int, int], bytes] = {}
        self._compressed_bodies: dict[bytes, bytes] = {}

    async def state(self, upstream: Upstream) -> RankState | None:
        """Return the state of an upstream's rank, or ``None`` if it is not a rank of a group."""
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
            armed_version=armed.version if isinstance(armed, Armed) else report.prepared,
            armed_step=armed.step if isinstance(armed, Armed) else armed,
            held=report.held,
            slowness=report.pace,
        )

    async def counts(self, upstream: Upstream, rank: int) -> RankCounts:
        """Return how often the rank's requests chose each expert.

        Only the sidecar is called: a group pauses while one of its engines answers another host.
        The sidecar reports only the differences from counts that the client already has.
        """
        instance = upstream.instance
        known = self._counts.get(instance)
        number = 0 if known is None else known[0]
        headers = [(EXPECT_INSTANCE, header_text(instance)), (COUNTS_KNOWN, str(number))]
        client = self._client(self._relays, instance, self._relay_address(upstream))
        call = _Call("GET", COUNTS_PATH)
        answer = await self._fetch(client, upstream, call, headers, b"", COUNTS_TIMEOUT_S)
        report = _decode(_counts_report, answer)
        counts = complete_counts(report, None if known is None else known[1])
        self._counts[instance] = (report.number, counts)
        return RankCounts(rank, report.epoch, report.born, counts, report.step)

    async def placement_held(self, upstream: Upstream) -> list[frozenset[int]]:
        """Return the experts in a rank's active map, layer by layer."""
        call = _Call("GET", f"{PICKED_PATH}?lists=1")
        lists = _decode(_rank_maps, await self._call(upstream, call))
        return [frozenset(experts) for experts in lists.map.experts]

    async def send_order(
        self, upstream: Upstream, order: RankOrder, epoch: int, fencing: int
    ) -> OrderReply:
        """Send an order to a rank and return its reply.

        Orders to hold or release a pass go directly: a group must not wait for a third host.
        """
        call = _Call("POST", ORDER_PATH, self._order_body(order, epoch, fencing))
        if isinstance(order, PrepareMap):
            call = replace(call, relay_timeout_s=PREPARE_TIMEOUT_S)
        direct = isinstance(order, HoldPass | ReleasePass)
        status, data = await self._call(upstream, call, direct)
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
        """Close the connections to a removed upstream and drop its counts."""
        self._counts.pop(instance, None)
        for clients in (self._relays, self._direct):
            client = clients.pop(instance, None)
            if client is not None:
                await client.close()

    async def _call(
        self, upstream: Upstream, call: _Call, direct: bool = False
    ) -> tuple[int, bytes]:
        """Make a call through the sidecar and then directly, or in reverse order if ``direct``."""
        routes = (self._call_relay, self._call_engine)
        first, second = reversed(routes) if direct else routes
        try:
            return await first(upstream, call)
        except (RankReplacedError, _NoAnswerError):
            raise
        except _RelayBypassedError:
            pass
        except RankCallError as error:
            _log.info("call failed, switching route", upstream=upstream.instance, reason=str(error))
        return await second(upstream, call)

    async def _call_relay(self, upstream: Upstream, call: _Call) -> tuple[int, bytes]:
        """Make a call through the sidecar unless it is being bypassed."""
        instance = upstream.instance
        if time.monotonic() < self._relay_bypassed_until.get(instance, 0.0):
            raise _RelayBypassedError("the sidecar recently failed to forward a call")
        client = self._client(self._relays, instance, self._relay_address(upstream))
        headers, body = self._compressed(_headers(instance, call), call.body)
        try:
            return await self._fetch(client, upstream, call, headers, body, call.relay_timeout_s)
        except (RankReplacedError, _NoAnswerError):
            raise
        except RankCallError:
            self._relay_bypassed_until[instance] = time.monotonic() + RELAY_BYPASS_S
            raise

    async def _call_engine(self, upstream: Upstream, call: _Call) -> tuple[int, bytes]:
        """Call the engine directly unless it does not accept requests from this process."""
        instance = upstream.instance
        if not self._accepts_requests(upstream):
            raise RankCallError(f"{instance} accepts no requests from this process for now")
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
        """Make one HTTP call; raise ``RankCallError`` if it fails."""
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
            raise _NoAnswerError(f"{upstream.instance}: sidecar got no answer to {call.target}")
        if call.method == "GET" and status != OK:
            raise RankCallError(f"{upstream.instance} answered {status} to {call.target}")
        return status, data

    def _relay_address(self, upstream: Upstream) -> Address:
        """Return the address of an engine's sidecar."""
        return Address(upstream.address.ip, self._relay_port)

    def _order_body(self, order: RankOrder, epoch: int, fencing: int) -> bytes:
        """Return an order's encoded body; it is cached, as all ranks of a group get the same."""
        order_key = (order, epoch, fencing)
        if order_key not in self._order_bodies:
            body = msgspec.json.encode({**_order(order), "epoch": epoch, "fence": fencing})
            _cache(self._order_bodies, order_key, body)
        return self._order_bodies[order_key]

    def _compressed(self, headers: Headers, body: bytes) -> tuple[Headers, bytes]:
        """Return headers and body of a call to a sidecar, with a large body compressed.

        The compressed body is cached, as all ranks of a group get the same map.
        """
        if len(body) < COMPRESSED_FROM_BYTES:
            return headers, body
        if body not in self._compressed_bodies:
            _cache(self._compressed_bodies, body, compress_body(body))
        return [*headers, COMPRESSED], self._compressed_bodies[body]

    def _client(self, pool: dict[str, HttpClient], instance: str, address: Address) -> HttpClient:
        """Return the pooled client for an upstream; replace it if the address has changed."""
        client = pool.get(instance)
        if client is None or client.address != address:
            timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, MAX_CALL_S, MAX_CALL_S)
            client = pool[instance] = HttpClient(address, timeouts, MAX_ANSWER_BYTES)
        return client


def _cache(cache: dict[Any, bytes], key: Any, body: bytes) -> None:
    """Add to a cache of the last bodies; the oldest is dropped first."""
    cache[key] = body
    if len(cache) > CACHED_BODIES:
        del cache[next(iter(cache))]


def _headers(instance: str, call: _Call) -> Headers:
    """Return the headers of a call to an upstream instance."""
    headers = [(EXPECT_INSTANCE, header_text(instance))]
    return [*headers, ("content-type", "application/json")] if call.body else headers


def _decode(decoder: Any, answer: tuple[int, bytes]) -> Any:
    """Decode an answer; raise ``RankCallError`` if it is malformed."""
    try:
        return decode(decoder, answer[1])
    except DecodingError as error:
        raise RankCallError(f"an engine's answer cannot be read: {error}") from error


def _order(order: RankOrder) -> dict[str, Any]:
    """Return an order's fields on the wire."""
    match order:
        case ClaimRank():
            return {"op": "disarm", "version": UNUSED_VERSION}
        case PrepareMap(version, placement):
            return {"op": "prepare", "version": version, "map": _experts_by_layer(placement)}
        case HoldPass(step):
            return {"op": "hold", "step": step}
        case ArmMap(version, step):
            return {"op": "arm", "version": version, "step": step}
        case ReleasePass(step):
            return {"op": "go", "step": step}


def _experts_by_layer(placement: Placement) -> list[list[list[int]]]:
    """Return a placement as lists of experts by layer and rank."""
    return [[sorted(held) for held in layer] for layer in placement.layers]
