"""Placement of experts on ranks: demand estimation, planning and safe changes. Pure."""

from bluebellrun.placement._change import (
    ArmMap,
    ChangeSettings,
    ClaimRank,
    HoldPass,
    MarginSettings,
    PlacementChange,
    PrepareMap,
    RankOrder,
    RankState,
    ReleasePass,
    margin_steps,
    release_held_passes,
)
from bluebellrun.placement._demand import (
    DemandEstimator,
    DemandSettings,
    RankCounts,
    demand_settings,
)
from bluebellrun.placement._maps import (
    Placement,
    copies_needed,
    default_placement,
    rank_loads,
    skew,
)
from bluebellrun.placement._mixtures import MixtureLibrary, MixtureSettings
from bluebellrun.placement._planner import PlacementPlan, PlanSettings, plan_placement
from bluebellrun.placement._step_times import StepTimes, StepTimesSettings
from bluebellrun.placement._worth import RequiredGainSettings, required_gain

__all__ = [
    "ArmMap",
    "ChangeSettings",
    "ClaimRank",
    "DemandEstimator",
    "DemandSettings",
    "HoldPass",
    "MarginSettings",
    "MixtureLibrary",
    "MixtureSettings",
    "Placement",
    "PlacementChange",
    "PlacementPlan",
    "PlanSettings",
    "PrepareMap",
    "RankCounts",
    "RankOrder",
    "RankState",
    "ReleasePass",
    "RequiredGainSettings",
    "StepTimes",
    "StepTimesSettings",
    "copies_needed",
    "default_placement",
    "demand_settings",
    "margin_steps",
    "plan_placement",
    "rank_loads",
    "release_held_passes",
    "required_gain",
    "skew",
]
