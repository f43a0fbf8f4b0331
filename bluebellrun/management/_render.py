"""Plans as text."""

from bluebellrun.plans import Plan


def render_plan(plan: Plan) -> str:
    """Return a plan in lines an operator can read."""
    state = "confirmed" if plan.confirmed else f"good for {plan.good_for_s / 60:.0f} min"
    lines = [f"plan {plan.plan_id}: {plan.intent} ({state})"]
    lines += [f"  {change.describe()}" for change in plan.changes]
    if not plan.changes:
        lines.append("  nothing changes")
    lines += [f"  note: {note}" for note in plan.notes]
    if not plan.confirmed:
        lines.append(f"  put it in force with: bluebellrun-ctl confirm {plan.plan_id}")
    return "\n".join(lines)
