"""A key-value service in memory, with faults to order."""

from collections.abc import Sequence

from bluebellrun.store import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StoreAnswerLostError,
    StoreUnavailableError,
    TransactionResult,
    Watch,
)

APPLIED = "applied, answer lost"
DROPPED = "not applied, answer lost"
DOWN = "down"


class MemoryStore:
    """``faults`` holds what happens to the next transactions; ``read_faults`` to reads."""

    era = 0

    def __init__(self) -> None:
        self.values: dict[str, KeyValue] = {}
        self.revision = 1
        self.faults: list[str] = []
        self.read_faults: list[str] = []
        self.before_write: list[Sequence[Put]] = []
        self.writes = 0

    async def get(self, key: str) -> Snapshot:
        self._fail_read()
        items = (self.values[key],) if key in self.values else ()
        return Snapshot(items, self.revision)

    async def read_prefix(self, prefix: str) -> Snapshot:
        self._fail_read()
        found = [item for key, item in sorted(self.values.items()) if key.startswith(prefix)]
        return Snapshot(tuple(found), self.revision)

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        fault = self.faults.pop(0) if self.faults else ""
        if fault == DOWN:
            raise StoreUnavailableError("down")
        if fault == DROPPED:
            raise StoreAnswerLostError("lost")
        if self.before_write and len(puts) > 1:
            self._apply(self.before_write.pop(0))
        held = all(self._revision_of(item.key) == item.mod_revision for item in compares)
        if held:
            self._apply(puts)
        if fault == APPLIED:
            raise StoreAnswerLostError("lost")
        return TransactionResult(held, self.revision)

    async def grant_lease(self, ttl_s: int) -> int:
        return 77

    async def keep_alive(self, lease: int) -> int:
        return 1

    async def revoke_lease(self, lease: int) -> None:
        return

    async def watch(self, prefix: str, from_revision: int) -> Watch:
        raise NotImplementedError

    def _apply(self, puts: Sequence[Put]) -> None:
        self.revision += 1
        self.writes += 1
        for put in puts:
            assert put.value is not None
            self.values[put.key] = KeyValue(put.key, put.value, self.revision, 0, put.lease)

    def _revision_of(self, key: str) -> int:
        return self.values[key].mod_revision if key in self.values else 0

    def _fail_read(self) -> None:
        if self.read_faults and self.read_faults.pop(0) == DOWN:
            raise StoreUnavailableError("down")
