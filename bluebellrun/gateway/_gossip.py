"""Register this entry in the store, find the others there, and exchange news with them."""

import time
from collections.abc import Callable

import curio
from curio import socket

from bluebellrun.core import Address, parse_address
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._peers import (
    SILENT_S,
    EntryStatus,
    PeerTable,
    decode_status,
    encode_status,
)
from bluebellrun.gateway._slow_upstreams import SlowUpstreams
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.runtime import spawn_background
from bluebellrun.store import KeyValueStore, PlatformError, Put
from bluebellrun.telemetry import get_logger

# Load changes with every request; at this rate the news of an entry cost some kilobytes a second.
SEND_INTERVAL_S = 0.1
# So many entries are told at a time, the next ones at the next turn: what an entry sends and hears
# does not grow with the number of entries; with more than these, news are older instead.
TOLD_AT_A_TIME = 16
# An entry that ended without a word is out of the register after this.
REGISTRATION_S = 12
RENEW_INTERVAL_S = 4.0
RETRY_INTERVAL_S = 0.5
# Datagrams are lost now and then; after so many turns without one an entry is taken to be gone.
TURNS_TO_BE_SILENT = 4
# One that may hold up a group is suspected sooner.
SUSPECT_PART = 0.6
MAX_DATAGRAM_BYTES = 60_000

_log = get_logger("gossip")


class Gossip:
    """Exchange news with the other entries."""

    def __init__(
        self,
        address: Address,
        key: str,
        store: KeyValueStore,
        view: StoreView,
        table: PeerTable,
        slow: SlowUpstreams,
        fleet: Fleet,
        news: Callable[[], EntryStatus],
    ) -> None:
        self._address = address
        self._key = key
        self._store = store
        self._view = view
        self._table = table
        self._slow = slow
        self._fleet = fleet
        self._news = news
        self._lease = 0
        self._told = 0

    @property
    def peers(self) -> list[Address]:
        """Return the addresses of the other entries in the register."""
        prefix = self._key.rpartition("/")[0] + "/"
        found = []
        for record in self._view.records_below(prefix):
            if record.value is None or record.key == self._key:
                continue
            try:
                found.append(parse_address(record.value.decode()))
            except ValueError as error:
                _log.warning("entry ignored", key=record.key, reason=str(error))
        return found

    def is_silent(self, entry: str) -> bool:
        """Return whether an entry told nothing for a while that others went on telling."""
        silent_s = SUSPECT_PART * silent_after_s(len(self.peers))
        return self._table.is_silent_alone(entry, silent_s, time.monotonic())

    async def run(self) -> None:
        """Exchange news until cancelled."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((self._address.ip, self._address.port))
        await spawn_background(self._receive, sock)
        while True:
            await curio.sleep(SEND_INTERVAL_S)
            self._table.expire(time.monotonic(), silent_after_s(len(self.peers)))
            await self._send(sock)

    async def keep_registered(self) -> None:
        """Keep this entry in the register until cancelled."""
        while True:
            try:
                await self._register()
                pause_s = RENEW_INTERVAL_S
            except PlatformError as error:
                _log.info("entry not registered", reason=str(error))
                pause_s = RETRY_INTERVAL_S
            await curio.sleep(pause_s)

    async def _register(self) -> None:
        """Renew the registration, or make it anew."""
        if self._lease and await self._store.keep_alive(self._lease) > 0:
            return
        self._lease = 0
        lease = await self._store.grant_lease(REGISTRATION_S)
        await self._store.transact([], [Put(self._key, str(self._address).encode(), lease)])
        self._lease = lease
        _log.info("entry registered", key=self._key, address=str(self._address))

    async def _send(self, sock: object) -> None:
        """Send the news to all other entries."""
        peers = self.peers
        if not peers:
            return
        data = encode_status(self._news())
        if len(data) > MAX_DATAGRAM_BYTES:
            _log.warning("news not sent", bytes=len(data), limit=MAX_DATAGRAM_BYTES)
            return
        for peer in self._next_told(peers):
            try:
                await sock.sendto(data, (peer.ip, peer.port))  # type: ignore[attr-defined]
            except OSError as error:
                _log.info("news not sent", peer=str(peer), reason=str(error))

    def _next_told(self, peers: list[Address]) -> list[Address]:
        """Return the entries whose turn it is."""
        if len(peers) <= TOLD_AT_A_TIME:
            return peers
        start = self._told % len(peers)
        self._told = start + TOLD_AT_A_TIME
        return (peers[start:] + peers[:start])[:TOLD_AT_A_TIME]

    async def _receive(self, sock: object) -> None:
        """Take the others' news until cancelled."""
        while True:
            try:
                data, _ = await sock.recvfrom(MAX_DATAGRAM_BYTES)  # type: ignore[attr-defined]
            except OSError as error:
                _log.info("news not received", reason=str(error))
                await curio.sleep(SEND_INTERVAL_S)
                continue
            news = decode_status(data)
            if news is None or not self._table.record(news, time.monotonic()):
                continue
            now = time.monotonic()
            if news.slow is not None:
                self._slow.replace(news.slow, now)
            for life in news.leaving:
                self._fleet.mark_leaving(life, now, reported_by=news.entry)


def news_age_s(peers: int) -> float:
    """Return how old the news of another entry usually are, by the number of entries."""
    return SEND_INTERVAL_S * max(1.0, peers / TOLD_AT_A_TIME)


def silent_after_s(peers: int) -> float:
    """Return after how long without news an entry counts as silent, by the number of entries."""
    return max(SILENT_S, TURNS_TO_BE_SILENT * SEND_INTERVAL_S * peers / TOLD_AT_A_TIME)
