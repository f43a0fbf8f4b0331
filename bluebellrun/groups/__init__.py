"""Model groups: ranks in lock-step on one expert map, and the decisions about them."""

from bluebellrun.groups._baselines import greedy_map
from bluebellrun.groups._exceptions import (
    GroupError,
    InvalidExpertMapError,
    InvalidGroupError,
    InvalidReportError,
    StepNotAllowedError,
)
from bluebellrun.groups._expert_map import (
    EMPTY,
    ExpertMap,
    count_replicas,
    rank_loads,
    static_map,
    weights_to_load,
)
from bluebellrun.groups._models import (
    Adapter,
    Expert,
    GroupShape,
    ModelGroup,
    ModelVersion,
    Rank,
    Role,
)
from bluebellrun.groups._planner import (
    MapPlan,
    PlannerSettings,
    RankConditions,
    plan_in_steps,
    plan_map,
)
from bluebellrun.groups._popularity import (
    ExpertReport,
    PopularityEstimator,
    PopularitySettings,
)
from bluebellrun.groups._stragglers import (
    Finding,
    HotRank,
    StragglerDetector,
    StragglerRank,
    StragglerSettings,
    group_weight,
    routing_weight,
)

__all__ = [
    "EMPTY",
    "Adapter",
    "Expert",
    "ExpertMap",
    "ExpertReport",
    "Finding",
    "GroupError",
    "GroupShape",
    "HotRank",
    "InvalidExpertMapError",
    "InvalidGroupError",
    "InvalidReportError",
    "MapPlan",
    "ModelGroup",
    "ModelVersion",
    "PlannerSettings",
    "PopularityEstimator",
    "PopularitySettings",
    "Rank",
    "RankConditions",
    "Role",
    "StepNotAllowedError",
    "StragglerDetector",
    "StragglerRank",
    "StragglerSettings",
    "count_replicas",
    "greedy_map",
    "group_weight",
    "plan_in_steps",
    "plan_map",
    "rank_loads",
    "routing_weight",
    "static_map",
    "weights_to_load",
]
