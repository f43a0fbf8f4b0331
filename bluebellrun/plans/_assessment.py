"""What a plan does step by step, what it costs and what an operator should know."""

import math
from collections.abc import Iterable, Mapping

from bluebellrun.declarations import (
    Document,
    ModelGroupDocument,
    ModelVersionDocument,
    ServiceDocument,
    UpstreamDocument,
)
from bluebellrun.plans._basis import active_upstreams
from bluebellrun.plans._models import Change, ChangeKind, Cost, ServiceCapacity
from bluebellrun.plans._planner import apply_changes
from bluebellrun.upstreams import UpstreamState

ORDER = (
    "priority",
    "service",
    "model-version",
    "model-group",
    "customer",
    "share",
    "upstream",
    "objective",
    "operator",
)
MAX_LISTED = 8


def order_changes(changes: Iterable[Change]) -> list[Change]:
    """Return changes so that what is named comes before what names it; removals last."""

    def rank(change: Change) -> tuple[bool, int, str]:
        place = ORDER.index(change.kind)
        removed = change.action is ChangeKind.REMOVE
        return removed, -place if removed else place, change.name

    return sorted(changes, key=rank)


def leaving_upstreams(changes: Iterable[Change]) -> list[str]:
    """Return the upstreams that take work before the changes and not after."""
    return sorted(
        change.name
        for change in changes
        if change.kind == "upstream"
        and change.before is not None
        and change.before["state"] == UpstreamState.ACTIVE
        and (change.after is None or change.after["state"] != UpstreamState.ACTIVE)
    )


def _group_changes(changes: Iterable[Change], field: str) -> list[ModelGroupDocument]:
    """Return the groups, as they will be, whose field changes."""
    return [
        ModelGroupDocument.model_validate(change.after)
        for change in changes
        if change.kind == "model-group" and change.before and field in change.changed_fields()
    ]


def list_steps(changes: list[Change]) -> list[str]:
    """Return what happens after the confirmation, in order."""
    if not changes:
        return []
    steps = [f"{len(changes)} documents change together, in one version"]
    leaving = leaving_upstreams(changes)
    if leaving:
        names = _shorten(leaving)
        steps.append(f"the agents of {names} refuse new work; entries send them none")
        steps.append("work that waits there goes back as not run and is sent elsewhere")
        steps.append("work in progress there ends in peace")
    for group in _group_changes(changes, "version"):
        steps.append(f"ranks of {group.name} load {group.version} while it serves the old version")
        steps.append(f"{group.name} changes over at one step, all {group.ranks} ranks together")
    for group in _group_changes(changes, "rebalance"):
        steps.append(f"the coordinator of {group.name} plans a map and prepares it on all ranks")
        steps.append(f"{group.name} activates the map at one step, or keeps the old one")
    return steps


def assess_cost(
    documents: Iterable[Document],
    changes: list[Change],
    in_progress: Mapping[str, int] | None = None,
) -> Cost:
    """Return what changes cost; ``in_progress`` counts the requests at each upstream."""
    before = list(documents)
    after = apply_changes(before, changes)
    leaving = leaving_upstreams(changes)
    affected = None
    if not leaving:
        affected = 0
    elif in_progress is not None:
        affected = sum(in_progress.get(name, 0) for name in leaving)
    capacity = [_capacity(name, before, after, changes) for name in _services(before, after)]
    return Cost(
        capacity=[item for item in capacity if not item.before == item.meanwhile == item.after],
        requests_affected=affected,
        weights_moved_bytes=_weights_moved(after, changes),
    )


def list_notes(documents: Iterable[Document], changes: list[Change]) -> list[str]:
    """Return warnings about the effect of changes."""
    notes = []
    after = apply_changes(documents, changes)
    for name in sorted({item.name for item in after if isinstance(item, ServiceDocument)}):
        lost = active_upstreams(documents, name) and not active_upstreams(after, name)
        if lost:
            notes.append(f"service {name} will have no upstream that takes work")
    for change in changes:
        if change.kind == "upstream" and change.before and change.after:
            was, becomes = change.before["state"], change.after["state"]
            if (was, becomes) == (UpstreamState.DRAINING, UpstreamState.ACTIVE):
                notes.append(f"{change.name} is draining; this ends the drain")
        if change.kind == "customer" and "key_hashes" in change.changed_fields() and change.before:
            dropped = _dropped(change)
            if dropped:
                notes.append(f"{dropped} key of customer {change.name} ends at once")
    return notes


def _dropped(change: Change) -> int:
    """Return how many of a customer's keys end."""
    before = list((change.before or {}).get("key_hashes", []))  # type: ignore[call-overload]
    after = list((change.after or {}).get("key_hashes", []))  # type: ignore[call-overload]
    return len(set(before) - set(after))


def _services(before: list[Document], after: list[Document]) -> list[str]:
    """Return the names of all services, sorted."""
    return sorted({item.name for item in (*before, *after) if isinstance(item, ServiceDocument)})


def _capacity(
    service: str, before: list[Document], after: list[Document], changes: list[Change]
) -> ServiceCapacity:
    """Return how many upstreams of a service take work before, meanwhile and after."""
    old, new = active_upstreams(before, service), active_upstreams(after, service)
    meanwhile = min(len(old), len(new)) if old else len(new)
    for group in _group_changes(changes, "version"):
        members = [
            item.name
            for item in after
            if isinstance(item, UpstreamDocument) and item.group == group.name
        ]
        if group.service == service and members:
            floor = math.ceil(len(new) * group.capacity_floor)
            meanwhile = min(meanwhile, max(floor, len(new) - len(members)))
    return ServiceCapacity(service=service, before=len(old), meanwhile=meanwhile, after=len(new))


def _weights_moved(after: list[Document], changes: list[Change]) -> int:
    """Return the most bytes that are read from the weight store."""
    sizes = {item.name: item for item in after if isinstance(item, ModelVersionDocument)}
    shifts = _group_changes(changes, "version")
    loaded = sum(sizes[group.version].weights_bytes for group in shifts if group.version in sizes)
    moved = 0
    for group in _group_changes(changes, "rebalance"):
        whole = sizes[group.version].weights_bytes if group.version in sizes else 0
        moved += min(whole, group.max_moved_bytes or whole)
    return loaded + moved


def _shorten(names: list[str]) -> str:
    """Return names in one line, the first few where there are many."""
    listed = ", ".join(names[:MAX_LISTED])
    more = len(names) - MAX_LISTED
    return f"{listed} and {more} more" if more > 0 else listed
