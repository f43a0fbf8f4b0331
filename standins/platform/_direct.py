"""The key-value port straight over the store in memory: no sockets, time moved by hand."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import curio

from bluebellrun.core import Clock
from bluebellrun.store import (
    CompactedError,
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StoreAnswerLostError,
    StoreUnavailableError,
    TransactionResult,
    WatchEvent,
)
from standins.platform._faults import StoreFaults
from standins.platform._store import MemoryStore, Record


def _end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix."""
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return bytes(raw)


def _pair(key: bytes, record: Record) -> KeyValue:
    """Return a stored key as the port gives it."""
    return KeyValue(
        key.decode(), record.value, record.mod_revision, record.create_revision, record.lease
    )


class DirectStore:
    """Answer the port's calls in the same process, with the faults that were ordered."""

    def __init__(
        self, clock: Clock, memory: MemoryStore | None = None, faults: StoreFaults | None = None
    ) -> None:
        self.memory = memory or MemoryStore()
        self.faults = faults or StoreFaults()
        self.calls = 0
        self.era = 0
        self._clock = clock
        self._changed = curio.Event()

    def restore(self, memory: MemoryStore) -> None:
        """Come back from an older copy of the memory."""
        self.memory = memory
        self.era = max(self.era, 1) + 1

    async def get(self, key: str) -> Snapshot:
        """Read one key."""
        self._arrive()
        return self._snapshot(key.encode(), None)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix."""
        self._arrive()
        return self._snapshot(prefix.encode(), _end(prefix))

    async def read_revisions(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix without their values."""
        snapshot = await self.read_prefix(prefix)
        items = tuple(replace(item, value=b"") for item in snapshot.items)
        return Snapshot(items, snapshot.revision, snapshot.era)

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        """Do all writes if all conditions hold, or none."""
        self._arrive()
        conditions: list[dict[str, Any]] = [
            {"key": item.key.encode(), "target": "MOD", "expected": item.mod_revision}
            for item in compares
        ]
        won = self.memory.transact(conditions, [_operation(put) for put in puts])
        self._leave()
        await self._changed.set()
        return TransactionResult(won, self.memory.revision, self.era)

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        self._arrive()
        lease = self.memory.grant(ttl_s, self._clock.now())
        self._leave()
        return lease

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 means it has lapsed."""
        self._arrive()
        remaining_s = self.memory.keep_alive(lease, self._clock.now())
        self._leave()
        return int(remaining_s)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; keys bound to it are deleted."""
        self._arrive()
        self.memory.revoke(lease)
        self._leave()
        await self._changed.set()

    async def watch(self, prefix: str, from_revision: int) -> "DirectWatch":
        """Follow changes below a prefix from a revision on."""
        self._arrive()
        if from_revision <= self.memory.compacted:
            raise CompactedError(self.memory.compacted)
        return DirectWatch(self, prefix, from_revision)

    async def wait_changed(self) -> None:
        """Wait until something may have changed."""
        self._changed.clear()
        await self._changed.wait()

    async def wake(self) -> None:
        """Let watches look again, as after a fault was ordered."""
        await self._changed.set()

    def _arrive(self) -> None:
        """Count a call, let leases lapse and refuse the call in an outage."""
        self.calls += 1
        self.memory.lapse(self._clock.now())
        if self.faults.down:
            raise StoreUnavailableError("the store is down")

    def _leave(self) -> None:
        """Lose the answer to a write if that was ordered."""
        if self.faults.loses_answer():
            raise StoreAnswerLostError("the answer was lost")

    def _snapshot(self, key: bytes, end: bytes | None) -> Snapshot:
        """Return the keys of a range."""
        found = self.memory.select(key, end)
        items = tuple(_pair(key, record) for key, record in found)
        return Snapshot(items, self.memory.revision, self.era)


def _operation(put: Put) -> Any:
    """Return a write as a function of the store."""
    key, value = put.key.encode(), put.value
    if value is None:
        return lambda store: store.delete(key)
    return lambda store: store.put(key, value, put.lease)


class DirectWatch:
    """A watch on a store in the same process."""

    def __init__(self, store: DirectStore, prefix: str, from_revision: int) -> None:
        self._store = store
        self._prefix = prefix
        self._revision = from_revision

    async def next(self) -> list[WatchEvent]:
        """Return the next changes, in order."""
        while True:
            if self._store.faults.down:
                raise StoreUnavailableError("the watch broke")
            memory = self._store.memory
            first, self._revision = self._revision, memory.revision + 1
            changes = memory.changes_since(first, self._prefix.encode(), _end(self._prefix))
            if changes:
                return [WatchEvent(c.key.decode(), c.value, c.revision) for c in changes]
            await self._store.wait_changed()

    async def close(self) -> None:
        """End the watch."""
