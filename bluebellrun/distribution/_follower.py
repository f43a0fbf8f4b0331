"""Follow the configuration in the key-value service and keep the newest version in force."""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from bluebellrun.core import Clock, invariants
from bluebellrun.declarations import (
    Configuration,
    DeclarationError,
    Document,
    build_configuration,
    decode_documents,
)
from bluebellrun.store import KeyValueStore, PlatformError, Snapshot, WatchEvent
from bluebellrun.telemetry import get_logger

INITIAL_RETRY_S = 0.2
MAX_RETRY_S = 5.0

Listener = Callable[[Configuration], Awaitable[None]]

_log = get_logger("distribution")


class ConfigurationFollower:
    """Keep one process's configuration up to date.

    The version is the store's revision of the newest document; it never decreases.
    """

    def __init__(self, store: KeyValueStore, prefix: str, clock: Clock, random: Random) -> None:
        self._store = store
        self._prefix = f"{prefix}/config/"
        self._clock = clock
        self._random = random
        self._documents: dict[str, list[Document]] = {}
        self._current: Configuration | None = None
        self._changed_at = 0.0
        self._listeners: list[Listener] = []

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or none before the first."""
        return self._current

    @property
    def age_s(self) -> float:
        """Return how long the configuration has been in force, in seconds."""
        return self._clock.now() - self._changed_at

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each new configuration."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the store, with exponential, jittered backoff after each failure."""
        pause_s = INITIAL_RETRY_S
        while True:
            try:
                snapshot = await self._store.read_prefix(self._prefix)
                await self._apply_snapshot(snapshot)
                pause_s = INITIAL_RETRY_S
                await self._follow(snapshot.revision + 1)
            except PlatformError as error:
                _log.warning("configuration store unavailable", error=str(error))
            await curio.sleep(pause_s * (0.5 + self._random.random()))
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    async def _follow(self, revision: int) -> None:
        """Apply changes as they arrive."""
        watch = await self._store.watch(self._prefix, revision)
        try:
            while True:
                await self._apply_events(await watch.next())
        finally:
            await watch.close()

    async def _apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot of all documents."""
        newest = max((item.mod_revision for item in snapshot.items), default=0)
        if not snapshot.items or (self._current and newest <= self._current.version):
            return
        for item in snapshot.items:
            self._decode_kind(item.key, item.value)
        await self._put_in_force(newest)

    async def _apply_events(self, events: list[WatchEvent]) -> None:
        """Apply the changes of one or more revisions."""
        for event in events:
            if event.value is None:
                self._documents.pop(event.key, None)
            else:
                self._decode_kind(event.key, event.value)
        await self._put_in_force(max(event.mod_revision for event in events))

    def _decode_kind(self, key: str, value: bytes) -> None:
        """Decode the documents of one kind; keep the old ones if they are malformed."""
        try:
            self._documents[key] = decode_documents(value)
        except DeclarationError as error:
            _log.error("malformed stored documents ignored", key=key, error=str(error))

    async def _put_in_force(self, version: int) -> None:
        """Build the configuration of a version and notify the listeners."""
        current = self._current
        if current is not None and version <= current.version:
            return
        documents = [item for items in self._documents.values() for item in items]
        self._current = build_configuration(version, documents)
        self._changed_at = self._clock.now()
        rose = current is None or version > current.version
        invariants.check(rose, "configuration version rises", version=version)
        _log.info("configuration in force", version=version, documents=len(documents))
        for listener in self._listeners:
            await listener(self._current)
