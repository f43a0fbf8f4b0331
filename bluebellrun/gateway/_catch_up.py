"""Fetch the store's contents from another entry while this one does not hear from the store.

A store may reject single hosts and serve the others, and its answers to single calls may be lost.
Entries still reach each other then, so the one with the most recent store contact serves what it
read: configuration and registrations.
"""

import time

import curio
import msgspec

from bluebellrun.core import Address, decode, parse_address
from bluebellrun.gateway._peers import EntryStatus, PeerTable
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
    TransportError,
)
from bluebellrun.store import KeyValue, Snapshot, StorePosition
from bluebellrun.telemetry import get_logger

SILENCE_S = 1.0
# Entries read a change at the same time, but for a slow answer and a batch of changes.
BEHIND_S = 0.7
INTERVAL_S = 0.25
CALL_TIMEOUT_S = 0.5
# Finite value sent to other entries in place of infinity: the store was never reached.
NEVER_REACHED_S = 1e6
# Another entry's store contact has to be this much more recent to be used.
MIN_FRESHNESS_GAIN_S = 0.5
OK = 200

_log = get_logger("catch-up")


class _Key(msgspec.Struct, frozen=True, array_like=True):
    """A key of the store as one entry read it."""

    key: str
    value: bytes
    revision: int


class _StoreCopy(msgspec.Struct, frozen=True, array_like=True):
    """The keys that one entry read, and the store's revision and era up to which it read them.

    Older builds name no era, and no evacuations among the keys.
    """

    revision: int
    keys: list[_Key]
    era: int = 0
    has_evacuations: bool = False


_decoder = msgspec.msgpack.Decoder(_StoreCopy)
# Other entries ask without a body, at most once a second each.
LIMITS = HttpLimits(max_header_bytes=16_384, max_body_bytes=16_384, max_connections=64)


class CatchUp:
    """Serve this entry's copy of the store to others, and fetch theirs when the store is silent.

    One call of the store's watch takes up to ``watch_call_s`` seconds. Another entry's copy is
    fetched too if that entry has known for ``BEHIND_S`` seconds what this one has not read.
    """

    def __init__(
        self, address: Address, view: StoreView, table: PeerTable, watch_call_s: float
    ) -> None:
        self._watched_silence_s = watch_call_s
        self._awaited: StorePosition | None = None
        self._awaited_since = 0.0
        self._view = view
        self._table = table
        self._server = HttpServer(address, self._serve_copy, LIMITS)

    @property
    def address(self) -> Address:
        """Return the address at which other entries fetch this one's copy."""
        return self._server.address

    async def serve(self) -> None:
        """Serve other entries until cancelled."""
        await self._server.run()

    async def run(self) -> None:
        """Fetch from another entry whenever the store is silent, until cancelled."""
        while True:
            await curio.sleep(INTERVAL_S)
            peer = self._peer_to_query() or self._peer_ahead(time.monotonic())
            if peer is None:
                continue
            try:
                await self._fetch(parse_address(peer.address), peer.outage_age_s)
            except (TransportError, ValueError, curio.TaskTimeout) as error:
                _log.info("store copy not fetched", entry=peer.entry, reason=str(error))

    def _peer_to_query(self) -> EntryStatus | None:
        """Return the entry with more recent store contact if this one has lost it, or none."""
        silence_s = self._view.silence_s()
        if silence_s < self._watched_silence_s and not self._view.is_cut_off(SILENCE_S):
            return None
        peer = self._table.best_informed()
        if peer is None or peer.silence_s > silence_s - MIN_FRESHNESS_GAIN_S:
            return None
        return peer

    def _peer_ahead(self, now: float) -> EntryStatus | None:
        """Return an entry that knows what this one should have read by now, or none."""
        peer, known = self._table.furthest(), self._view.position
        if self._awaited is None or known >= self._awaited:
            is_ahead = peer is not None and peer.position > known
            self._awaited = peer.position if peer is not None and is_ahead else None
            self._awaited_since = now
            return None
        if peer is None or now - self._awaited_since < BEHIND_S:
            return None
        _log.info(
            "behind another entry",
            entry=peer.entry,
            revision=known.revision,
            era=known.era,
            known_to_entry=peer.revision,
            behind_s=round(now - self._awaited_since, 3),
        )
        self._awaited = None
        return peer

    async def _fetch(self, address: Address, outage_age_s: float) -> None:
        """Fetch and apply what another entry read, ``outage_age_s`` after its last outage."""
        client = HttpClient(address, ClientTimeouts(CALL_TIMEOUT_S, CALL_TIMEOUT_S, CALL_TIMEOUT_S))
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                status, data = await client.fetch("GET", "/store", [])
        finally:
            await client.close()
        if status != OK:
            raise ValueError(f"{address} answered {status} to a request for its store copy")
        copy = decode(_decoder, data)
        items = tuple(KeyValue(item.key, item.value, item.revision) for item in copy.keys)
        snapshot = Snapshot(items, copy.revision, copy.era)
        self._view.apply_peer_snapshot(snapshot, outage_age_s, copy.has_evacuations)

    async def _serve_copy(self, exchange: HttpExchange) -> None:
        """Answer with what this entry read."""
        keys = [_Key(item.key, item.value, item.mod_revision) for item in self._view.shared]
        position = self._view.position
        copy = _StoreCopy(position.revision, keys, position.era, self._view.knows_evacuations)
        body = msgspec.msgpack.encode(copy)
        await exchange.answer(OK, [("content-type", "application/msgpack")], body)
