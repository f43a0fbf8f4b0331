"""State of a node: documents, members, hosts and the age of the store's confirmation.

Changes come from the store, parents and children, and are forwarded to the other peers through
the configured sender.
"""

import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import curio

from bluebellrun.core import Clock
from bluebellrun.distribution._configuration import ConfigurationFollower
from bluebellrun.distribution._documents import Delta, DocumentSet, encode_delta
from bluebellrun.distribution._settings import NodeSettings
from bluebellrun.membership import (
    Departures,
    HostTable,
    MemberRow,
    MemberState,
    MemberTable,
    RelayTree,
)
from bluebellrun.messages import ControlMessage, DocumentsUpdate, Heartbeat, HostStates, MemberRows
from bluebellrun.telemetry import get_logger

UNKNOWN_AGE_S = 1e9
MILLISECONDS = 1_000

PeerListener = Callable[[list[MemberRow]], Awaitable[None]]
DepartureListener = Callable[[Departures], Awaitable[None]]

_log = get_logger("distribution")


class Sender(Protocol):
    """Sends a message to all peers except the one that it came from."""

    async def send(self, message: ControlMessage, exclude: object | None) -> None:
        """Send a message to parents and children to which it applies."""


class NodeState:
    """The control plane state of one process."""

    def __init__(self, settings: NodeSettings, address: str, clock: Clock) -> None:
        own = MemberRow(
            name=settings.name,
            role=settings.role,
            host=settings.host,
            region=settings.region,
            failure_domain=settings.failure_domain,
            address=address,
            epoch=time.time_ns() // (MILLISECONDS * MILLISECONDS),
        )
        self.settings = settings
        self.clock = clock
        self.documents = DocumentSet()
        self.follower = ConfigurationFollower(clock)
        self.members = MemberTable(own, settings.suspicion)
        self.hosts = HostTable()
        self.joined = False
        self.stopping = False
        self.watching_since: float | None = None
        self.store_confirmed_at: float | None = None
        self._departures = Departures()
        self._departure_listeners: list[DepartureListener] = []
        self._peers: list[MemberRow] = []
        self._peer_listeners: list[PeerListener] = []
        self._sender: Sender | None = None
        self._full_encoded = b""
        self._full_version = 0
        self._source = ""
        self._changed = curio.Event()
        self._tree = RelayTree([])
        self._tree_names: list[str] = []

    @property
    def now(self) -> float:
        """Return the clock's reading in seconds."""
        return self.clock.now()

    @property
    def watching(self) -> bool:
        """Return whether this process watches the store."""
        return self.watching_since is not None

    @property
    def departures(self) -> Departures:
        """Return the hosts and members that get no new work."""
        return self._departures

    @property
    def tree(self) -> RelayTree:
        """Return the relay tree of the members that are live now."""
        names = self.members.relays()
        if names != self._tree_names:
            self._tree = RelayTree(names, self.settings.watchers, self.settings.fanout)
            self._tree_names = names
        return self._tree

    def set_sender(self, sender: Sender) -> None:
        """Set the sender that forwards changes."""
        self._sender = sender

    def add_departure_listener(self, listener: DepartureListener) -> None:
        """Call a function whenever the hosts or members that get no new work change."""
        self._departure_listeners.append(listener)

    def add_peer_listener(self, listener: PeerListener) -> None:
        """Call a function with the live members of this failure domain when they change."""
        self._peer_listeners.append(listener)

    async def apply_delta(self, delta: Delta, source: str, exclude: object | None = None) -> bool:
        """Apply and forward document changes; return whether the version increased.

        Raises ``DistributionError`` when changes before them are missing.
        """
        if not self.documents.apply(delta):
            return False
        self._source = source
        await self._changed.set()
        await self._send(DocumentsUpdate(encode_delta(delta)), exclude)
        return True

    async def apply_changes(self) -> None:
        """Put newer versions in force and notify listeners of departures, in order.

        One task does this, so that no listener sees an older version after a newer one, and a
        lost link does not interrupt a change that is being put in force.
        """
        while True:
            await self._changed.wait()
            self._changed.clear()
            documents = self.documents
            if documents.version > self.follower.version:
                await self.follower.put_in_force(documents.version, documents.items, self._source)
            await self._check_departures()
            await self._check_peers()

    def encoded_since(self, version: int) -> bytes | None:
        """Return the encoded changes after a version, or none; a full delta is cached."""
        delta = self.documents.since(version)
        if delta is None or not delta.whole:
            return None if delta is None else encode_delta(delta)
        if self._full_version != delta.version:
            self._full_encoded = encode_delta(delta)
            self._full_version = delta.version
        return self._full_encoded

    async def merge_rows(self, rows: Iterable[MemberRow], exclude: object | None = None) -> None:
        """Merge rows of this failure domain's members and forward the changed ones."""
        rows_of_domain = [row for row in rows if row.failure_domain == self.settings.failure_domain]
        changed = self.members.merge(rows_of_domain, self.now)
        await self.forward_rows(changed, exclude)

    async def forward_rows(self, changed: list[MemberRow], exclude: object | None = None) -> None:
        """Forward changed rows; a change of the own row is also sent back to its origin."""
        if not changed:
            return
        own_rows = [row for row in changed if row.name == self.settings.name]
        await self._send(MemberRows(changed), None if own_rows else exclude)
        await self._changed.set()

    async def apply_hosts(self, hosts: HostStates) -> None:
        """Apply a parent's host table and forward it if it changed."""
        if self.hosts.replace(hosts.states, frozenset(hosts.gone), self.now):
            await self.hosts_changed()

    async def hosts_changed(self) -> None:
        """Forward a changed host table."""
        await self._send(self.hosts_message(), None)
        await self._changed.set()

    def hosts_message(self) -> HostStates:
        """Return the host table as a message."""
        return HostStates(self.hosts.states, sorted(self.hosts.gone))

    def heartbeat(self, hops: int, watcher_age_s: float, store_age_s: float) -> Heartbeat:
        """Return the heartbeat for this process's children."""
        return Heartbeat(
            version=self.documents.version,
            digest=self.documents.digest,
            members_digest=self.members.digest,
            hosts_digest=self.hosts.digest,
            hops=hops,
            watcher_age_s=watcher_age_s,
            store_age_s=store_age_s,
        )

    async def _send(self, message: ControlMessage, exclude: object | None) -> None:
        """Forward a change."""
        if self._sender is not None:
            await self._sender.send(message, exclude)

    async def _check_departures(self) -> None:
        """Notify the listeners when the hosts or members that get no new work changed."""
        hosts = self.hosts.departures
        leaving = frozenset(self.members.names(MemberState.LEAVING))
        departures = Departures(hosts.leaving, hosts.gone, leaving)
        if departures == self._departures:
            return
        self._departures = departures
        _log.info("departures changed", hosts=sorted(hosts.leaving), members=sorted(leaving))
        for listener in self._departure_listeners:
            await listener(departures)

    async def _check_peers(self) -> None:
        """Notify the listeners when the live members of this failure domain changed."""
        rows = [row for row in self.members.rows if row.state is MemberState.LIVE]
        if rows == self._peers:
            return
        self._peers = rows
        for listener in self._peer_listeners:
            await listener(rows)
