"""Find what contradicts itself in a configuration, and what can never have an effect."""

from collections.abc import Iterable, Iterator

from bluebellrun.configuration_check._models import Field, Finding, View
from bluebellrun.deployment import Deployment, Route

# Characters that end the path of a request target, or that no host or path contains.
NEVER_IN_PATHS = frozenset("?# ")


def find_faults(view: View, most_body_bytes: int = 0) -> list[Finding]:
    """Return all faults of a document; ``most_body_bytes`` of 0 is no bound.

    A document that gateways refuse has only the problems of its reading.
    """
    found = list(view.problems)
    deployment = view.deployment
    if deployment is None:
        return found
    found += _repeated_names(view, deployment)
    found += _repeated_keys(view, deployment)
    declared = {service.name for service in view.services}
    for index, route in enumerate(deployment.routes):
        found += _services_of_route(view, index, route, declared)
        found += _address(view, index, route)
        found += _limits_of_route(view, index, route)
    found += _hidden_routes(view, deployment)
    found += _unused_services(view, deployment)
    body = deployment.limits.max_body_bytes
    if most_body_bytes and body > most_body_bytes:
        found.append(
            Finding(
                view.place(Field.BODY_LIMIT),
                f"{body} bytes are more than the smallest gateway holds beside other requests: "
                f"{most_body_bytes}",
            )
        )
    return found


def _repeated_names(view: View, deployment: Deployment) -> Iterator[Finding]:
    """Yield the names that an earlier entry of the same list has."""
    for field, names in (
        (Field.ROUTE_NAME, [route.name for route in deployment.routes]),
        (Field.SERVICE_NAME, [service.name for service in view.services]),
        (Field.CUSTOMER_NAME, [customer.name for customer in deployment.customers]),
    ):
        first: dict[str, int] = {}
        for index, name in enumerate(names):
            place = view.place(field, index)
            if not name:
                yield Finding(place, "the name is empty")
            elif first.setdefault(name, index) != index:
                earlier = view.place(field, first[name])
                yield Finding(place, f"the name {name!r} is already that of {earlier}")


def _repeated_keys(view: View, deployment: Deployment) -> Iterator[Finding]:
    """Yield the keys held twice. Keys are secrets, so findings only name their places."""
    first: dict[str, str] = {}
    for index, customer in enumerate(deployment.customers):
        for number, key in enumerate(customer.keys):
            place = view.place(Field.CUSTOMER_KEY, index, number)
            earlier = first.setdefault(key, place)
            if not key:
                yield Finding(place, "the key is empty")
            elif earlier != place:
                yield Finding(place, f"the key is already held at {earlier}")


def _services_of_route(
    view: View, index: int, route: Route, declared: set[str]
) -> Iterator[Finding]:
    """Yield the faults of a route's services and weights."""
    if index not in view.split_routes:
        yield from _named_service(
            view.place(Field.ROUTE_SERVICE, index), route.shares[0].service, declared
        )
        return
    first: dict[str, int] = {}
    for number, share in enumerate(route.shares):
        place = view.place(Field.SHARE_SERVICE, index, number)
        yield from _named_service(place, share.service, declared)
        if first.setdefault(share.service, number) != number:
            earlier = view.place(Field.SHARE_SERVICE, index, first[share.service])
            yield Finding(place, f"service {share.service!r} is already named at {earlier}")
        if share.weight < 0:
            place = view.place(Field.SHARE_WEIGHT, index, number)
            yield Finding(place, f"the weight {share.weight:g} is negative")
    if not any(share.weight > 0 for share in route.shares):
        yield Finding(view.place(Field.ROUTE_SHARES, index), "no weight is above 0")


def _named_service(place: str, service: str, declared: set[str]) -> Iterator[Finding]:
    """Yield a fault if a service that a route names is not declared."""
    if not service:
        yield Finding(place, "the route names no service")
    elif service not in declared:
        yield Finding(place, f"service {service!r} is not declared")


def _address(view: View, index: int, route: Route) -> Iterator[Finding]:
    """Yield why no request can match the host or prefix of a route."""
    if not route.host:
        yield Finding(view.place(Field.ROUTE_HOST, index), "the host is empty: no request matches")
    place = view.place(Field.ROUTE_PREFIX, index)
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Finding(
            place, f"{route.prefix!r} does not begin and end with a slash: no request matches"
        )
    elif not NEVER_IN_PATHS.isdisjoint(route.prefix) or not route.prefix.isprintable():
        yield Finding(place, f"{route.prefix!r} has characters that no path has")


def _limits_of_route(view: View, index: int, route: Route) -> Iterator[Finding]:
    """Yield the limits of a route that contradict each other."""
    timeout = view.place(Field.ROUTE_TIMEOUT, index)
    pause = route.longest_pause_s
    if route.timeout_s <= 0:
        yield Finding(timeout, f"{_ms(route.timeout_s)} is not above 0")
    if route.objective_s < 0:
        yield Finding(
            view.place(Field.ROUTE_OBJECTIVE, index), f"{_ms(route.objective_s)} is negative"
        )
    if pause is not None and pause < 0:
        yield Finding(view.place(Field.ROUTE_LONGEST_PAUSE, index), f"{_ms(pause)} is negative")
    if route.timeout_s < route.objective_s:
        objective = view.place(Field.ROUTE_OBJECTIVE, index)
        yield Finding(
            timeout,
            f"{_ms(route.timeout_s)} is under the {_ms(route.objective_s)} of {objective}",
        )
    if pause is not None and pause > route.timeout_s:
        yield Finding(
            view.place(Field.ROUTE_LONGEST_PAUSE, index),
            f"{_ms(pause)} is over the {_ms(route.timeout_s)} of {timeout}",
        )
    if route.attempts > 1 and not route.repeatable:
        yield Finding(
            view.place(Field.ROUTE_ATTEMPTS, index),
            f"{route.attempts} attempts on a route whose requests may run only once",
        )


def _hidden_routes(view: View, deployment: Deployment) -> Iterator[Finding]:
    """Yield the routes that a later one of the same host and prefix hides."""
    last: dict[tuple[str, str], int] = {}
    for index, route in enumerate(deployment.routes):
        last[route.host.lower(), route.prefix] = index
    for index, route in enumerate(deployment.routes):
        shown = last[route.host.lower(), route.prefix]
        if shown != index:
            hider = deployment.routes[shown].name
            yield Finding(
                view.place(Field.ROUTE_PREFIX, index),
                f"route {route.name!r} is hidden by {hider!r} of the same host and prefix at "
                f"{view.place(Field.ROUTE_PREFIX, shown)}",
            )


def _unused_services(view: View, deployment: Deployment) -> Iterable[Finding]:
    """Return the declared services that no route names."""
    named = {share.service for route in deployment.routes for share in route.shares}
    return [
        Finding(
            view.place(Field.SERVICE_NAME, index), f"no route names the service {service.name!r}"
        )
        for index, service in enumerate(view.services)
        if service.name not in named
    ]


def _ms(seconds: float) -> str:
    """Return a time as text, in the unit of the file."""
    return f"{seconds * 1000:.9g} ms"
