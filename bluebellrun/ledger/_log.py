"""The log of one shard: what to write next, and what each answer of the store means.

This is the once-only protocol without input or output. Its shell asks ``next_action``, does it
at the store and reports back. Any process may write to any shard: a segment is created only if
absent and only under the head that the writer has read, so that a writer who missed another's
segment or compaction loses by itself, reads the shard again and decides again.
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

RECORD_BYTES = 256


@dataclass(frozen=True, slots=True)
class ReadShard:
    """Read all keys below the prefix."""

    prefix: str


@dataclass(frozen=True, slots=True)
class Commit:
    """Do a conditional write.

    It adds ``records`` as a segment or, with a ``head``, moves them from segments into a page.
    """

    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    records: tuple[LedgerRecord, ...] = ()
    head: Head | None = None


Action = ReadShard | Commit


class ShardLog:
    """Claims and settlements of one shard on their way into the store."""

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
        self._answers: list[tuple[str, Decision]] = []
        self._settled: list[str] = []

    @property
    def index(self) -> ShardIndex:
        """Return what is known of the shard's keys."""
        return self._index

    @property
    def busy(self) -> bool:
        """Return whether claims or settlements are not in the store yet."""
        return bool(self._waiting or self._settlements or self._abandoned or self._commit)

    @property
    def urgent(self) -> bool:
        """Return whether a claim waits; settlements alone can be collected for a while."""
        return bool(self._waiting or self._commit)

    def claim(self, record: LedgerRecord) -> None:
        """Ask for a key; the decision comes out of ``pop_decisions``."""
        self._abandoned.pop(record.attempt, None)
        pending = self._settlements.get(record.attempt)
        if pending is not None and pending.state is ClaimState.RELEASED:
            del self._settlements[record.attempt]
        self._waiting[record.attempt] = record

    def settle(self, record: LedgerRecord) -> None:
        """Note what became of a claim.

        A claim that the book does not hold may have been written by another process: the shard
        is read before the settlement is dropped.
        """
        self._settlements[record.attempt] = record
        known = self._index.get(record.key)
        if known is None or known.attempt != record.attempt:
            self._loaded = False

    def abandon(self, attempt: str) -> None:
        """Give up a claim whose attempt will not run; release it if it is being written."""
        self._waiting.pop(attempt, None)
        commit = self._commit
        writing = () if commit is None or commit.head is not None else commit.records
        for record in writing:
            if record.attempt == attempt and record.state is ClaimState.CLAIMED:
                self._abandoned[attempt] = record

    def pop_decisions(self) -> list[tuple[str, Decision]]:
        """Return the decisions made since the last call, each with its attempt."""
        answers, self._answers = self._answers, []
        return answers

    def pop_settled(self) -> list[str]:
        """Return the attempts whose settlements need no more writing since the last call."""
        settled, self._settled = self._settled, []
        return settled

    def next_action(self, now_ms: int) -> Action | None:
        """Return what to do at the store next, or none while nothing waits."""
        if self._commit is not None:
            return self._commit
        if not self.busy:
            return None
        if not self._loaded:
            return ReadShard(self._prefix)
        self._commit = self._next_commit(now_ms)
        return self._commit

    def on_read(self, snapshot: Snapshot, now_ms: int) -> None:
        """Take the shard as it was read."""
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
        """Take a write that is known to have taken effect at a revision of the store."""
        commit = self._commit
        assert commit is not None
        self._commit, self._in_doubt = None, False
        if commit.head is not None:
            self._take_compaction(commit.head, commit.records, revision, now_ms)
            return
        self._segments += 1
        self._recent += commit.records
        self._recent_bytes += sum(len(put.value or b"") for put in commit.puts)
        self._index.apply(commit.records)
        self._drop_settlements()
        self._answer_waiting(now_ms)

    def on_conflict(self) -> None:
        """Take a write whose conditions did not hold: read the shard before the next."""
        self._commit, self._in_doubt = None, False
        self._loaded = False

    def on_unavailable(self) -> None:
        """Take a write that had no effect; one already in doubt stays in doubt."""
        if not self._in_doubt:
            self._commit = None

    def on_answer_lost(self) -> None:
        """Take a write that may have had an effect: the same write is tried until it is known."""
        self._in_doubt = True

    def decline_waiting(self, reason: str) -> None:
        """Answer all waiting claims that nothing was granted."""
        for attempt in list(self._waiting):
            self._answers.append((attempt, Declined(reason)))
            self.abandon(attempt)

    def _take_compaction(
        self, head: Head, page: tuple[LedgerRecord, ...], revision: int, now_ms: int
    ) -> None:
        """Go on after a compaction as if the shard had been read again."""
        self._head, self._head_revision = head, revision
        self._last_page = list(page)
        self._segments, self._recent, self._recent_bytes = 0, [], 0
        self._index.expire(now_ms)

    def _next_commit(self, now_ms: int) -> Commit | None:
        """Return the next write, or none when the book answers everything."""
        if self._must_compact():
            return self._compaction(now_ms)
        self._release_abandoned()
        self._drop_settlements()
        self._answer_waiting(now_ms)
        records = self._batch()
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
        """Drop the settlements that are in the book, or that it no longer accepts."""
        if not self._loaded:
            return
        for attempt, record in list(self._settlements.items()):
            if not self._index.accepts(record):
                del self._settlements[attempt]
                self._settled.append(attempt)

    def _batch(self) -> list[LedgerRecord]:
        """Return the records of the next segment: settlements, and one claim for each key."""
        records: list[LedgerRecord] = []
        size = 0
        keys: set[str] = set()
        room = self._limits.max_records - len(self._index)
        for record in [*self._settlements.values(), *self._waiting.values()]:
            size += RECORD_BYTES + (len(record.result.body) if record.result else 0)
            full = len(records) >= self._limits.max_commit_records
            if records and (full or size > self._limits.max_commit_bytes):
                break
            if record.key in keys or (record.state is ClaimState.CLAIMED and room <= 0):
                continue
            room -= record.state is ClaimState.CLAIMED
            keys.add(record.key)
            records.append(record)
        return records

    def _answer_waiting(self, now_ms: int) -> None:
        """Answer the claims that the book decides, but for keys about to be settled."""
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
                mine = known is not None and known.attempt == attempt
                invariants.check(mine, "a granted claim is in the book", attempt=attempt)
            del self._waiting[attempt]
            self._answers.append((attempt, decision))

    def _release_abandoned(self) -> None:
        """Release claims that were written after their attempts had been given up."""
        for attempt, record in self._abandoned.items():
            known = self._index.get(record.key)
            if known is not None and known.attempt == attempt:
                self._settlements[attempt] = replace(record, state=ClaimState.RELEASED)
        self._abandoned = {}

    def _must_compact(self) -> bool:
        """Return whether the segments are many or large enough to become a page."""
        limits = self._limits
        return (
            self._segments >= limits.compact_segments or self._recent_bytes >= limits.compact_bytes
        )

    def _compaction(self, now_ms: int) -> Commit:
        """Return the write that moves segments into a page and drops pages past retention."""
        first = self._head.first_sequence
        last = first + self._segments - 1
        oldest_ms = now_ms - self._limits.retention_ms
        kept = [page for page in self._head.pages if page.newest_ms >= oldest_ms]
        gone = [page for page in self._head.pages if page.newest_ms < oldest_ms]
        records = list(self._recent)
        if kept and kept[-1].size < self._limits.compact_bytes:
            gone.append(kept.pop())
            records = self._last_page + records
        newest = {record.key: record for record in records if record.claimed_ms >= oldest_ms}
        value = encode_records(list(newest.values()))
        newest_ms = max((record.claimed_ms for record in newest.values()), default=0)
        pages = (*kept, Page(last, len(value), newest_ms))
        head = Head(first_sequence=last + 1, pages=pages)
        puts = [
            Put(head_key(self._prefix), encode_head(head)),
            Put(page_key(self._prefix, last), value),
            *(Put(page_key(self._prefix, page.sequence), None) for page in gone),
            *(Put(segment_key(self._prefix, n), None) for n in range(first, last + 1)),
        ]
        compares = (
            Compare(head_key(self._prefix), self._head_revision),
            Compare(segment_key(self._prefix, last + 1), 0),
        )
        return Commit(compares, tuple(puts), tuple(newest.values()), head)
