"""The form in which documents of one kind are kept in the key-value service."""

import zlib
from collections.abc import Iterable

from pydantic import BaseModel, ValidationError

from bluebellrun.declarations._exceptions import DeclarationError, Problem
from bluebellrun.declarations._models import KINDS, Document

MAX_VALUE_BYTES = 1_000_000
MAX_UNPACKED_BYTES = 64_000_000
COMPRESS_FROM_BYTES = 16_384
ZLIB_FIRST_BYTE = 0x78


class _StoredItems(BaseModel):
    """All documents of one kind."""

    kind: str
    items: list[dict[str, object]]


def encode_documents(kind: str, documents: Iterable[Document]) -> bytes:
    """Return the documents of a kind as JSON, sorted by name; packed by zlib when large.

    Raises ``DeclarationError`` when they exceed what the key-value service keeps in a value.
    """
    ordered = sorted(
        (document for document in documents if document.kind == kind), key=lambda d: d.name
    )
    items = [document.model_dump(mode="json") for document in ordered]
    packed = pack(_StoredItems(kind=kind, items=items).model_dump_json().encode())
    if len(packed) > MAX_VALUE_BYTES:
        text = (
            f"the {len(items)} documents of kind {kind!r} take {len(packed)} bytes and the "
            f"key-value service keeps {MAX_VALUE_BYTES}; remove some or shorten them"
        )
        raise DeclarationError([Problem("store", 0, text)])
    return packed


def decode_documents(data: bytes) -> list[Document]:
    """Read what ``encode_documents`` wrote; raise ``DeclarationError`` if it is malformed."""
    try:
        stored = _StoredItems.model_validate_json(unpack(data))
        model = KINDS[stored.kind]
        return [model.model_validate(item) for item in stored.items]
    except (ValidationError, KeyError, ValueError) as error:
        raise DeclarationError([Problem("store", 0, f"stored documents: {error}")]) from error


def pack(data: bytes) -> bytes:
    """Return data as it is kept: packed by zlib when it is large."""
    return zlib.compress(data, 6) if len(data) >= COMPRESS_FROM_BYTES else data


def unpack(data: bytes) -> bytes:
    """Return the data that ``pack`` was given; raise ``ValueError`` if it is malformed."""
    if not data or data[0] != ZLIB_FIRST_BYTE:
        return data
    reader = zlib.decompressobj()
    try:
        plain = reader.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"not packed by zlib: {error}") from error
    if reader.unconsumed_tail or not reader.eof:
        raise ValueError("packed data is cut short or too large")
    return plain
