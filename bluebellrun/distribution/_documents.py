"""The documents that a process holds, and changes between their versions. Pure.

A version is the store's revision of the newest document. Changes from ``base`` to ``version``
name every document that changed after ``base``, so they update any version from ``base`` on
to ``version``. A digest of all documents of the version is sent with each change.
"""

import zlib
from collections import deque
from collections.abc import Mapping

import msgspec
import xxhash

from bluebellrun.core import invariants
from bluebellrun.distribution._exceptions import GapError, MalformedDocumentsError

MAX_LOG_BYTES = 524_288
COMPRESS_ABOVE_BYTES = 2_048
UNCOMPRESSED = b"\x00"
COMPRESSED = b"\x01"


class DocumentName(msgspec.Struct, frozen=True, array_like=True):
    """The kind and name of a document."""

    kind: str
    name: str


class DocumentItem(msgspec.Struct, frozen=True, array_like=True):
    """A document as it is stored, in JSON."""

    kind: str
    name: str
    data: bytes


class Delta(msgspec.Struct, frozen=True):
    """Changes between two versions; a ``whole`` delta contains all documents."""

    base: int
    version: int
    digest: int
    changed: list[DocumentItem]
    dropped: list[DocumentName]
    whole: bool = False

    @property
    def size(self) -> int:
        """Return the approximate size in bytes."""
        return sum(len(item.data) + 64 for item in self.changed) + 64 * len(self.dropped)


class _NamedDocument(msgspec.Struct):
    """The fields common to all stored documents."""

    name: str


class _StoredDocuments(msgspec.Struct):
    """All documents of one kind, each as it was written."""

    kind: str
    items: list[msgspec.Raw]


_stored_decoder = msgspec.json.Decoder(_StoredDocuments)
_named_decoder = msgspec.json.Decoder(_NamedDocument)
_delta_decoder = msgspec.msgpack.Decoder(Delta)


def read_stored(kind: str, value: bytes) -> dict[DocumentName, bytes]:
    """Read a kind's documents from the store; raise ``MalformedDocumentsError``."""
    try:
        stored = _stored_decoder.decode(value)
        return {
            DocumentName(kind, _named_decoder.decode(item).name): bytes(item)
            for item in stored.items
        }
    except msgspec.DecodeError as error:
        raise MalformedDocumentsError(f"stored documents of kind {kind!r}: {error}") from error


def encode_delta(delta: Delta) -> bytes:
    """Return changes as bytes, compressed above a size limit."""
    data = msgspec.msgpack.encode(delta)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return UNCOMPRESSED + data
    return COMPRESSED + zlib.compress(data, 1)


def decode_delta(data: bytes) -> Delta:
    """Read what ``encode_delta`` wrote; raise ``MalformedDocumentsError``."""
    try:
        body = zlib.decompress(data[1:]) if data[:1] == COMPRESSED else data[1:]
        return _delta_decoder.decode(body)
    except (zlib.error, msgspec.DecodeError) as error:
        raise MalformedDocumentsError(f"changes cannot be read: {error}") from error


class DocumentSet:
    """All documents of one version, and the latest changes that led to it."""

    def __init__(self) -> None:
        self._version = 0
        self._digest = 0
        self._items: dict[DocumentName, bytes] = {}
        self._log: deque[Delta] = deque()
        self._log_bytes = 0

    @property
    def version(self) -> int:
        """Return the version held; 0 before the first."""
        return self._version

    @property
    def digest(self) -> int:
        """Return the digest of all documents."""
        return self._digest

    @property
    def items(self) -> Mapping[DocumentName, bytes]:
        """Return all documents."""
        return self._items

    def diff(self, stored: Mapping[str, bytes], version: int) -> Delta:
        """Return the changes that the given kinds, as stored at a version, bring.

        Kinds that are not given stay as they are. Raises ``MalformedDocumentsError``.
        """
        new: dict[DocumentName, bytes] = {}
        for kind, value in stored.items():
            new |= read_stored(kind, value)
        changed = [
            DocumentItem(key.kind, key.name, data)
            for key, data in new.items()
            if self._items.get(key) != data
        ]
        dropped = [key for key in self._items if key.kind in stored and key not in new]
        digest = self._digest
        for item in changed:
            digest ^= self._held_hash(DocumentName(item.kind, item.name)) ^ _item_hash(item)
        for key in dropped:
            digest ^= self._held_hash(key)
        return Delta(self._version, version, digest, changed, dropped)

    def apply(self, delta: Delta) -> bool:
        """Apply changes; return whether the version increased.

        Raises ``GapError`` when changes before them are missing, and ``DistributionError`` when
        the resulting documents do not match the digest of the changes.
        """
        if delta.version <= self._version:
            self._check_equal(delta)
            return False
        if delta.base > self._version and not delta.whole:
            raise GapError(delta.base, self._version)
        before = self._version
        items = {} if delta.whole else dict(self._items)
        digest = 0 if delta.whole else self._digest
        for item in delta.changed:
            key = DocumentName(item.kind, item.name)
            digest ^= _document_hash(key, items.get(key)) ^ _item_hash(item)
            items[key] = item.data
        for key in delta.dropped:
            digest ^= _document_hash(key, items.pop(key, None))
        if not self._check_digest(delta, digest):
            raise GapError(delta.base, self._version)
        self._items, self._digest, self._version = items, digest, delta.version
        invariants.check(self._version > before, "configuration version rises", old=before)
        self._append_to_log(delta)
        return True

    def since(self, version: int) -> Delta | None:
        """Return the changes after a version, or none when there are none."""
        if version >= self._version:
            return None
        deltas = [delta for delta in self._log if delta.version > version]
        if not version or not deltas or deltas[0].base > version:
            return self._full_delta()
        return self._merge_deltas(version, deltas)

    def _full_delta(self) -> Delta:
        """Return all documents as changes from nothing."""
        changed = [DocumentItem(key.kind, key.name, data) for key, data in self._items.items()]
        return Delta(0, self._version, self._digest, changed, [], whole=True)

    def _merge_deltas(self, version: int, deltas: list[Delta]) -> Delta:
        """Merge several deltas into one."""
        if len(deltas) == 1:
            return deltas[0]
        touched = {DocumentName(i.kind, i.name) for delta in deltas for i in delta.changed}
        touched |= {key for delta in deltas for key in delta.dropped}
        changed = [
            DocumentItem(key.kind, key.name, self._items[key])
            for key in touched
            if key in self._items
        ]
        dropped = [key for key in touched if key not in self._items]
        return Delta(version, self._version, self._digest, changed, dropped)

    def _append_to_log(self, delta: Delta) -> None:
        """Log changes for slightly outdated peers, up to ``MAX_LOG_BYTES``."""
        if delta.whole:
            self._log.clear()
            self._log_bytes = 0
            return
        self._log.append(delta)
        self._log_bytes += delta.size
        while self._log_bytes > MAX_LOG_BYTES:
            self._log_bytes -= self._log.popleft().size

    def _check_equal(self, delta: Delta) -> None:
        """Check that two document sets of one version are equal."""
        if delta.version == self._version:
            self._check_digest(delta, self._digest)

    def _check_digest(self, delta: Delta, digest: int) -> bool:
        """Check that the documents of a version have its digest."""
        return invariants.check(
            digest == delta.digest,
            "documents of one version are equal",
            version=delta.version,
            base=delta.base,
            held=self._version,
        )

    def _held_hash(self, key: DocumentName) -> int:
        """Return the hash of a document that is held, 0 for one that is not."""
        return _document_hash(key, self._items.get(key))


def _item_hash(item: DocumentItem) -> int:
    """Return the hash of a document."""
    return _document_hash(DocumentName(item.kind, item.name), item.data)


def _document_hash(key: DocumentName, data: bytes | None) -> int:
    """Return the hash of a document's name and bytes, 0 for no document."""
    if data is None:
        return 0
    prefix = f"{key.kind}\0{key.name}\0".encode()
    return int(xxhash.xxh3_64_intdigest(prefix + data))
