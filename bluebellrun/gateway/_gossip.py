"""Register this entry in the store, find the others there, and exchange status with them."""

import time
from collections.abc import Callable

import curio
import msgspec
from curio import socket

from bluebellrun.core import Address, parse_address
from bluebellrun.expert_maps import SlowUpstreams
from bluebellrun.gateway._crash_exchange import CrashExchange
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._peers import (
    SILENT_S,
    EntryStatus,
    PeerTable,
    decode_status,
    encode_status,
)
from bluebellrun.gateway._permit_messages import (
    PermitReply,
    PermitRequest,
    decode_permit_message,
)
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.runtime import spawn_background
from bluebellrun.store import KeyValueStore, PlatformError, Put
from bluebellrun.telemetry import get_logger

# Load changes with every request; at this rate an entry's status costs some kilobytes a second.
SEND_INTERVAL_S = 0.1
# Entries that one round sends to; the next round continues with the next ones. Traffic per entry
# does not grow with the number of entries; beyond this number, status is older instead.
PEERS_PER_ROUND = 16
# Lease of a registration: an entry that crashed is removed after this.
REGISTRATION_S = 12
RENEW_INTERVAL_S = 4.0
RETRY_INTERVAL_S = 0.5
# Datagrams get lost occasionally; an entry counts as silent after this many rounds without one.
SILENT_ROUNDS = 4
# Fraction of that time after which the holder of a role, which may delay a group, is suspected.
SUSPECT_FRACTION = 0.6
MAX_DATAGRAM_BYTES = 60_000

_log = get_logger("gossip")


class Gossip:
    """Exchange status with the other entries."""

    def __init__(
        self,
        address: Address,
        key: str,
        store: KeyValueStore,
        view: StoreView,
        table: PeerTable,
        slow: SlowUpstreams,
        fleet: Fleet,
        status: Callable[[], EntryStatus],
        crashes: CrashExchange,
    ) -> None:
        self._address = address
        self._key = key
        self._store = store
        self._view = view
        self._table = table
        self._slow = slow
        self._fleet = fleet
        self._status = status
        self._crashes = crashes
        self._lease = 0
        self._lease_era = 0
        self._next_peer = 0

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

    @property
    def others(self) -> int | None:
        """Return the number of the other entries, none while the register has not been read."""
        return None if self._view.confirmed_at is None else len(self.peers)

    def is_silent(self, entry: str) -> bool:
        """Return whether an entry has been silent while others kept sending."""
        silent_s = SUSPECT_FRACTION * silent_after_s(len(self.peers))
        return self._table.is_silent_alone(entry, silent_s, time.monotonic())

    async def run(self) -> None:
        """Exchange status until cancelled."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((self._address.ip, self._address.port))

        async def send(data: bytes, peer: Address) -> None:
            await sock.sendto(data, (peer.ip, peer.port))

        self._fleet.permits.connect(send)
        await spawn_background(self._receive, sock)
        await self._send_rounds(sock)

    async def _send_rounds(self, sock: object) -> None:
        """Send this entry's status until cancelled.

        A crash is told to all entries at once: until they know of it they send the next request
        that causes one, and this entry may end before its next round.
        """
        while True:
            has_crash = await self._crashes.own_crash_within(SEND_INTERVAL_S)
            peers = self.peers
            now = time.monotonic()
            self._table.expire(now, silent_after_s(len(peers)))
            if self._view.record(self._key) is not None:
                self._fleet.permits.record_registered(now)
            await self._send(sock, peers if has_crash else self._next_peers(peers))

    async def keep_registered(self) -> None:
        """Keep this entry in the register until cancelled."""
        while True:
            try:
                await self._register()
                pause_s = RENEW_INTERVAL_S
            except PlatformError as error:
                _log.info("entry not registered", reason=str(error))
                pause_s = RETRY_INTERVAL_S
            await self._pause(pause_s)

    async def _pause(self, seconds: float) -> None:
        """Wait, but not longer than until the store is found to have been restored."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self._is_lease_current():
            await curio.sleep(min(RETRY_INTERVAL_S, until - time.monotonic()))

    def _is_lease_current(self) -> bool:
        """Return whether the store still has this entry's lease, as far as is known."""
        return not self._lease or self._lease_era == self._store.era

    async def _register(self) -> None:
        """Renew the registration, or create a new one.

        After a restore of the store the lease's id may have been granted to another process. A
        write whose answer was lost may be carried out late and bind the key to an older lease, with
        which the key goes; the registration is created again then.
        """
        if self._lease and self._is_lease_current():
            remaining_s = await self._store.keep_alive(self._lease)
            if remaining_s > 0 and self._is_lease_current() and not self._is_key_missing():
                return
        self._lease = 0
        lease = await self._store.grant_lease(REGISTRATION_S)
        era = self._store.era
        await self._store.transact([], [Put(self._key, str(self._address).encode(), lease)])
        self._lease, self._lease_era = lease, era
        _log.info("entry registered", key=self._key, address=str(self._address), era=era)

    def _is_key_missing(self) -> bool:
        """Return whether the store, as far as it was read, has no registration of this entry."""
        return self._view.confirmed_at is not None and self._view.record(self._key) is None

    async def _send(self, sock: object, peers: list[Address]) -> None:
        """Send this entry's status to other entries."""
        if not peers:
            return
        data = encode_status(self._status())
        if len(data) > MAX_DATAGRAM_BYTES:
            _log.warning("status not sent", bytes=len(data), limit=MAX_DATAGRAM_BYTES)
            return
        for peer in peers:
            try:
                await sock.sendto(data, (peer.ip, peer.port))  # type: ignore[attr-defined]
            except OSError as error:
                _log.info("status not sent", peer=str(peer), reason=str(error))

    def _next_peers(self, peers: list[Address]) -> list[Address]:
        """Return the entries to send to in this round."""
        if len(peers) <= PEERS_PER_ROUND:
            return peers
        start = self._next_peer % len(peers)
        self._next_peer = start + PEERS_PER_ROUND
        return (peers[start:] + peers[:start])[:PEERS_PER_ROUND]

    async def _receive(self, sock: object) -> None:
        """Receive the others' status until cancelled."""
        while True:
            try:
                data, sender = await sock.recvfrom(MAX_DATAGRAM_BYTES)  # type: ignore[attr-defined]
            except OSError as error:
                _log.info("status not received", reason=str(error))
                await curio.sleep(SEND_INTERVAL_S)
                continue
            status = decode_status(data)
            if status is not None:
                self._apply_status(status)
                continue
            match decode_permit_message(data):
                case PermitRequest() as request:
                    await self._answer_permit_request(sock, request, Address(*sender))
                case PermitReply() as reply:
                    await self._fleet.permits.receive(reply)

    def _apply_status(self, status: EntryStatus) -> None:
        """Apply another entry's status unless it is outdated."""
        now = time.monotonic()
        if not self._table.record(status, now):
            return
        slow = status.slow if status.group_slow is None else status.group_slow
        if slow is not None:
            self._slow.replace(slow, now, status.entry)
        self._crashes.receive(status.entry, status.crashes, status.probing, now)
        for incarnation in status.leaving:
            self._fleet.mark_leaving(incarnation, now, reported_by=status.entry)
        self._fleet.permits.apply_reports(status.limits or [], status.entry, now)
        if status.running:
            self._fleet.cold.record_traffic()
        for report in status.cold:
            upstream = self._fleet.directory.find(report.instance)
            if upstream is not None and upstream.incarnation == report.incarnation:
                self._fleet.cold.apply_report(upstream, report.left_s, now)

    async def _answer_permit_request(
        self, sock: object, request: PermitRequest, sender: Address
    ) -> None:
        """Answer another entry's request for a permit."""
        reply = self._fleet.permits.answer(request, self._fleet.directory.find)
        try:
            data = msgspec.msgpack.encode(reply)
            await sock.sendto(data, (sender.ip, sender.port))  # type: ignore[attr-defined]
        except OSError as error:
            _log.info("permit reply not sent", peer=str(sender), reason=str(error))


def status_age_s(peers: int) -> float:
    """Return the typical age of another entry's status, by the number of entries."""
    return SEND_INTERVAL_S * max(1.0, peers / PEERS_PER_ROUND)


def silent_after_s(peers: int) -> float:
    """Return after how long without a datagram an entry counts as silent, by their number."""
    return max(SILENT_S, SILENT_ROUNDS * SEND_INTERVAL_S * peers / PEERS_PER_ROUND)
