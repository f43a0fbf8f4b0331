"""What a plan rests on, and whether that still holds."""

import hashlib
import json
from collections.abc import Iterable

from bluebellrun.declarations import KINDS, Document, UpstreamDocument, check_documents, references
from bluebellrun.plans._models import Basis, Change, Plan
from bluebellrun.plans._planner import apply_changes, by_identity
from bluebellrun.upstreams import UpstreamState

CAPACITY = "active upstreams of service"
DIGEST_LENGTH = 16


def _digest(value: object) -> str:
    """Return a short digest of a JSON value."""
    text = json.dumps(value, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]


def active_upstreams(documents: Iterable[Document], service: str) -> list[str]:
    """Return the names of a service's upstreams that take work, sorted."""
    return sorted(
        item.name
        for item in documents
        if isinstance(item, UpstreamDocument)
        and item.service == service
        and item.state is UpstreamState.ACTIVE
    )


def find_basis(changes: list[Change], documents: Iterable[Document]) -> list[Basis]:
    """Return what changes rest on besides the documents they change.

    That is every document they name, and for a service that loses an upstream the set of
    those that remain: two operators who each drain the other half must not both win.
    """
    current = by_identity(documents)
    changed = {(change.kind, change.name) for change in changes}
    found: dict[tuple[str, str], Basis] = {}
    for change in changes:
        for identity in _named_by(change):
            if identity in current and identity not in changed:
                digest = _digest(current[identity].model_dump(mode="json"))
                found[identity] = Basis(kind=identity[0], name=identity[1], digest=digest)
    for service in _services_that_shrink(changes):
        names = active_upstreams(current.values(), service)
        found[(CAPACITY, service)] = Basis(kind=CAPACITY, name=service, digest=_digest(names))
    return [found[key] for key in sorted(found)]


def find_differences(plan: Plan, documents: Iterable[Document]) -> list[str]:
    """Return why a plan no longer fits the documents, one line each; none when it does."""
    current = by_identity(documents)
    differences = [_difference(change, current) for change in plan.changes]
    differences += [_moved_basis(basis, current) for basis in plan.rests_on]
    found = [line for line in differences if line]
    if found:
        return found
    before = {str(item) for item in check_documents(current.values())}
    after = check_documents(apply_changes(current.values(), plan.changes))
    return [str(item) for item in after if str(item) not in before]


def _named_by(change: Change) -> list[tuple[str, str]]:
    """Return the documents that a changed document names, as (kind, name)."""
    if change.after is None:
        return []
    document = KINDS[change.kind].model_validate(change.after)
    return [(kind, name) for _, kind, name in references(document)]


def _services_that_shrink(changes: Iterable[Change]) -> list[str]:
    """Return the services that lose an active upstream."""
    found = set()
    for change in changes:
        if change.kind != "upstream" or change.before is None:
            continue
        after = change.after or {}
        was_active = change.before["state"] == UpstreamState.ACTIVE
        moved = after.get("service") != change.before["service"]
        if was_active and (moved or after.get("state") != UpstreamState.ACTIVE):
            found.add(str(change.before["service"]))
    return sorted(found)


def _difference(change: Change, current: dict[tuple[str, str], Document]) -> str:
    """Return how a document differs from what a change expects, empty when it does not."""
    document = current.get((change.kind, change.name))
    present = None if document is None else document.model_dump(mode="json")
    expected = change.before
    if expected is not None:
        expected = KINDS[change.kind].model_validate(expected).model_dump(mode="json")
    if present == expected:
        return ""
    head = f"{change.kind} {change.name}"
    if present is None:
        return f"{head} was removed"
    if expected is None:
        return f"{head} was added by another plan"
    fields = [
        f"{key}: {expected.get(key)!r} -> {value!r}"
        for key, value in present.items()
        if expected.get(key) != value
    ]
    return f"{head} changed: {', '.join(fields)}"


def _moved_basis(basis: Basis, current: dict[tuple[str, str], Document]) -> str:
    """Return that something a plan rests on has changed, empty when it has not."""
    if basis.kind == CAPACITY:
        names = active_upstreams(current.values(), basis.name)
        if _digest(names) == basis.digest:
            return ""
        return f"{CAPACITY} {basis.name} changed; now {', '.join(names) or 'none'}"
    document = current.get((basis.kind, basis.name))
    if document is None:
        return f"{basis.kind} {basis.name} was removed"
    if _digest(document.model_dump(mode="json")) != basis.digest:
        return f"{basis.kind} {basis.name} changed"
    return ""
