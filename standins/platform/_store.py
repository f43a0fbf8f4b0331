"""A key-value store in memory, with revisions, transactions, leases and a change log."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Record:
    """A stored key."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a key; the value is none for a deletion."""

    revision: int
    key: bytes
    value: bytes | None
    record: Record | None


@dataclass(slots=True)
class Lease:
    """A lease and the time at which it lapses."""

    ttl_s: float
    deadline: float
    keys: set[bytes] = field(default_factory=set)


class MemoryStore:
    """Keep keys as the etcd v3 API describes; times are passed in, in seconds."""

    def __init__(self) -> None:
        self._records: dict[bytes, Record] = {}
        self._leases: dict[int, Lease] = {}
        self._changes: list[Change] = []
        self._revision = 1
        self._next_lease = 1000
        self._compacted = 0

    @property
    def revision(self) -> int:
        """Return the current revision."""
        return self._revision

    @property
    def compacted(self) -> int:
        """Return the revision up to which the change log has been dropped."""
        return self._compacted

    def select(self, key: bytes, range_end: bytes | None) -> list[tuple[bytes, Record]]:
        """Return one key, or the keys from one to before another, in order."""
        if not range_end:
            record = self._records.get(key)
            return [] if record is None else [(key, record)]
        found = [(k, r) for k, r in self._records.items() if key <= k < range_end]
        return sorted(found, key=lambda pair: pair[0])

    def transact(self, compares: list[dict[str, Any]], operations: list[Any]) -> bool:
        """Apply the operations as one revision if all conditions hold."""
        if not all(self._holds(compare) for compare in compares):
            return False
        self._revision += 1
        for operation in operations:
            operation(self)
        return True

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """Write a key at the current revision."""
        old = self._records.get(key)
        if lease and lease not in self._leases:
            raise KeyError(f"lease {lease} does not exist")
        created = old.create_revision if old else self._revision
        version = old.version + 1 if old else 1
        record = Record(value, created, self._revision, version, lease)
        self._records[key] = record
        if lease:
            self._leases[lease].keys.add(key)
        self._changes.append(Change(self._revision, key, value, record))

    def delete(self, key: bytes) -> None:
        """Delete a key at the current revision."""
        if self._records.pop(key, None) is not None:
            self._changes.append(Change(self._revision, key, None, None))

    def grant(self, ttl_s: float, now: float) -> int:
        """Make a lease and return its id."""
        self._next_lease += 1
        self._leases[self._next_lease] = Lease(ttl_s, now + ttl_s)
        return self._next_lease

    def keep_alive(self, lease_id: int, now: float) -> float:
        """Renew a lease; return its time to live, 0 when it is gone."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.deadline = now + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return
        self._revision += 1
        for key in sorted(lease.keys):
            record = self._records.get(key)
            if record is not None and record.lease == lease_id:
                self.delete(key)

    def lapse(self, now: float) -> None:
        """End the leases whose time has passed."""
        for lease_id in [i for i, lease in self._leases.items() if lease.deadline <= now]:
            self.revoke(lease_id)

    def changes_since(self, revision: int, key: bytes, range_end: bytes | None) -> list[Change]:
        """Return the changes of a key or range from a revision on."""
        return [
            change
            for change in self._changes
            if change.revision >= revision
            and (key <= change.key < range_end if range_end else change.key == key)
        ]

    def compact(self, revision: int) -> None:
        """Drop the changes before a revision."""
        self._compacted = max(self._compacted, revision)
        self._changes = [c for c in self._changes if c.revision >= revision]

    def _holds(self, compare: dict[str, Any]) -> bool:
        """Return whether one condition holds."""
        record = self._records.get(compare["key"])
        actual: Any
        match compare["target"]:
            case "MOD":
                actual = record.mod_revision if record else 0
            case "CREATE":
                actual = record.create_revision if record else 0
            case "VERSION":
                actual = record.version if record else 0
            case _:
                actual = record.value if record else b""
        expected = compare["expected"]
        match compare.get("result", "EQUAL"):
            case "GREATER":
                return bool(actual > expected)
            case "LESS":
                return bool(actual < expected)
            case "NOT_EQUAL":
                return bool(actual != expected)
        return bool(actual == expected)
