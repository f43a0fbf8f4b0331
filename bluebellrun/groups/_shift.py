"""Plan the shift of a model version or of roles, in steps that keep a floor of capacity.

A step takes some groups out of service, changes them and brings them back. Each step has its
reverse, so that a plan can be left or turned round between any two steps.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from bluebellrun.groups._exceptions import StepNotAllowedError
from bluebellrun.groups._models import ModelVersion, Role


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """A group as a shift sees it. ``capacity`` is in tokens a second; 0 when out of service."""

    name: str
    serves: ModelVersion
    role: Role
    capacity: float


@dataclass(frozen=True, slots=True)
class CapacityFloors:
    """The least capacity, in tokens a second, that stays in service for each half of the work.

    A mixed group counts for both.
    """

    prefill: float
    decode: float


@dataclass(frozen=True, slots=True)
class Setting:
    """What a group serves, and in which role."""

    serves: ModelVersion
    role: Role


@dataclass(frozen=True, slots=True)
class GroupShift:
    """The change of one group."""

    group: str
    before: Setting
    after: Setting

    def reversed(self) -> "GroupShift":
        """Return the change back."""
        return GroupShift(self.group, self.after, self.before)


@dataclass(frozen=True, slots=True)
class ShiftStep:
    """Changes made at the same time, while the other groups carry the load."""

    changes: tuple[GroupShift, ...]

    def reversed(self) -> "ShiftStep":
        """Return the step back."""
        return ShiftStep(tuple(change.reversed() for change in self.changes))


@dataclass(frozen=True, slots=True)
class ShiftPlan:
    """Steps in order."""

    steps: tuple[ShiftStep, ...]

    def reversed_after(self, done: int) -> "ShiftPlan":
        """Return the steps back from the point where so many steps are done."""
        if not 0 <= done <= len(self.steps):
            raise StepNotAllowedError(f"{done} steps cannot be done; there are {len(self.steps)}")
        return ShiftPlan(tuple(step.reversed() for step in reversed(self.steps[:done])))


def plan_version_shift(
    groups: Sequence[ServingGroup], target: ModelVersion, floors: CapacityFloors
) -> ShiftPlan:
    """Return steps that bring all groups of a model to a version."""
    wanted = {
        group.name: Setting(target, group.role)
        for group in groups
        if group.serves.model == target.model
    }
    if not wanted:
        raise StepNotAllowedError(f"no group serves model {target.model!r}")
    return plan_shift(groups, wanted, floors)


def plan_shift(
    groups: Sequence[ServingGroup], wanted: Mapping[str, Setting], floors: CapacityFloors
) -> ShiftPlan:
    """Return steps that bring each named group to its setting.

    Raises ``StepNotAllowedError`` when no order of steps keeps the floors. Only groups of the
    same model carry each other's load.
    """
    present = {group.name: group for group in groups}
    unknown = sorted(set(wanted) - set(present))
    if unknown:
        raise StepNotAllowedError(f"group {unknown[0]!r} is not known")
    steps = []
    left = [name for name in present if name in wanted and _setting(present[name]) != wanted[name]]
    while left:
        chosen = _choose(present, left, wanted, floors)
        if not chosen:
            raise StepNotAllowedError(
                f"group {left[0]!r} cannot be taken out: {_describe(present, left[0], floors)}; "
                "lower the floor or add capacity"
            )
        changes = tuple(GroupShift(name, _setting(present[name]), wanted[name]) for name in chosen)
        steps.append(ShiftStep(changes))
        for name in chosen:
            present[name] = _changed(present[name], wanted[name])
        left = [name for name in left if name not in chosen]
    return ShiftPlan(tuple(steps))


def check_step(groups: Sequence[ServingGroup], step: ShiftStep, floors: CapacityFloors) -> None:
    """Raise ``StepNotAllowedError`` unless a step keeps the floors with what serves now."""
    present = {group.name: group for group in groups}
    names = [change.group for change in step.changes]
    models = {present[name].serves.model for name in names}
    if not _holds(present, models, names, floors):
        raise StepNotAllowedError(
            f"group {names[0]!r} cannot be taken out: {_describe(present, names[0], floors)}; "
            "wait until more serves"
        )


def _choose(
    present: Mapping[str, ServingGroup],
    left: Iterable[str],
    wanted: Mapping[str, Setting],
    floors: CapacityFloors,
) -> list[str]:
    """Return as many groups as can be changed at once, the smallest first."""
    chosen: list[str] = []
    after = dict(present)
    for name in sorted(left, key=lambda item: (present[item].capacity, item)):
        trial = after | {name: _changed(present[name], wanted[name])}
        out = [*chosen, name]
        models = {present[item].serves.model for item in out}
        if _holds(present, models, out, floors) and _holds(trial, models, [], floors):
            chosen, after = out, trial
    return chosen


def _holds(
    present: Mapping[str, ServingGroup],
    models: Iterable[str],
    out: Sequence[str],
    floors: CapacityFloors,
) -> bool:
    """Return whether the floors hold for each model while some groups are out."""
    for model in models:
        prefill, decode = _capacity(present, model, out)
        if prefill < floors.prefill or decode < floors.decode:
            return False
    return True


def _capacity(
    present: Mapping[str, ServingGroup], model: str, out: Sequence[str]
) -> tuple[float, float]:
    """Return what serves a model without some groups: prefill and decode, in tokens a second."""
    serving = [
        group for group in present.values() if group.serves.model == model and group.name not in out
    ]
    prefill = sum(group.capacity for group in serving if group.role is not Role.DECODE)
    decode = sum(group.capacity for group in serving if group.role is not Role.PREFILL)
    return prefill, decode


def _describe(present: Mapping[str, ServingGroup], name: str, floors: CapacityFloors) -> str:
    """Return what would be left without a group, in words."""
    prefill, decode = _capacity(present, present[name].serves.model, [name])
    return (
        f"prefill {prefill:g} and decode {decode:g} tokens/s would be left, "
        f"the floors are {floors.prefill:g} and {floors.decode:g}"
    )


def _setting(group: ServingGroup) -> Setting:
    """Return what a group serves and in which role."""
    return Setting(group.serves, group.role)


def _changed(group: ServingGroup, setting: Setting) -> ServingGroup:
    """Return a group after its change."""
    return replace(group, serves=setting.serves, role=setting.role)
