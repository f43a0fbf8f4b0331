"""Plan changes of model version or role in steps that keep a minimum of capacity in service.

A step takes some groups out of service, changes them and returns them to service. Each step can be
reversed, so a plan can be stopped or rolled back between any two steps.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from bluebellrun.groups._exceptions import StepNotAllowedError
from bluebellrun.groups._models import ModelVersion, Role


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """A group to plan with; ``capacity`` is in tokens per second, 0 when out of service."""

    name: str
    serves: ModelVersion
    role: Role
    capacity: float


@dataclass(frozen=True, slots=True)
class CapacityFloors:
    """The minimum capacity, in tokens per second, kept in service for prefill and for decode.

    A group with the mixed role counts towards both.
    """

    prefill: float
    decode: float


@dataclass(frozen=True, slots=True)
class Setting:
    """The model version that a group serves, and its role."""

    serves: ModelVersion
    role: Role


@dataclass(frozen=True, slots=True)
class GroupShift:
    """The change of one group."""

    group: str
    before: Setting
    after: Setting

    def reversed(self) -> "GroupShift":
        """Return the change that undoes this one."""
        return GroupShift(self.group, self.after, self.before)


@dataclass(frozen=True, slots=True)
class ShiftStep:
    """Changes made at the same time, while the other groups serve the load."""

    changes: tuple[GroupShift, ...]

    def reversed(self) -> "ShiftStep":
        """Return the step that undoes this one."""
        return ShiftStep(tuple(change.reversed() for change in self.changes))


@dataclass(frozen=True, slots=True)
class ShiftPlan:
    """The steps of a shift, in the order in which they run."""

    steps: tuple[ShiftStep, ...]

    def reversed_after(self, done: int) -> "ShiftPlan":
        """Return the plan that undoes the first ``done`` steps.

        Raises ``StepNotAllowedError`` when the plan has fewer steps.
        """
        if not 0 <= done <= len(self.steps):
            raise StepNotAllowedError(f"{done} steps cannot be done; there are {len(self.steps)}")
        return ShiftPlan(tuple(step.reversed() for step in reversed(self.steps[:done])))


def plan_version_shift(
    groups: Sequence[ServingGroup], target: ModelVersion, floors: CapacityFloors
) -> ShiftPlan:
    """Return steps that change all groups of a model to a version.

    Raises ``StepNotAllowedError`` when no group serves the model or no order of steps keeps the
    floors.
    """
    targets = {
        group.name: Setting(target, group.role)
        for group in groups
        if group.serves.model == target.model
    }
    if not targets:
        raise StepNotAllowedError(f"no group serves model {target.model!r}")
    return plan_shift(groups, targets, floors)


def plan_shift(
    groups: Sequence[ServingGroup], targets: Mapping[str, Setting], floors: CapacityFloors
) -> ShiftPlan:
    """Return steps that change each group in ``targets`` to its setting.

    Raises ``StepNotAllowedError`` when a group is unknown or no order of steps keeps the floors.
    Only groups of the same model can take over each other's load.
    """
    present = {group.name: group for group in groups}
    unknown = sorted(set(targets) - set(present))
    if unknown:
        raise StepNotAllowedError(f"group {unknown[0]!r} is not known")
    steps = []
    remaining = [
        name for name in present if name in targets and _setting(present[name]) != targets[name]
    ]
    while remaining:
        chosen = _choose_groups(present, remaining, targets, floors)
        if not chosen:
            raise StepNotAllowedError(
                f"group {remaining[0]!r} cannot be taken out: "
                f"{_describe(present, remaining[0], floors)}; "
                "lower the floor or add capacity"
            )
        changes = tuple(GroupShift(name, _setting(present[name]), targets[name]) for name in chosen)
        steps.append(ShiftStep(changes))
        for name in chosen:
            present[name] = _changed(present[name], targets[name])
        remaining = [name for name in remaining if name not in chosen]
    return ShiftPlan(tuple(steps))


def check_step(groups: Sequence[ServingGroup], step: ShiftStep, floors: CapacityFloors) -> None:
    """Raise ``StepNotAllowedError`` unless a step keeps the floors with the present capacity."""
    present = {group.name: group for group in groups}
    names = [change.group for change in step.changes]
    models = {present[name].serves.model for name in names}
    if not _keeps_floors(present, models, names, floors):
        raise StepNotAllowedError(
            f"group {names[0]!r} cannot be taken out: {_describe(present, names[0], floors)}; "
            "wait until more serves"
        )


def _choose_groups(
    present: Mapping[str, ServingGroup],
    remaining: Iterable[str],
    targets: Mapping[str, Setting],
    floors: CapacityFloors,
) -> list[str]:
    """Return the groups to change in one step, adding the smallest first while floors hold."""
    chosen: list[str] = []
    after = dict(present)
    for name in sorted(remaining, key=lambda item: (present[item].capacity, item)):
        trial = after | {name: _changed(present[name], targets[name])}
        removed = [*chosen, name]
        models = {present[item].serves.model for item in removed}
        if _keeps_floors(present, models, removed, floors) and _keeps_floors(
            trial, models, [], floors
        ):
            chosen, after = removed, trial
    return chosen


def _keeps_floors(
    present: Mapping[str, ServingGroup],
    models: Iterable[str],
    removed: Sequence[str],
    floors: CapacityFloors,
) -> bool:
    """Return whether the floors hold for each model while some groups are out of service."""
    for model in models:
        prefill, decode = _capacity(present, model, removed)
        if prefill < floors.prefill or decode < floors.decode:
            return False
    return True


def _capacity(
    present: Mapping[str, ServingGroup], model: str, removed: Sequence[str]
) -> tuple[float, float]:
    """Return a model's prefill and decode capacity without some groups, in tokens per second."""
    serving = [
        group
        for group in present.values()
        if group.serves.model == model and group.name not in removed
    ]
    prefill = sum(group.capacity for group in serving if group.role is not Role.DECODE)
    decode = sum(group.capacity for group in serving if group.role is not Role.PREFILL)
    return prefill, decode


def _describe(present: Mapping[str, ServingGroup], name: str, floors: CapacityFloors) -> str:
    """Describe the capacity that remains without a group, and the floors."""
    prefill, decode = _capacity(present, present[name].serves.model, [name])
    return (
        f"prefill {prefill:g} and decode {decode:g} tokens/s would be left, "
        f"the floors are {floors.prefill:g} and {floors.decode:g}"
    )


def _setting(group: ServingGroup) -> Setting:
    """Return a group's present setting."""
    return Setting(group.serves, group.role)


def _changed(group: ServingGroup, setting: Setting) -> ServingGroup:
    """Return a group after its change."""
    return replace(group, serves=setting.serves, role=setting.role)
