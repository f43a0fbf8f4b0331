"""Intent, plan and confirmation: nothing changes before an operator confirms a plan."""

from bluebellrun.plans._exceptions import (
    PlanConflictError,
    PlanError,
    PlanExpiredError,
    PlanNotFoundError,
)
from bluebellrun.plans._models import Change, ChangeKind, Plan, decode_plan, encode_plan
from bluebellrun.plans._planner import apply_changes, compare_documents
from bluebellrun.plans._repository import PlanRepository, StoredConfiguration

__all__ = [
    "Change",
    "ChangeKind",
    "Plan",
    "PlanConflictError",
    "PlanError",
    "PlanExpiredError",
    "PlanNotFoundError",
    "PlanRepository",
    "StoredConfiguration",
    "apply_changes",
    "compare_documents",
    "decode_plan",
    "encode_plan",
]
