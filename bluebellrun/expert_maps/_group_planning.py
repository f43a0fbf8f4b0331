"""Plan a better map of a group and judge whether it is worth its copies."""

import time
from collections.abc import Sequence

import curio

from bluebellrun.expert_maps._group_demand import GroupDemand
from bluebellrun.placement import (
    Placement,
    PlanSettings,
    RequiredGainSettings,
    plan_placement,
    required_gain,
)
from bluebellrun.telemetry import get_logger

_log = get_logger("expert-maps")


async def plan_map(
    names: dict[str, str],
    demand: GroupDemand,
    current: Placement,
    slowness: Sequence[float],
    load: float,
) -> Placement | None:
    """Return a map that is worth a change, or none; other tasks run between the planning's steps.

    ``load`` is the used fraction of the group's slots, and ``names`` are those to log.
    """
    began = time.monotonic()
    experts = demand.experts
    bounds = PlanSettings(slots=experts.slots, max_new_experts=experts.most_new)
    steps = plan_placement(current, demand.by_layer(), slowness, bounds, demand.expected_by_layer())
    while True:
        try:
            next(steps)
        except StopIteration as done:
            plan = done.value
            break
        await curio.sleep(0)
    gain = plan.skew_before - plan.skew_after
    needed = required_gain(plan.copies, len(slowness), load, RequiredGainSettings())
    worthwhile = plan.copies > 0 and gain >= needed
    _log.info(
        "map planned",
        **names,
        skew_before=round(plan.skew_before, 3),
        skew_after=round(plan.skew_after, 3),
        copies=plan.copies,
        load=round(load, 2),
        worthwhile=worthwhile,
        took_ms=round(1000 * (time.monotonic() - began)),
    )
    return plan.placement if worthwhile else None
