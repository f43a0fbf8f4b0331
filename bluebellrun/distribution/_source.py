"""The tasks of a watcher: follow the store's documents and the platform's host list."""

from random import Random

import curio

from bluebellrun.distribution._exceptions import DistributionError
from bluebellrun.distribution._state import NodeState
from bluebellrun.store import (
    HostList,
    KeyValueStore,
    PlatformError,
    PrefixFollower,
    Snapshot,
    WatchEvent,
)
from bluebellrun.telemetry import get_logger

STORE = "store"
MAX_HOSTS_BYTES_PER_S = 8_000
BYTES_PER_HOST = 45

_log = get_logger("distribution.source")


class Source:
    """Follow the platform for this process and its descendants."""

    def __init__(
        self, state: NodeState, store: KeyValueStore, hosts: HostList | None, random: Random
    ) -> None:
        self._state = state
        self._store = store
        self._host_list = hosts
        self._random = random
        self._prefix = f"{state.settings.prefix}/config/"
        self._pending: dict[str, bytes] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        state = self._state
        follower = PrefixFollower(
            self._store,
            self._prefix,
            self._apply_snapshot,
            self._apply_events,
            state.clock,
            self._random,
            state.documents.version,
        )
        async with curio.TaskGroup() as group:
            await group.spawn(follower.run)
            await group.spawn(self._record_confirmations, follower)
            await group.spawn(self._read_hosts)

    async def _record_confirmations(self, follower: PrefixFollower) -> None:
        """Record when the store last confirmed that no change was missed."""
        while True:
            if follower.confirmed_at is not None:
                self._state.store_confirmed_at = follower.confirmed_at
            await curio.sleep(self._state.settings.timing.poll_interval_s)

    async def _apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot of all documents."""
        stored = {self._kind(item.key): item.value for item in snapshot.items}
        newest = max((item.mod_revision for item in snapshot.items), default=0)
        await self._apply_stored(stored, newest)

    async def _apply_events(self, events: list[WatchEvent]) -> None:
        """Apply the changes of one or more revisions."""
        stored: dict[str, bytes] = {}
        for event in events:
            if event.value is None:
                _log.error("deleted document kind stays in force", key=event.key)
                continue
            stored[self._kind(event.key)] = event.value
        if stored:
            await self._apply_stored(stored, max(event.mod_revision for event in events))

    async def _apply_stored(self, stored: dict[str, bytes], version: int) -> None:
        """Apply stored documents and forward them.

        Rejected documents are retried with the next change, so that a version stays complete.
        """
        documents = self._state.documents
        self._pending |= stored
        if version <= documents.version:
            return
        try:
            delta = documents.diff(self._pending, version)
        except DistributionError as error:
            _log.error("malformed stored documents rejected", version=version, error=str(error))
            return
        self._pending = {}
        await self._state.apply_delta(delta, STORE)

    async def _read_hosts(self) -> None:
        """Read the host list at intervals that bound its bytes per second."""
        hosts = self._state.hosts
        while self._host_list is not None:
            try:
                entries = await self._host_list.read()
                states = {entry.name: str(entry.state) for entry in entries}
                if hosts.apply_reading(states, self._state.now):
                    await self._state.hosts_changed()
            except PlatformError as error:
                _log.info("host list not read", error=str(error))
            await curio.sleep(self._hosts_interval_s() * (0.75 + 0.5 * self._random.random()))

    def _hosts_interval_s(self) -> float:
        """Return the time to the next reading of the host list."""
        size = len(self._state.hosts.states) * BYTES_PER_HOST
        return max(self._state.settings.timing.min_hosts_interval_s, size / MAX_HOSTS_BYTES_PER_S)

    def _kind(self, key: str) -> str:
        """Return the kind that a key holds."""
        return key.removeprefix(self._prefix)
