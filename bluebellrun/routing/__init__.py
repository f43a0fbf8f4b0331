"""Routing at the entry: which upstream a request is offered to."""

from bluebellrun.routing._baselines import LeastRequestsRouting, RoundRobinRouting
from bluebellrun.routing._expected_finish import ExpectedFinishRouting
from bluebellrun.routing._models import Candidate, RoutedWork, RoutingPolicy, UpstreamLoad
from bluebellrun.routing._registry import ROUTING_POLICIES, make_routing
from bluebellrun.routing._retry_budget import RetryBudget, RetrySettings

__all__ = [
    "ROUTING_POLICIES",
    "Candidate",
    "ExpectedFinishRouting",
    "LeastRequestsRouting",
    "RetryBudget",
    "RetrySettings",
    "RoundRobinRouting",
    "RoutedWork",
    "RoutingPolicy",
    "UpstreamLoad",
    "make_routing",
]
