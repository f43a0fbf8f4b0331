"""Intents: the documents that an operator's short command asks for."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from bluebellrun.declarations import (
    CustomerDocument,
    Document,
    ModelGroupDocument,
    ModelVersionDocument,
    ServiceDocument,
    ShareDocument,
    UpstreamDocument,
)
from bluebellrun.plans._exceptions import IntentError
from bluebellrun.upstreams import UpstreamState


@dataclass(frozen=True, slots=True)
class Declare:
    """Put exactly these documents in force."""

    folder: str
    documents: tuple[Document, ...]


@dataclass(frozen=True, slots=True)
class Drain:
    """Let upstreams take no new work."""

    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Undrain:
    """Let upstreams take work again."""

    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Shift:
    """Move a group to another version of its model."""

    group: str
    version: str


@dataclass(frozen=True, slots=True)
class SetShare:
    """Set a customer's weight, on one service or on all that have no weight of their own."""

    customer: str
    weight: float
    service: str = ""


@dataclass(frozen=True, slots=True)
class Rebalance:
    """Let a group place its experts anew, moving at most so many bytes (0: no limit)."""

    group: str
    max_moved_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Hold:
    """Pause a group's shifts and rebalancing, or let them go on."""

    group: str
    paused: bool


Intent = Declare | Drain | Undrain | Shift | SetShare | Rebalance | Hold
DocumentT = TypeVar("DocumentT", bound=Document)


def describe_intent(intent: Intent) -> str:
    """Return an intent in one line."""
    match intent:
        case Declare(folder):
            return f"declare {folder}"
        case Drain(upstreams):
            return f"drain {' '.join(upstreams)}"
        case Undrain(upstreams):
            return f"undrain {' '.join(upstreams)}"
        case Shift(group, version):
            return f"shift {group} to {version}"
        case SetShare(customer, weight, service):
            return f"share {customer} {weight:g}{' on ' + service if service else ''}"
        case Rebalance(group):
            return f"rebalance {group}"
        case Hold(group, paused):
            return f"{'pause' if paused else 'resume'} {group}"


def wanted_documents(intent: Intent, current: Iterable[Document]) -> list[Document]:
    """Return all documents as an intent wants them; raise ``IntentError`` when it cannot be."""
    documents = list(current)
    match intent:
        case Declare(_, wanted):
            return list(wanted)
        case Drain(upstreams):
            return _set_state(documents, upstreams, UpstreamState.DRAINING)
        case Undrain(upstreams):
            return _set_state(documents, upstreams, UpstreamState.ACTIVE)
        case Shift():
            return _shift(documents, intent)
        case SetShare():
            return _set_share(documents, intent)
        case Rebalance(name, limit):
            group = _find(documents, ModelGroupDocument, name)
            update = {"rebalance": group.rebalance + 1, "max_moved_bytes": limit}
            return _replace(documents, group, group.model_copy(update=update))
        case Hold(name, paused):
            group = _find(documents, ModelGroupDocument, name)
            return _replace(documents, group, group.model_copy(update={"paused": paused}))


def _find(documents: Iterable[Document], model: type[DocumentT], name: str) -> DocumentT:
    """Return a document by name; raise ``IntentError`` that lists the names there are."""
    found = {item.name: item for item in documents if isinstance(item, model)}
    if name not in found:
        kind = model.model_fields["kind"].default
        known = ", ".join(sorted(found)) or "none"
        raise IntentError(f"{kind} {name!r} is not declared; declared are: {known}")
    return found[name]


def _replace(documents: Iterable[Document], old: Document, new: Document) -> list[Document]:
    """Return documents with one replaced."""
    return [new if item is old else item for item in documents]


def _set_state(
    documents: list[Document], names: tuple[str, ...], state: UpstreamState
) -> list[Document]:
    """Return documents with the state of some upstreams set."""
    for name in names:
        upstream = _find(documents, UpstreamDocument, name)
        documents = _replace(documents, upstream, upstream.model_copy(update={"state": state}))
    return documents


def _shift(documents: list[Document], intent: Shift) -> list[Document]:
    """Return documents with another desired version of a group."""
    group = _find(documents, ModelGroupDocument, intent.group)
    new = _find(documents, ModelVersionDocument, intent.version)
    old = _find(documents, ModelVersionDocument, group.version)
    if new.model != old.model:
        raise IntentError(
            f"version {new.name!r} is of model {new.model!r} and group {group.name!r} serves "
            f"{old.model!r}; choose a version of {old.model!r}"
        )
    if new.name == group.version:
        return documents
    update = {"version": new.name, "previous_version": group.version}
    return _replace(documents, group, group.model_copy(update=update))


def _set_share(documents: list[Document], intent: SetShare) -> list[Document]:
    """Return documents with a customer's weight set."""
    if intent.weight <= 0:
        raise IntentError(f"weight {intent.weight:g} is not positive; give a number above 0")
    customer = _find(documents, CustomerDocument, intent.customer)
    if not intent.service:
        changed = customer.model_copy(update={"share": intent.weight})
        return _replace(documents, customer, changed)
    service = _find(documents, ServiceDocument, intent.service)
    for item in documents:
        if (
            isinstance(item, ShareDocument)
            and item.customer == customer.name
            and item.service == service.name
        ):
            return _replace(documents, item, item.model_copy(update={"weight": intent.weight}))
    share = ShareDocument(
        name=_share_name(documents, f"{customer.name}-{service.name}"),
        customer=customer.name,
        service=service.name,
        weight=intent.weight,
    )
    return [*documents, share]


def _share_name(documents: list[Document], wanted: str) -> str:
    """Return a name for a new share that no other has."""
    taken = {item.name for item in documents if isinstance(item, ShareDocument)}
    short = wanted[:55].strip("-.")
    numbered = (f"{short}-{number}" for number in range(2, len(taken) + 3))
    return short if short not in taken else next(name for name in numbered if name not in taken)
