"""Routing at the entry: which upstream a request is offered to."""

from bluebellrun.routing._backoff import LONGEST_BACKOFF_S, RequestedBackoff
from bluebellrun.routing._baselines import LeastRequestsRouting, RoundRobinRouting
from bluebellrun.routing._ejection import OutlierEjection
from bluebellrun.routing._expected_finish import ExpectedFinishRouting
from bluebellrun.routing._least_work import LeastWorkRouting, UnseenRequests, UpstreamWork
from bluebellrun.routing._lockstep import ranks_to_empty
from bluebellrun.routing._models import Candidate, RoutedWork, RoutingPolicy, UpstreamLoad
from bluebellrun.routing._registry import ROUTING_POLICIES, make_routing
from bluebellrun.routing._retry_budget import RetryBudget, RetrySettings
from bluebellrun.routing._send_budget import SendBudget, SendBudgetSettings

__all__ = [
    "LONGEST_BACKOFF_S",
    "ROUTING_POLICIES",
    "Candidate",
    "ExpectedFinishRouting",
    "LeastRequestsRouting",
    "LeastWorkRouting",
    "OutlierEjection",
    "RequestedBackoff",
    "RetryBudget",
    "RetrySettings",
    "RoundRobinRouting",
    "RoutedWork",
    "RoutingPolicy",
    "SendBudget",
    "SendBudgetSettings",
    "UnseenRequests",
    "UpstreamLoad",
    "UpstreamWork",
    "make_routing",
    "ranks_to_empty",
]
