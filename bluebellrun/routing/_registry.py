"""Routing policies by the name used in settings."""

from collections.abc import Callable
from random import Random

from bluebellrun.routing._baselines import LeastRequestsRouting, RoundRobinRouting
from bluebellrun.routing._expected_finish import ExpectedFinishRouting
from bluebellrun.routing._models import RoutingPolicy

ROUTING_POLICIES: dict[str, Callable[[Random, str], RoutingPolicy]] = {
    "expected-finish": ExpectedFinishRouting,
    "round-robin": RoundRobinRouting,
    "least-requests": LeastRequestsRouting,
}


def make_routing(name: str, random: Random, failure_domain: str) -> RoutingPolicy:
    """Return a new policy; raise ``ValueError`` that lists the names if it is not known."""
    maker = ROUTING_POLICIES.get(name)
    if maker is None:
        known = ", ".join(sorted(ROUTING_POLICIES))
        raise ValueError(f"routing policy {name!r} is not known; use one of {known}")
    return maker(random, failure_domain)
