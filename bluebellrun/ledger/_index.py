"""In-memory index of the keys of one shard."""

from collections.abc import Iterable

from bluebellrun.ledger._models import (
    ClaimState,
    Decision,
    Finished,
    Granted,
    LedgerRecord,
    OtherRequest,
    Replay,
    Unsettled,
)

OPEN_STATES = frozenset({ClaimState.CLAIMED, ClaimState.UNKNOWN})


class ShardIndex:
    """The newest record of each key within the retention time, in milliseconds."""

    def __init__(self, retention_ms: int) -> None:
        self._retention_ms = retention_ms
        self._records: dict[str, LedgerRecord] = {}

    def __len__(self) -> int:
        """Return the number of keys in the index."""
        return len(self._records)

    def get(self, key: str) -> LedgerRecord | None:
        """Return the newest record of a key, or none."""
        return self._records.get(key)

    def apply(self, records: Iterable[LedgerRecord]) -> None:
        """Add records in the order in which they were committed."""
        for record in records:
            self._records[record.key] = record

    def expired(self, record: LedgerRecord, now_ms: int) -> bool:
        """Return whether a record is past the retention time."""
        return record.claimed_ms + self._retention_ms < now_ms

    def expire(self, now_ms: int) -> None:
        """Remove the records that are past the retention time."""
        self._records = {
            key: record for key, record in self._records.items() if not self.expired(record, now_ms)
        }

    def decide(self, claim: LedgerRecord, now_ms: int) -> Decision | None:
        """Return the decision about a claim, or none if its key is free."""
        known = self._records.get(claim.key)
        if known is None or self.expired(known, now_ms) or known.state is ClaimState.RELEASED:
            return None
        if known.attempt == claim.attempt and known.state is ClaimState.CLAIMED:
            return Granted()
        if known.fingerprint != claim.fingerprint:
            return OtherRequest(known)
        if known.state is not ClaimState.RAN:
            return Unsettled(known)
        return Finished(known) if known.result is None else Replay(known, known.result)

    def accepts(self, settlement: LedgerRecord) -> bool:
        """Return whether a settlement changes the state of its claim, which must still be open."""
        known = self._records.get(settlement.key)
        return (
            known is not None
            and known.attempt == settlement.attempt
            and known.state in OPEN_STATES
            and known.state is not settlement.state
        )
