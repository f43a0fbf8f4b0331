"""Load pattern: maps change every second, so each pass of delay before a switch is lost."""

from random import Random

import pytest

from bluebellrun.placement import (
    ArmMap,
    ChangeSettings,
    HoldPass,
    MarginSettings,
    PlacementChange,
    StepTimes,
    StepTimesSettings,
    default_placement,
    margin_steps,
)
from standins.users_platform import ACCEPTED, FakeGroup

DEFAULTS = MarginSettings()
# Margins by group size alone: two passes plus one per 32 ranks.
SIZE_BASED_MARGINS = {12: 2, 129: 6}


@pytest.mark.parametrize(
    ("ranks", "arm_s", "step_s", "steps"),
    [
        (12, None, None, 2),
        (12, 0.04, 0.06, 2),
        (129, 0.2, 0.1, 3),
        (129, 0.2, 0.05, 5),
        (129, 0.5, 0.1, 6),
    ],
)
def test_a_map_is_armed_as_far_ahead_as_its_orders_take(ranks, arm_s, step_s, steps):
    assert margin_steps(ranks, arm_s, step_s, DEFAULTS) == steps


def test_a_host_that_was_unreachable_once_does_not_delay_the_next_maps():
    assert margin_steps(129, 4.0, 0.1, DEFAULTS) == margin_steps(
        129, DEFAULTS.max_arm_s, 0.1, DEFAULTS
    )


@pytest.mark.parametrize(("ranks", "order_s"), [(12, 0.0015), (129, 0.0015)])
def test_a_large_group_switches_sooner_than_by_its_size_alone_and_waits_for_no_order(
    ranks, order_s
):
    step_s = 0.1
    margin = margin_steps(ranks, None, step_s, DEFAULTS)
    assert margin <= SIZE_BASED_MARGINS[ranks]
    assert switch(ranks, order_s, step_s, margin) <= switch(
        ranks, order_s, step_s, SIZE_BASED_MARGINS[ranks]
    )
    assert margin * step_s >= ranks * order_s


def switch(ranks: int, order_s: float, step_s: float, margin: int) -> int:
    """Return the passes that a change takes after its copies, with orders sent one by one."""
    group = FakeGroup(ranks, Random(1))
    settings = ChangeSettings(margin_steps=margin, resend_s=60.0)
    change = PlacementChange(1001, default_placement(1, ranks, 2 * ranks), settings, 0.0)
    now, next_pass, begun, passes = 0.0, step_s, False, 0
    while not change.done:
        states = dict(group.states)
        for rank, order in change.decide(states, now):
            begun = begun or isinstance(order, HoldPass | ArmMap)
            assert group.send_order(rank, order, 1) == ACCEPTED
            states[rank] = change.state_after(states[rank], order, done=True)
            now += order_s if begun else 0.0
        now += 0.001
        while now >= next_pass:
            group.begin_pass()
            passes += begun
            next_pass += step_s
    assert not group.mixed
    return passes


def test_the_duration_of_a_pass_is_measured_from_reported_steps():
    times = StepTimes(StepTimesSettings())
    assert times.step_s is None
    for turn in range(10):
        times.observe(2 * turn, 0.2 * turn)
    assert times.step_s == pytest.approx(0.1)


def test_the_pass_to_hold_is_chosen_from_a_state_read_after_the_copies():
    group = FakeGroup(4, Random(1))
    change = PlacementChange(1001, default_placement(1, 4, 8), ChangeSettings(), 0.0)
    states = dict(group.states)
    for rank, order in change.decide(states, 0.0):
        group.send_order(rank, order, 1)
        states[rank] = change.state_after(states[rank], order, done=True)
    for _ in range(5):
        group.begin_pass()
    assert change.decide(states, 0.5) == []
    states[0] = group.states[0]
    ((rank, hold),) = change.decide(states, 0.5)
    assert group.send_order(rank, hold, 1) == ACCEPTED


def test_a_change_resumed_from_another_driver_reports_no_time_before_it_started():
    group = FakeGroup(4, Random(1))
    first = PlacementChange(1001, default_placement(1, 4, 8), ChangeSettings(), 0.0)
    states = dict(group.states)
    while not any(state.armed_step for state in group.states.values()):
        for rank, order in first.decide(states, 1.0):
            group.send_order(rank, order, 1)
            states[rank] = first.state_after(states[rank], order, done=True)
    step = next(state.armed_step for state in group.states.values() if state.armed_step)
    second = PlacementChange(1001, None, ChangeSettings(), 5.0)
    second.resume_armed(step)
    now = 5.0
    while not second.done:
        now += 0.1
        for rank, order in second.decide(dict(group.states), now):
            group.send_order(rank, order, 2)
        group.begin_pass()
    durations = second.durations(now)
    assert (durations.prepare_s, durations.arm_s >= 0, durations.switch_s >= 0) == (0.0, True, True)
    assert durations.arm_s + durations.switch_s == pytest.approx(now - 5.0)
