"""Routing at the entry: which upstream a request is offered to."""

from bluebellrun.routing._attempt_budget import AttemptBudget, AttemptBudgetSettings
from bluebellrun.routing._backoff import MAX_BACKOFF_S, RequestedBackoff
from bluebellrun.routing._baselines import LeastRequestsRouting, RoundRobinRouting
from bluebellrun.routing._cold_starts import ColdBound, ColdSource, ColdStarts
from bluebellrun.routing._ejection import OutlierEjection
from bluebellrun.routing._expected_finish import ExpectedFinishRouting
from bluebellrun.routing._group_choice import GroupChoice, GroupWork, PassTerms, choose_group
from bluebellrun.routing._group_keys import GroupKey, group_key, group_label
from bluebellrun.routing._group_table import GroupMembers, GroupTable
from bluebellrun.routing._least_work import LeastWorkRouting, UnreportedRequests, UpstreamWork
from bluebellrun.routing._lockstep import ranks_to_drain
from bluebellrun.routing._models import Candidate, RoutedWork, RoutingPolicy, UpstreamLoad
from bluebellrun.routing._registry import ROUTING_POLICIES, make_routing
from bluebellrun.routing._requested_limits import LimitObservation, RequestedLimits
from bluebellrun.routing._retry_budget import RetryBudget, RetrySettings

__all__ = [
    "MAX_BACKOFF_S",
    "ROUTING_POLICIES",
    "AttemptBudget",
    "AttemptBudgetSettings",
    "Candidate",
    "ColdBound",
    "ColdSource",
    "ColdStarts",
    "ExpectedFinishRouting",
    "GroupChoice",
    "GroupKey",
    "GroupMembers",
    "GroupTable",
    "GroupWork",
    "LeastRequestsRouting",
    "LeastWorkRouting",
    "LimitObservation",
    "OutlierEjection",
    "PassTerms",
    "RequestedBackoff",
    "RequestedLimits",
    "RetryBudget",
    "RetrySettings",
    "RoundRobinRouting",
    "RoutedWork",
    "RoutingPolicy",
    "UnreportedRequests",
    "UpstreamLoad",
    "UpstreamWork",
    "choose_group",
    "group_key",
    "group_label",
    "make_routing",
    "ranks_to_drain",
]
