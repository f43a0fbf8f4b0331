"""Compare documents, apply changes, and carry changes over to newer documents."""

from collections.abc import Iterable

from bluebellrun.declarations import KINDS, Document
from bluebellrun.plans._models import Change, ChangeKind

Identity = tuple[str, str]


def by_identity(documents: Iterable[Document]) -> dict[Identity, Document]:
    """Return documents by kind and name."""
    return {(document.kind, document.name): document for document in documents}


def compare_documents(current: Iterable[Document], wanted: Iterable[Document]) -> list[Change]:
    """Return the changes that turn the current documents into the wanted ones."""
    before, after = by_identity(current), by_identity(wanted)
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
    documents = by_identity(current)
    for change in changes:
        identity = (change.kind, change.name)
        if change.after is None:
            documents.pop(identity, None)
        else:
            documents[identity] = KINDS[change.kind].model_validate(change.after)
    return list(documents.values())


def carry_over(changes: Iterable[Change], current: Iterable[Document]) -> list[Document]:
    """Return newer documents with the fields that changes set, and no other field, applied.

    A document that was removed meanwhile stays removed.
    """
    documents = by_identity(current)
    for change in changes:
        identity = (change.kind, change.name)
        present = documents.get(identity)
        if change.after is None:
            documents.pop(identity, None)
        elif change.action is ChangeKind.ADD:
            documents[identity] = KINDS[change.kind].model_validate(change.after)
        elif present is not None:
            merged = present.model_dump(mode="json") | change.changed_fields()
            documents[identity] = KINDS[change.kind].model_validate(merged)
    return list(documents.values())


def invert(changes: Iterable[Change]) -> list[Change]:
    """Return the changes that take others back."""
    opposite = {ChangeKind.ADD: ChangeKind.REMOVE, ChangeKind.REMOVE: ChangeKind.ADD}
    return [
        Change(
            kind=change.kind,
            name=change.name,
            action=opposite.get(change.action, ChangeKind.CHANGE),
            before=change.after,
            after=change.before,
        )
        for change in changes
    ]
