"""Checks across documents: references that lead nowhere and values that exclude each other."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from bluebellrun.declarations._models import (
    CustomerDocument,
    Document,
    ModelGroupDocument,
    ObjectiveDocument,
    OperatorDocument,
    PriorityDocument,
    ServiceDocument,
    ShareDocument,
    UpstreamDocument,
)
from bluebellrun.upstreams import Protocol

FULL = 1.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A field of a document that does not fit the other documents."""

    document: Document
    field: str
    message: str

    def __str__(self) -> str:
        """Return the violation in one line."""
        return f"{self.document.kind} {self.document.name!r} field {self.field!r}: {self.message}"


def check_documents(documents: Iterable[Document]) -> list[Violation]:
    """Return what is wrong across all documents of a configuration."""
    listed = list(documents)
    found: list[Violation] = []
    found += _check_references(listed)
    found += _check_models(listed)
    found += _check_secrets(listed)
    found += _check_priorities(listed)
    found += _check_pairs(listed)
    found += _check_groups(listed)
    return found


def _check_references(documents: list[Document]) -> Iterator[Violation]:
    """Find names of documents that are not declared."""
    names: dict[str, set[str]] = {}
    for document in documents:
        names.setdefault(document.kind, set()).add(document.name)
    for document in documents:
        for field, kind, name in references(document):
            known = names.get(kind, set())
            if name not in known:
                listed = ", ".join(sorted(known)) or "none"
                way_out = f"declare it or use one of: {listed}"
                yield Violation(document, field, f"{kind} {name!r} is not declared; {way_out}")


def references(document: Document) -> list[tuple[str, str, str]]:
    """Return the documents that one names, as (field, kind, name)."""
    match document:
        case CustomerDocument():
            return [("services", "service", name) for name in document.services]
        case UpstreamDocument():
            group = [("group", "model-group", document.group)] if document.group else []
            return [("service", "service", document.service), *group]
        case ModelGroupDocument():
            return [
                ("service", "service", document.service),
                ("version", "model-version", document.version),
            ]
        case ShareDocument():
            return [
                ("customer", "customer", document.customer),
                ("service", "service", document.service),
            ]
        case ObjectiveDocument():
            customer = [("customer", "customer", document.customer)] if document.customer else []
            return [("priority", "priority", document.priority), *customer]
    return []


def _check_models(documents: list[Document]) -> Iterator[Violation]:
    """Find models that several services serve, and models of plain services."""
    served: dict[str, str] = {}
    for document in documents:
        if not isinstance(document, ServiceDocument):
            continue
        if document.protocol is Protocol.PLAIN and document.models:
            yield Violation(document, "models", "a plain service has no models; remove them")
        for model in document.models:
            other = served.setdefault(model, document.name)
            if other != document.name:
                text = f"model {model!r} is served by {other!r} already; name it once"
                yield Violation(document, "models", text)


def _check_secrets(documents: list[Document]) -> Iterator[Violation]:
    """Find one key or token that belongs to two customers or operators."""
    owners: dict[str, str] = {}
    for document in documents:
        match document:
            case CustomerDocument():
                field, hashes = "key_hashes", document.key_hashes
            case OperatorDocument():
                field, hashes = "token_hashes", document.token_hashes
            case _:
                continue
        for item in hashes:
            owner = owners.setdefault(item, f"{document.kind} {document.name}")
            if owner != f"{document.kind} {document.name}":
                text = f"{item[:8]}... belongs to {owner} already; give each its own"
                yield Violation(document, field, text)


def _check_priorities(documents: list[Document]) -> Iterator[Violation]:
    """Find urgencies declared twice and floors that add up to more than everything."""
    total = 0.0
    urgencies: dict[int, str] = {}
    for document in documents:
        if not isinstance(document, PriorityDocument):
            continue
        other = urgencies.setdefault(document.urgency, document.name)
        if other != document.name:
            text = f"{document.urgency} is the urgency of {other!r} already; choose another"
            yield Violation(document, "urgency", text)
        total += document.floor
        if total > FULL:
            text = f"the floors add up to {total:.2f}; lower them to 1 or less together"
            yield Violation(document, "floor", text)


def _check_pairs(documents: list[Document]) -> Iterator[Violation]:
    """Find two shares or two objectives for the same pair."""
    seen: dict[tuple[str, str, str], str] = {}
    pair: tuple[str, str, str]
    for document in documents:
        match document:
            case ShareDocument():
                pair = (document.kind, document.customer, document.service)
            case ObjectiveDocument():
                pair = (document.kind, document.priority, document.customer)
            case _:
                continue
        other = seen.setdefault(pair, document.name)
        if other != document.name:
            text = f"{other!r} is for the same pair already; keep one of them"
            yield Violation(document, "name", text)


def _check_groups(documents: list[Document]) -> Iterator[Violation]:
    """Find ranks outside their group, ranks declared twice and groups of another service."""
    groups = {item.name: item for item in documents if isinstance(item, ModelGroupDocument)}
    ranks: dict[tuple[str, int], str] = {}
    for document in documents:
        if not isinstance(document, UpstreamDocument) or document.group not in groups:
            continue
        group = groups[document.group]
        if document.service != group.service:
            text = f"{document.service!r} is not the service of group {group.name!r}"
            yield Violation(document, "service", f"{text}, which is {group.service!r}")
        if document.rank >= group.ranks:
            text = f"{document.rank} is outside group {group.name!r}; use 0 to {group.ranks - 1}"
            yield Violation(document, "rank", text)
        other = ranks.setdefault((document.group, document.rank), document.name)
        if other != document.name:
            text = f"rank {document.rank} of {document.group!r} is {other!r} already"
            yield Violation(document, "rank", f"{text}; number each once")
