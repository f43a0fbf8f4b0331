import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.groups import (
    CapacityFloors,
    ModelVersion,
    Role,
    ServingGroup,
    Setting,
    StepNotAllowedError,
    check_step,
    plan_shift,
    plan_version_shift,
)

OLD = ModelVersion("draft-large", "v1")
NEW = ModelVersion("draft-large", "v2")


def group(name: str, capacity: float = 100.0, role: Role = Role.MIXED) -> ServingGroup:
    return ServingGroup(name, OLD, role, capacity)


def capacity(groups, role_out, without):
    return sum(g.capacity for g in groups if g.role is not role_out and g.name not in without)


def test_a_version_shift_keeps_the_floor_in_service():
    groups = [group(f"g{n}") for n in range(4)]
    plan = plan_version_shift(groups, NEW, CapacityFloors(200.0, 200.0))
    assert [len(step.changes) for step in plan.steps] == [2, 2]


def test_a_floor_that_cannot_be_kept_is_refused_with_its_figures():
    groups = [group("g0"), group("g1")]
    with pytest.raises(StepNotAllowedError, match=r"prefill 100 and decode 100 .* are 150 and 150"):
        plan_version_shift(groups, NEW, CapacityFloors(150.0, 150.0))


def test_roles_change_in_an_order_that_keeps_both_floors():
    groups = [
        group("a", role=Role.PREFILL),
        group("b", role=Role.PREFILL),
        group("c", role=Role.DECODE),
        group("d", role=Role.MIXED),
    ]
    targets = {"b": Setting(OLD, Role.DECODE), "c": Setting(OLD, Role.PREFILL)}
    plan = plan_shift(groups, targets, CapacityFloors(300.0, 100.0))
    assert [change.group for step in plan.steps for change in step.changes] == ["c", "b"]


def test_a_plan_can_be_reversed_after_any_step():
    groups = [group(f"g{n}") for n in range(3)]
    plan = plan_version_shift(groups, NEW, CapacityFloors(200.0, 200.0))
    back = plan.reversed_after(2)
    assert [step.changes[0].group for step in back.steps] == ["g1", "g0"]
    assert back.steps[0].changes[0].after == Setting(OLD, Role.MIXED)
    with pytest.raises(StepNotAllowedError):
        plan.reversed_after(4)


def test_a_step_is_refused_when_less_serves_than_was_planned():
    groups = [group("g0"), group("g1"), group("g2")]
    floors = CapacityFloors(200.0, 200.0)
    step = plan_version_shift(groups, NEW, floors).steps[0]
    check_step(groups, step, floors)
    with pytest.raises(StepNotAllowedError, match="wait"):
        check_step([groups[0], groups[1], group("g2", 0.0)], step, floors)


def test_an_unknown_group_and_model_are_refused():
    with pytest.raises(StepNotAllowedError, match="'x' is not known"):
        plan_shift([group("g0")], {"x": Setting(NEW, Role.MIXED)}, CapacityFloors(0, 0))
    with pytest.raises(StepNotAllowedError, match="no group serves"):
        plan_version_shift([group("g0")], ModelVersion("other", "v"), CapacityFloors(0, 0))


@given(
    st.lists(st.tuples(st.integers(1, 9), st.sampled_from(Role)), min_size=1, max_size=7),
    st.lists(st.sampled_from(Role), min_size=7, max_size=7),
    st.integers(0, 20),
)
def test_no_step_forward_or_back_goes_below_a_floor(sizes, roles, floor):
    floors = CapacityFloors(floor, floor)
    groups = [group(f"g{n}", float(size), role) for n, (size, role) in enumerate(sizes)]
    targets = {g.name: Setting(NEW, role) for g, role in zip(groups, roles, strict=False)}
    try:
        plan = plan_shift(groups, targets, floors)
    except StepNotAllowedError:
        return
    for step in [*plan.steps, *plan.reversed_after(len(plan.steps)).steps]:
        changing = {change.group: change for change in step.changes}
        assert capacity(groups, Role.DECODE, changing) >= floor
        assert capacity(groups, Role.PREFILL, changing) >= floor
        groups = [
            ServingGroup(
                g.name, changing[g.name].after.serves, changing[g.name].after.role, g.capacity
            )
            if g.name in changing
            else g
            for g in groups
        ]
    assert all(g.serves == OLD for g in groups)
