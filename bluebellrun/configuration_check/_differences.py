"""Compare two configurations by name, in the order in which differences matter to callers."""

from collections.abc import Iterator
from dataclasses import fields

from bluebellrun.configuration_check._models import Difference, Effect, Field, Finding, View
from bluebellrun.deployment import Customer, Deployment, Route

EFFECTS = list(Effect)
# Parts taken away in the order in which callers feel it: routes at once, services the last.
PARTS = ["limits", "route", "key", "customer", "service"]
ROUTE_TERMS = {
    "repeat": "repeatability",
    "timeout_s": "time-out (s)",
    "objective_s": "time to first byte promised (s)",
    "longest_pause_s": "longest pause promised (s)",
    "attempts": "attempts",
    "priority": "priority",
    "streamed": "streamed",
    "resumable": "resumable",
}


def compare(old: Deployment, new: Deployment) -> list[Difference]:
    """Return how a document differs from an earlier one, what callers lose first."""
    found = [
        *_routes(old, new),
        *_customers(old, new),
        *_services(old, new),
        *_terms("limits", "", old.limits, new.limits),
    ]
    return sorted(
        found, key=lambda item: (EFFECTS.index(item.effect), PARTS.index(item.part), item.name)
    )


def find_version_fault(old: Deployment, view: View) -> Finding | None:
    """Return a fault if gateways that hold an earlier document would ignore the new one."""
    new = view.deployment
    if new is None or new.is_newer_than(old) or not compare(old, new):
        return None
    return Finding(
        view.place(Field.VERSION),
        f"version {new.version} is not above {old.version}: gateways keep the earlier document",
    )


def _routes(old: Deployment, new: Deployment) -> Iterator[Difference]:
    """Yield the differences of routes."""
    before = {route.name: route for route in old.routes}
    after = {route.name: route for route in new.routes}
    for name, route in before.items():
        kept = after.get(name)
        if kept is None:
            message = f"dropped; {_now_served(new, route)}"
            yield Difference(Effect.TAKEN_AWAY, "route", name, message)
            continue
        if (kept.host.lower(), kept.prefix) != (route.host.lower(), route.prefix):
            message = f"no longer at {_address(route)} but at {_address(kept)}; "
            message += _now_served(new, route)
            yield Difference(Effect.TAKEN_AWAY, "route", name, message)
        if kept.needs_key and not route.needs_key:
            yield Difference(Effect.TAKEN_AWAY, "route", name, "no longer public")
        elif route.needs_key and not kept.needs_key:
            yield Difference(Effect.ADDED, "route", name, "public now")
        if kept.shares != route.shares:
            message = f"goes to {_shares(kept)}, before to {_shares(route)}"
            yield Difference(Effect.MOVED, "route", name, message)
        for field, term in ROUTE_TERMS.items():
            earlier, later = getattr(route, field), getattr(kept, field)
            if earlier != later:
                yield _changed("route", name, term, earlier, later)
    for name, route in after.items():
        if name not in before:
            message = f"added at {_address(route)}, goes to {_shares(route)}"
            yield Difference(Effect.ADDED, "route", name, message)


def _now_served(new: Deployment, route: Route) -> str:
    """Say what becomes of requests to the address that a route had."""
    found = new.find_route(route.host, route.prefix)
    if found is None:
        return f"no route takes requests to {_address(route)}"
    return f"requests to {_address(route)} go to route {found.name!r}"


def _customers(old: Deployment, new: Deployment) -> Iterator[Difference]:
    """Yield the differences of customers and keys; keys are secrets and are only counted."""
    if new.checks_keys and not old.checks_keys:
        message = "callers without a key are refused on routes that are not public"
        yield Difference(Effect.TAKEN_AWAY, "key", "", message)
    elif old.checks_keys and not new.checks_keys:
        yield Difference(Effect.ADDED, "key", "", "keys are no longer checked")
    before, after = _by_name(old), _by_name(new)
    holders, earlier_holders = _holders(new), _holders(old)
    for name, customer in before.items():
        held = set(customer.keys)
        lost = sum(key not in holders for key in held)
        if lost and new.checks_keys:
            message = f"{lost} of {len(held)} keys taken away"
            yield Difference(Effect.TAKEN_AWAY, "key", name, message)
        moved: dict[str, int] = {}
        for key in held:
            holder = holders.get(key)
            if holder is not None and holder != name and earlier_holders[key] == name:
                moved[holder] = moved.get(holder, 0) + 1
        for holder, count in moved.items():
            message = f"{count} of {len(held)} keys now of customer {holder!r}"
            yield Difference(Effect.MOVED, "key", name, message)
        kept = after.get(name)
        if kept is None:
            yield Difference(Effect.TAKEN_AWAY, "customer", name, "dropped")
        elif kept.priority != customer.priority:
            yield _changed("customer", name, "priority", customer.priority, kept.priority)
    for name, customer in after.items():
        if name not in before:
            yield Difference(Effect.ADDED, "customer", name, "added")
        added = sum(key not in earlier_holders for key in set(customer.keys))
        if added:
            yield Difference(Effect.ADDED, "key", name, f"{added} keys added")


def _by_name(deployment: Deployment) -> dict[str, Customer]:
    """Return the customers by name; those of one name together hold the keys of all."""
    found: dict[str, Customer] = {}
    for customer in deployment.customers:
        earlier = found.get(customer.name)
        keys = customer.keys if earlier is None else earlier.keys + customer.keys
        found[customer.name] = Customer(customer.name, keys, customer.priority)
    return found


def _holders(deployment: Deployment) -> dict[str, str]:
    """Return the name of the customer that gateways find by each key."""
    return {key: customer.name for customer in deployment.customers for key in customer.keys}


def _services(old: Deployment, new: Deployment) -> Iterator[Difference]:
    """Yield the differences of services."""
    for name, service in old.services.items():
        kept = new.services.get(name)
        if kept is None:
            yield Difference(Effect.TAKEN_AWAY, "service", name, "dropped")
        else:
            yield from _terms("service", name, service, kept)
    for name in new.services:
        if name not in old.services:
            yield Difference(Effect.ADDED, "service", name, "added")


def _terms(part: str, name: str, old: object, new: object) -> Iterator[Difference]:
    """Yield the fields in which two data classes of one type differ, also those within them."""
    yield from (_changed(part, name, *item) for item in _changed_fields(old, new))


def _changed_fields(
    old: object, new: object, prefix: str = ""
) -> Iterator[tuple[str, object, object]]:
    """Yield the name and both values of each changed field."""
    for field in fields(old):  # type: ignore[arg-type]
        earlier, later = getattr(old, field.name), getattr(new, field.name)
        if earlier == later:
            continue
        term = prefix + field.name
        if hasattr(earlier, "__dataclass_fields__") and hasattr(later, "__dataclass_fields__"):
            yield from _changed_fields(earlier, later, f"{term}.")
        else:
            yield term, earlier, later


def _changed(part: str, name: str, term: str, old: object, new: object) -> Difference:
    """Return the difference of a limit."""
    return Difference(Effect.LIMITS, part, name, f"{term}: {_text(new)}, before {_text(old)}")


def _text(value: object) -> str:
    """Return a value as people read it."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.9g}"
    if isinstance(value, tuple) or hasattr(value, "__dataclass_fields__"):
        return f"{len(value)} entries" if isinstance(value, tuple) else "declared"
    return str(getattr(value, "value", value))


def _address(route: Route) -> str:
    """Return the host and prefix of a route."""
    return f"{route.host}{route.prefix}"


def _shares(route: Route) -> str:
    """Return the services of a route with their weights."""
    if len(route.shares) == 1:
        return f"service {route.shares[0].service!r}"
    return ", ".join(f"{share.service!r} (weight {share.weight:g})" for share in route.shares)
