"""Plans as text."""

import json
import time
from collections.abc import Sequence

from bluebellrun.plans import Cost, Plan

MAX_LISTED = 20
GIGABYTE = 1_000_000_000


def render_plan(plan: Plan) -> str:
    """Return a plan in lines an operator can read."""
    lines = [f"plan {plan.plan_id}: {plan.intent} ({describe_state(plan)})"]
    if not plan.changes:
        lines.append("  nothing changes")
    lines += [f"  {change.describe()}" for change in plan.changes[:MAX_LISTED]]
    if len(plan.changes) > MAX_LISTED:
        lines.append(f"  and {len(plan.changes) - MAX_LISTED} more; see them with --output json")
    lines += [f"  step {number}: {step}" for number, step in enumerate(plan.steps, 1)]
    if plan.changes:
        lines += [f"  cost: {line}" for line in _render_cost(plan.cost)]
    rests = [f"{basis.kind} {basis.name}" for basis in plan.rests_on]
    if rests:
        lines.append(f"  rests on: the documents above, {_shorten(rests)}")
    lines += [f"  note: {note}" for note in plan.notes]
    if not plan.confirmed and plan.changes and not plan.withdrawn:
        lines.append(f"  put it in force with: bluebellrun-ctl confirm {plan.plan_id}")
    if plan.confirmed:
        lines.append(f"  take it back with: bluebellrun-ctl undo {plan.plan_id}")
    return "\n".join(lines)


def render_plans(plans: Sequence[Plan]) -> str:
    """Return a line for each plan."""
    if not plans:
        return "no plans are kept"
    return "\n".join(f"{plan.plan_id}  {describe_state(plan):<24} {plan.intent}" for plan in plans)


def describe_state(plan: Plan) -> str:
    """Return what became of a plan in a few words."""
    if plan.confirmed:
        by = f" by {plan.confirmed_by}" if plan.confirmed_by else ""
        return f"in force{by}, version {plan.confirmed_revision}"
    if plan.withdrawn:
        return "withdrawn"
    left_s = plan.created_at + plan.good_for_s - time.time()
    return f"good for {left_s / 60:.0f} min" if left_s > 0 else "no longer good"


def plans_json(plans: Sequence[Plan]) -> str:
    """Return plans as JSON."""
    return json.dumps([plan.model_dump(mode="json") for plan in plans], indent=2)


def _render_cost(cost: Cost) -> list[str]:
    """Return what a plan costs, one line each."""
    lines = []
    for item in cost.capacity:
        lost = f", {1 - item.meanwhile / item.before:.0%} lost meanwhile" if item.before else ""
        counts = f"{item.before} upstreams before, {item.after} after"
        lines.append(f"service {item.service}: {counts}{lost}")
    if cost.requests_affected is None:
        lines.append("requests in progress there: not known; name entries with --entry")
    elif cost.requests_affected:
        lines.append(f"requests in progress there: {cost.requests_affected}, which end in peace")
    if cost.weights_moved_bytes:
        lines.append(f"weights moved: at most {cost.weights_moved_bytes / GIGABYTE:.2f} GB")
    return lines or ["none"]


def _shorten(names: list[str]) -> str:
    """Return names in one line, the first few where there are many."""
    more = len(names) - MAX_LISTED
    return ", ".join(names[:MAX_LISTED]) + (f" and {more} more" if more > 0 else "")
