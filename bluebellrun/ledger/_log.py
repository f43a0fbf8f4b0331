"""The at-most-once protocol of one shard's log. Performs no I/O.

The caller requests ``next_action``, executes it at the store and reports the result. Any process
may write to any shard: a segment is created only if it is absent and the head is unchanged since
the writer read it. A writer that missed another's segment or compaction therefore gets a
conflict, reads the shard again and decides again.
"""

from dataclasses import dataclass, replace

from bluebellrun.core import invariants
from bluebellrun.ledger._index import ShardIndex
from bluebellrun.ledger._models import (
    ClaimState,
    Decision,
    Declined,
    Granted,
    LedgerLimits,
    LedgerRecord,
)
from bluebellrun.ledger._segments import (
    Head,
    Page,
    encode_head,
    encode_records,
    head_key,
    page_key,
    read_shard,
    segment_key,
)
from bluebellrun.store import Compare, Put, Snapshot

RECORD_OVERHEAD_BYTES = 256


@dataclass(frozen=True, slots=True)
class ReadShard:
    """Action: read all keys with the prefix."""

    prefix: str


@dataclass(frozen=True, slots=True)
class Commit:
    """Action: execute a conditional write.

    It adds ``records`` as a segment or, if ``head`` is set, moves them from segments into a page.
    """

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    records: tuple[LedgerRecord, ...] = ()
    head: Head | None = None


Action = ReadShard | Commit


class ShardLog:
    """Pending claims and settlements of one shard, and its state as last read or written."""

    def __init__(self, prefix: str, limits: LedgerLimits) -> None:
        self._prefix = prefix
        self._limits = limits
        self._index = ShardIndex(limits.retention_ms)
        self._head = Head()
        self._head_revision = 0
        self._segments = 0
        self._recent_bytes = 0
        self._recent: list[LedgerRecord] = []
        self._last_page: list[LedgerRecord] = []
        self._loaded = False
        self._waiting: dict[str, LedgerRecord] = {}
        self._settlements: dict[str, LedgerRecord] = {}
        self._abandoned: dict[str, LedgerRecord] = {}
        self._commit: Commit | None = None
        self._in_doubt = False
        self._decisions: list[tuple[str, Decision]] = []
        self._settled: list[str] = []

    @property
    def index(self) -> ShardIndex:
        """Return the index of the shard's keys."""
        return self._index

    @property
    def busy(self) -> bool:
        """Return whether claims or settlements are not in the store yet."""
        return bool(self._waiting or self._settlements or self._abandoned or self._commit)

    @property
    def urgent(self) -> bool:
        """Return whether a claim or a write is pending; settlements alone can wait for a batch."""
        return bool(self._waiting or self._commit)

    def claim(self, record: LedgerRecord) -> None:
        """Queue a claim; its decision is returned by ``pop_decisions``."""
        self._abandoned.pop(record.attempt, None)
        pending = self._settlements.get(record.attempt)
        if pending is not None and pending.state is ClaimState.RELEASED:
            del self._settlements[record.attempt]
        self._waiting[record.attempt] = record

    def settle(self, record: LedgerRecord) -> None:
        """Queue the settlement of a claim.

        A claim that is not in the index may have been written by another process, so the shard
        is read before the settlement is dropped.
        """
        self._settlements[record.attempt] = record
        known = self._index.get(record.key)
        if known is None or known.attempt != record.attempt:
            self._loaded = False

    def abandon(self, attempt: str) -> None:
        """Abandon a claim whose attempt will not run; release it if it is being written."""
        self._waiting.pop(attempt, None)
        commit = self._commit
        writing = () if commit is None or commit.head is not None else commit.records
        for record in writing:
            if record.attempt == attempt and record.state is ClaimState.CLAIMED:
                self._abandoned[attempt] = record

    def pop_decisions(self) -> list[tuple[str, Decision]]:
        """Return and clear the decisions made since the last call, each with its attempt."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def pop_settled(self) -> list[str]:
        """Return and clear the attempts whose settlements were completed since the last call."""
        settled, self._settled = self._settled, []
        return settled

    def next_action(self, now_ms: int) -> Action | None:
        """Return the next action to execute at the store, or none if nothing is pending."""
        if self._commit is not None:
            return self._commit
        if not self.busy:
            return None
        if not self._loaded:
            return ReadShard(self._prefix)
        self._commit = self._next_commit(now_ms)
        return self._commit

    def on_read(self, snapshot: Snapshot, now_ms: int) -> None:
        """Load the shard from a snapshot."""
        shard = read_shard(self._prefix, snapshot)
        self._head = shard.head
        self._head_revision = shard.head_revision
        self._segments = shard.segments
        self._recent = shard.recent
        self._recent_bytes = shard.recent_bytes
        self._last_page = shard.last_page
        self._index = ShardIndex(self._limits.retention_ms)
        self._index.apply(shard.records)
        self._index.expire(now_ms)
        self._loaded = True

    def on_committed(self, revision: int, now_ms: int) -> None:
        """Process a write that took effect at a revision of the store."""
        commit = self._commit
        assert commit is not None
        self._commit, self._in_doubt = None, False
        if commit.head is not None:
            self._apply_compaction(commit.head, commit.records, revision, now_ms)
            return
        self._segments += 1
        self._recent += commit.records
        self._recent_bytes += sum(len(put.value or b"") for put in commit.puts)
        self._index.apply(commit.records)
        self._drop_settlements()
        self._decide_waiting(now_ms)

    def on_conflict(self) -> None:
        """Process a write whose conditions did not hold: the shard is read before the next one."""
        self._commit, self._in_doubt = None, False
        self._loaded = False

    def on_unavailable(self) -> None:
        """Process a write call that had no effect; a write already in doubt stays in doubt."""
        if not self._in_doubt:
            self._commit = None

    def on_answer_lost(self) -> None:
        """Process a write that may have taken effect: it is retried until the outcome is known."""
        self._in_doubt = True

    def decline_waiting(self, reason: str) -> None:
        """Decline all waiting claims and abandon them."""
        for attempt in list(self._waiting):
            self._decisions.append((attempt, Declined(reason)))
            self.abandon(attempt)

    def _apply_compaction(
        self, head: Head, page: tuple[LedgerRecord, ...], revision: int, now_ms: int
    ) -> None:
        """Update the state after a compaction as if the shard had been read again."""
        self._head, self._head_revision = head, revision
        self._last_page = list(page)
        self._segments, self._recent, self._recent_bytes = 0, [], 0
        self._index.expire(now_ms)

    def _next_commit(self, now_ms: int) -> Commit | None:
        """Return the next write, or none if the index decides all claims and settlements."""
        if self._needs_compaction():
            return self._build_compaction(now_ms)
        self._release_abandoned()
        self._drop_settlements()
        self._decide_waiting(now_ms)
        records = self._next_batch()
        if not records:
            return None
        sequence = self._head.first_sequence + self._segments
        key = segment_key(self._prefix, sequence)
        return Commit(
            compares=(Compare(head_key(self._prefix), self._head_revision), Compare(key, 0)),
            puts=(Put(key, encode_records(records)),),
            records=tuple(records),
        )

    def _drop_settlements(self) -> None:
        """Remove the settlements that the index already contains or no longer accepts."""
        if not self._loaded:
            return
        for attempt, record in list(self._settlements.items()):
            if not self._index.accepts(record):
                del self._settlements[attempt]
                self._settled.append(attempt)

    def _next_batch(self) -> list[LedgerRecord]:
        """Return the records of the next segment: settlements, then claims; one record per key."""
        records: list[LedgerRecord] = []
        size = 0
        keys: set[str] = set()
        free_records = self._limits.max_records - len(self._index)
        for record in [*self._settlements.values(), *self._waiting.values()]:
            size += RECORD_OVERHEAD_BYTES + (len(record.result.body) if record.result else 0)
            full = len(records) >= self._limits.max_commit_records
            if records and (full or size > self._limits.max_commit_bytes):
                break
            if record.key in keys or (record.state is ClaimState.CLAIMED and free_records <= 0):
                continue
            free_records -= record.state is ClaimState.CLAIMED
            keys.add(record.key)
            records.append(record)
        return records

    def _decide_waiting(self, now_ms: int) -> None:
        """Decide the claims that the index can decide, except for keys with pending settlements."""
        settling = {record.key for record in self._settlements.values()}
        for attempt, record in list(self._waiting.items()):
            if record.key in settling:
                continue
            decision = self._index.decide(record, now_ms)
            if decision is None and len(self._index) >= self._limits.max_records:
                decision = Declined("the ledger of this service is full")
            if decision is None:
                continue
            if isinstance(decision, Granted):
                known = self._index.get(record.key)
                held = known is not None and known.attempt == attempt
                invariants.check(held, "a granted claim is in the book", attempt=attempt)
            del self._waiting[attempt]
            self._decisions.append((attempt, decision))

    def _release_abandoned(self) -> None:
        """Release claims that were written after their attempts were abandoned."""
        for attempt, record in self._abandoned.items():
            known = self._index.get(record.key)
            if known is not None and known.attempt == attempt:
                self._settlements[attempt] = replace(record, state=ClaimState.RELEASED)
        self._abandoned = {}

    def _needs_compaction(self) -> bool:
        """Return whether the segments are numerous or large enough to compact into a page."""
        limits = self._limits
        return (
            self._segments >= limits.compact_segments or self._recent_bytes >= limits.compact_bytes
        )

    def _build_compaction(self, now_ms: int) -> Commit:
        """Return the write that compacts segments into a page and deletes pages past retention."""
        first = self._head.first_sequence
        last = first + self._segments - 1
        oldest_ms = now_ms - self._limits.retention_ms
        kept = [page for page in self._head.pages if page.newest_ms >= oldest_ms]
        deleted = [page for page in self._head.pages if page.newest_ms < oldest_ms]
        records = list(self._recent)
        if kept and kept[-1].size < self._limits.compact_bytes:
            deleted.append(kept.pop())
            records = self._last_page + records
        newest = {record.key: record for record in records if record.claimed_ms >= oldest_ms}
        value = encode_records(list(newest.values()))
        newest_ms = max((record.claimed_ms for record in newest.values()), default=0)
        pages = (*kept, Page(last, len(value), newest_ms))
        head = Head(first_sequence=last + 1, pages=pages)
        puts = [
            Put(head_key(self._prefix), encode_head(head)),
            Put(page_key(self._prefix, last), value),
            *(Put(page_key(self._prefix, page.sequence), None) for page in deleted),
            *(Put(segment_key(self._prefix, n), None) for n in range(first, last + 1)),
        ]
        compares = (
            Compare(head_key(self._prefix), self._head_revision),
            Compare(segment_key(self._prefix, last + 1), 0),
        )
        return Commit(compares, tuple(puts), tuple(newest.values()), head)
