"""The form in which documents of one kind are kept in the key-value service."""

from collections.abc import Iterable

from pydantic import BaseModel, ValidationError

from bluebellrun.declarations._exceptions import DeclarationError, Problem
from bluebellrun.declarations._models import KINDS, Document


class _StoredItems(BaseModel):
    """All documents of one kind."""

    kind: str
    items: list[dict[str, object]]


def encode_documents(kind: str, documents: Iterable[Document]) -> bytes:
    """Return the documents of a kind as JSON, sorted by name."""
    ordered = sorted(
        (document for document in documents if document.kind == kind), key=lambda d: d.name
    )
    items = [document.model_dump(mode="json") for document in ordered]
    return _StoredItems(kind=kind, items=items).model_dump_json().encode()


def decode_documents(data: bytes) -> list[Document]:
    """Read what ``encode_documents`` wrote; raise ``DeclarationError`` if it is malformed."""
    try:
        stored = _StoredItems.model_validate_json(data)
        model = KINDS[stored.kind]
        return [model.model_validate(item) for item in stored.items]
    except (ValidationError, KeyError) as error:
        raise DeclarationError([Problem("store", 0, f"stored documents: {error}")]) from error
