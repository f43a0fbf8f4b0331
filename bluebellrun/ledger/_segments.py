"""Storage layout of a shard in the key-value service.

A shard's prefix contains ``head``, immutable pages ``page/SEQ`` and segments ``seg/SEQ``. A
segment is created only if absent. Each compaction changes the head, and every write is
conditional on the revision of the head that the writer has read.
"""

from dataclasses import dataclass, field

import msgspec

from bluebellrun.ledger._models import LedgerRecord
from bluebellrun.store import Snapshot

SEQUENCE_DIGITS = 12


@dataclass(frozen=True, slots=True)
class Page:
    """A page in the head: its last sequence number, size in bytes and newest claim time in ms."""

    sequence: int
    size: int
    newest_ms: int


@dataclass(frozen=True, slots=True)
class Head:
    """The pages of a shard and the first sequence number after them."""

    first_sequence: int = 1
    pages: tuple[Page, ...] = ()


@dataclass(slots=True)
class StoredShard:
    """A shard as read from the store: its records in order and the position of its segments.

    ``recent`` holds the records of segments, which are not in a page yet.
    """

    head: Head
    head_revision: int
    records: list[LedgerRecord] = field(default_factory=list)
    last_page: list[LedgerRecord] = field(default_factory=list)
    recent: list[LedgerRecord] = field(default_factory=list)
    segments: int = 0
    recent_bytes: int = 0


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(Head)
_records_decoder = msgspec.msgpack.Decoder(list[LedgerRecord])


def head_key(prefix: str) -> str:
    """Return the key of a shard's head."""
    return f"{prefix}/head"


def page_key(prefix: str, sequence: int) -> str:
    """Return the key of a page."""
    return f"{prefix}/page/{sequence:0{SEQUENCE_DIGITS}d}"


def segment_key(prefix: str, sequence: int) -> str:
    """Return the key of a segment."""
    return f"{prefix}/seg/{sequence:0{SEQUENCE_DIGITS}d}"


def encode_head(head: Head) -> bytes:
    """Encode a head in its stored format."""
    return _encoder.encode(head)


def encode_records(records: list[LedgerRecord]) -> bytes:
    """Encode records in their stored format."""
    return _encoder.encode(records)


def read_shard(prefix: str, snapshot: Snapshot) -> StoredShard:
    """Decode a shard from a snapshot of all keys with its prefix."""
    values = {item.key: item for item in snapshot.items}
    stored = values.get(head_key(prefix))
    head = Head() if stored is None else _head_decoder.decode(stored.value)
    shard = StoredShard(head, 0 if stored is None else stored.mod_revision)
    for page in head.pages:
        shard.last_page = _records_decoder.decode(values[page_key(prefix, page.sequence)].value)
        shard.records += shard.last_page
    while (
        item := values.get(segment_key(prefix, head.first_sequence + shard.segments))
    ) is not None:
        shard.recent += _records_decoder.decode(item.value)
        shard.recent_bytes += len(item.value)
        shard.segments += 1
    shard.records += shard.recent
    return shard
