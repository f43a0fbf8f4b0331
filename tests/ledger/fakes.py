"""An in-memory key-value store that can be unavailable or lose the answers to writes."""

from dataclasses import dataclass, field

from bluebellrun.ledger import Commit, LedgerRecord, ShardLog
from bluebellrun.store import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StoreAnswerLostError,
    StoreUnavailableError,
    TransactionResult,
)


@dataclass
class FakeStore:
    revision: int = 1
    values: dict[str, KeyValue] = field(default_factory=dict)
    down: bool = False
    lose_next: int = 0
    writes: int = 0
    max_value_bytes: int = 0

    def snapshot(self, prefix: str) -> Snapshot:
        found = sorted(key for key in self.values if key.startswith(prefix))
        return Snapshot(tuple(self.values[key] for key in found), self.revision)

    def apply(self, compares: tuple[Compare, ...], puts: tuple[Put, ...]) -> bool:
        for compare in compares:
            item = self.values.get(compare.key)
            if (item.mod_revision if item else 0) != compare.mod_revision:
                return False
        self.revision += 1
        for put in puts:
            if put.value is None:
                self.values.pop(put.key, None)
                continue
            self.max_value_bytes = max(self.max_value_bytes, len(put.value))
            self.values[put.key] = KeyValue(put.key, put.value, self.revision)
        return True

    async def get(self, key: str) -> Snapshot:
        if self.down:
            raise StoreUnavailableError("down")
        found = (self.values[key],) if key in self.values else ()
        return Snapshot(found, self.revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        if self.down:
            raise StoreUnavailableError("down")
        return self.snapshot(prefix)

    async def transact(self, compares, puts) -> TransactionResult:
        if self.down:
            raise StoreUnavailableError("down")
        self.writes += 1
        applied = self.apply(tuple(compares), tuple(puts))
        if self.lose_next:
            self.lose_next -= 1
            raise StoreAnswerLostError("lost")
        return TransactionResult(applied, self.revision)


def record(key: str, attempt: str, fingerprint: str = "f", claimed_ms: int = 0) -> LedgerRecord:
    return LedgerRecord(key, fingerprint, f"r-{attempt}", attempt, "u", "i", claimed_ms)


def drive(log: ShardLog, store: FakeStore, now_ms: int = 0) -> list:
    """Execute the actions of a log until none is pending; return its decisions."""
    decisions = []
    for _ in range(1_000):
        action = log.next_action(now_ms)
        decisions += log.pop_decisions()
        if action is None:
            return decisions
        if not isinstance(action, Commit):
            log.on_read(store.snapshot(f"{action.prefix}/"), now_ms)
        elif store.apply(action.compares, action.puts):
            log.on_committed(store.revision, now_ms)
        else:
            log.on_conflict()
        decisions += log.pop_decisions()
    raise AssertionError("the log still has pending actions after 1000 steps")
