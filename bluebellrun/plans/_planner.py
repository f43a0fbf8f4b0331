"""Compare documents and apply changes."""

from collections.abc import Iterable

from bluebellrun.declarations import KINDS, Document
from bluebellrun.plans._models import Change, ChangeKind

Identity = tuple[str, str]


def _by_identity(documents: Iterable[Document]) -> dict[Identity, Document]:
    """Return documents by kind and name."""
    return {(document.kind, document.name): document for document in documents}


def compare_documents(current: Iterable[Document], wanted: Iterable[Document]) -> list[Change]:
    """Return the changes that turn the current documents into the wanted ones."""
    before, after = _by_identity(current), _by_identity(wanted)
    changes = []
    for identity in sorted(before.keys() | after.keys()):
        change = _compare(identity, before.get(identity), after.get(identity))
        if change is not None:
            changes.append(change)
    return changes


def _compare(identity: Identity, old: Document | None, new: Document | None) -> Change | None:
    """Return the change of one document, or none."""
    if old == new:
        return None
    kind, name = identity
    action = ChangeKind.CHANGE
    if old is None:
        action = ChangeKind.ADD
    elif new is None:
        action = ChangeKind.REMOVE
    return Change(
        kind=kind,
        name=name,
        action=action,
        before=None if old is None else old.model_dump(mode="json"),
        after=None if new is None else new.model_dump(mode="json"),
    )


def apply_changes(current: Iterable[Document], changes: Iterable[Change]) -> list[Document]:
    """Return the documents after the changes."""
    documents = _by_identity(current)
    for change in changes:
        identity = (change.kind, change.name)
        if change.after is None:
            documents.pop(identity, None)
        else:
            documents[identity] = KINDS[change.kind].model_validate(change.after)
    return list(documents.values())
