"""Compare two configurations by name, in the order in which differences matter to callers."""

from collections.abc import Iterator, Mapping, Sequence

from bluebellrun.configuration_check._models import (
    Difference,
    Effect,
    Field,
    Finding,
    Terms,
    View,
)
from bluebellrun.deployment import Customer, Deployment, Route

EFFECTS = list(Effect)
# Parts taken away in the order in which callers feel it: routes at once, services the last.
PARTS = ["limits", "route", "key", "customer", "service"]


def compare(old: View, new: View) -> list[Difference]:
    """Return how a document differs from an earlier one, what callers lose first.

    Without a document that gateways accept on both sides there is nothing to compare.
    """
    if old.deployment is None or new.deployment is None:
        return []
    found = [
        *_routes(old.deployment, new.deployment),
        *_route_terms(old, new),
        *_customers(old.deployment, new.deployment),
        *_services(old, new),
        *_changed_terms("limits", "", old.limit_terms, new.limit_terms),
    ]
    return sorted(
        found, key=lambda item: (EFFECTS.index(item.effect), PARTS.index(item.part), item.name)
    )


def find_version_fault(old: View, new: View, differences: Sequence[Difference]) -> Finding | None:
    """Return a fault if gateways that hold an earlier document would ignore a different one."""
    if not differences or old.deployment is None or new.deployment is None:
        return None
    if new.deployment.is_newer_than(old.deployment):
        return None
    earlier, later = old.deployment.version, new.deployment.version
    return Finding(
        new.place(Field.VERSION),
        f"version {later} is not above {earlier}: gateways keep the earlier document",
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
            yield from _taken_over(old, after, kept)
        if kept.needs_key and not route.needs_key:
            yield Difference(Effect.TAKEN_AWAY, "route", name, "no longer public")
        elif route.needs_key and not kept.needs_key:
            yield Difference(Effect.ADDED, "route", name, "public now")
        if kept.shares != route.shares:
            message = f"goes to {_shares(kept)}, before to {_shares(route)}"
            yield Difference(Effect.MOVED, "route", name, message)
    for name, route in after.items():
        if name not in before:
            message = f"added at {_address(route)}, goes to {_shares(route)}"
            yield Difference(Effect.ADDED, "route", name, message)
            yield from _taken_over(old, after, route)


def _taken_over(old: Deployment, after: Mapping[str, Route], route: Route) -> Iterator[Difference]:
    """Yield which remaining route had the requests to the new address of a route."""
    earlier = old.find_route(route.host, route.prefix)
    if earlier is not None and earlier.name != route.name and earlier.name in after:
        message = f"requests to {_address(route)} went to route {earlier.name!r} before"
        yield Difference(Effect.MOVED, "route", route.name, message)


def _route_terms(old: View, new: View) -> Iterator[Difference]:
    """Yield the limits of routes that changed."""
    before, after = _terms_by_route(old), _terms_by_route(new)
    for name, terms in before.items():
        if name in after:
            yield from _changed_terms("route", name, terms, after[name])


def _terms_by_route(view: View) -> dict[str, Terms]:
    """Return the limits of each route by its name."""
    routes = () if view.deployment is None else view.deployment.routes
    return {route.name: terms for route, terms in zip(routes, view.route_terms, strict=True)}


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
            message = f"priority {_text(kept.priority)}, before {_text(customer.priority)}"
            yield Difference(Effect.LIMITS, "customer", name, message)
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


def _services(old: View, new: View) -> Iterator[Difference]:
    """Yield the differences of services."""
    before, after = (
        {item.name: terms for item, terms in zip(view.services, view.service_terms, strict=True)}
        for view in (old, new)
    )
    for name, terms in before.items():
        if name not in after:
            yield Difference(Effect.TAKEN_AWAY, "service", name, "dropped")
        else:
            yield from _changed_terms("service", name, terms, after[name])
    for name in after:
        if name not in before:
            yield Difference(Effect.ADDED, "service", name, "added")


def _changed_terms(part: str, name: str, old: Terms, new: Terms) -> Iterator[Difference]:
    """Yield the limits that changed, were given up or were added."""
    for term in dict.fromkeys([*old, *new]):
        if old.get(term) != new.get(term):
            message = f"{term} {_text(new.get(term))}, before {_text(old.get(term))}"
            yield Difference(Effect.LIMITS, part, name, message)


def _text(value: object) -> str:
    """Return a value as the file may have it."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f"{value:.15g}" if isinstance(value, float) else repr(value)


def _address(route: Route) -> str:
    """Return the host and prefix of a route."""
    return f"{route.host}{route.prefix}"


def _shares(route: Route) -> str:
    """Return the services of a route with their weights."""
    if len(route.shares) == 1:
        return f"service {route.shares[0].service!r}"
    return ", ".join(f"{share.service!r} (weight {share.weight:g})" for share in route.shares)
