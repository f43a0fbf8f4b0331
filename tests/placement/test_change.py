from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.placement import (
    ArmMap,
    ChangeSettings,
    ClaimRank,
    HoldPass,
    PlacementChange,
    PrepareMap,
    ReleasePass,
    default_placement,
)
from standins.users_platform import ACCEPTED, FENCED, FakeGroup

TURN_S = 0.05
MAX_TURNS = 3_000


def new_map():
    return default_placement(1, 4, 8)


def drive(group, change, fence, turns, start=0.0):
    """Run a driver until its change ends; return its last turn, none if it was interrupted."""
    for turn in range(turns):
        states = dict(group.states)
        for rank, order in change.decide(states, start + turn * TURN_S):
            reply = group.send_order(rank, order, fence)
            if reply == FENCED:
                return None
            if reply == ACCEPTED:
                states[rank] = change.state_after(states[rank], order)
        if change.done or change.failed:
            return turn
        group.begin_pass()
    return None


def drive_with_partial_reads(group, change, turns, states=None):
    """Run a driver that reads only the ranks the change requests; return its last turn or none."""
    states = states if states is not None else dict(group.states)
    for turn in range(turns):
        for rank in change.ranks_to_read(states):
            states[rank] = group.states[rank]
        for rank, order in change.decide(states, turn * TURN_S):
            if group.send_order(rank, order, 1) == ACCEPTED:
                states[rank] = change.state_after(states[rank], order)
        if change.done or change.failed:
            return turn
        group.begin_pass()
    return None


@given(st.integers(0, 10_000), st.floats(0, 0.4), st.floats(0, 0.4))
def test_a_driver_that_reads_few_ranks_ends_its_changes_and_never_mixes_maps(seed, lost, late):
    random = Random(seed)
    group = FakeGroup(4, random, lost, late)
    for number in range(1, 4):
        change = PlacementChange(1000 + number, new_map(), ChangeSettings(), 0.0)
        assert drive_with_partial_reads(group, change, MAX_TURNS) is not None
        if change.done:
            assert {state.active for state in group.states.values()} == {1000 + number}
        for _ in range(random.randint(0, 80)):
            group.begin_pass()
    assert not group.mixed


def test_while_ranks_are_armed_only_the_one_that_holds_is_read():
    group = FakeGroup(8, Random(1))
    change = PlacementChange(1001, default_placement(1, 8, 16), ChangeSettings(), 0.0)
    states, reads = dict(group.states), 0
    while not change.done:
        requested = change.ranks_to_read(states)
        reads += len(requested)
        for rank in requested:
            states[rank] = group.states[rank]
        for rank, order in change.decide(states, 0.0):
            assert group.send_order(rank, order, 1) == ACCEPTED
            states[rank] = change.state_after(states[rank], order, done=True)
        group.begin_pass()
    assert reads <= 4 * 8


def test_a_change_reaches_all_ranks_without_blocking_the_group():
    group = FakeGroup(4, Random(1))
    change = PlacementChange(1001, new_map(), ChangeSettings(), 0.0)
    assert drive(group, change, 1, 100) is not None
    assert change.done
    assert {state.active for state in group.states.values()} == {1001}
    assert not group.mixed


def test_nothing_is_armed_before_a_pass_is_held():
    group = FakeGroup(3, Random(1))
    change = PlacementChange(1001, default_placement(1, 3, 6), ChangeSettings(), 0.0)
    kinds = []
    for turn in range(10):
        for rank, order in change.decide(dict(group.states), turn * TURN_S):
            kinds.append(type(order))
            group.send_order(rank, order, 1)
    first_arm = kinds.index(ArmMap)
    assert kinds[:3] == [PrepareMap] * 3
    assert HoldPass in kinds[:first_arm]
    assert ReleasePass not in kinds[:first_arm]


@pytest.mark.parametrize("rank", [0, 2])
def test_a_hold_left_over_at_a_far_pass_does_not_stop_a_change(rank):
    group = FakeGroup(4, Random(1))
    assert group.send_order(rank, HoldPass(500), 1) == ACCEPTED
    change = PlacementChange(1001, new_map(), ChangeSettings(), 0.0)
    assert drive(group, change, 1, 100) is not None
    assert change.done
    assert not group.mixed


def test_a_rank_that_cannot_prepare_ends_the_change_before_anything_is_held():
    group = FakeGroup(4, Random(1), lost=1.0)
    change = PlacementChange(1001, new_map(), ChangeSettings(prepare_timeout_s=1.0), 0.0)
    drive(group, change, 1, 200)
    assert change.failed
    assert all(state.held is None for state in group.states.values())


@given(st.integers(0, 10_000), st.floats(0, 0.4), st.floats(0, 0.4))
def test_lost_and_late_orders_never_mix_maps(seed, lost, late):
    random = Random(seed)
    group = FakeGroup(4, random, lost, late)
    for number in range(1, 4):
        change = PlacementChange(1000 + number, new_map(), ChangeSettings(), 0.0)
        drive(group, change, 1, MAX_TURNS)
        assert change.done or change.failed
        for _ in range(random.randint(0, 80)):
            group.begin_pass()
    assert not group.mixed


@given(st.integers(0, 10_000), st.integers(0, 40), st.floats(0, 0.3))
def test_another_driver_completes_a_change_whose_driver_died_at_any_turn(seed, stops_at, late):
    random = Random(seed)
    group = FakeGroup(4, random, late=late)
    drive(group, PlacementChange(1001, new_map(), ChangeSettings(), 0.0), 1, stops_at)
    for rank in range(4):
        while group.send_order(rank, ClaimRank(), 2) != ACCEPTED:
            group.begin_pass()
    armed = [state for state in group.states.values() if state.armed_step is not None]
    if armed:
        resumed = PlacementChange(armed[0].armed_version, None, ChangeSettings(), 0.0)
        resumed.resume_armed(armed[0].armed_step)
        assert drive(group, resumed, 2, MAX_TURNS) is not None
    for rank, state in group.states.items():
        while group.states[rank].held is not None:
            group.send_order(rank, ReleasePass(state.held), 2)
    change = PlacementChange(2001, new_map(), ChangeSettings(), 0.0)
    assert drive(group, change, 2, MAX_TURNS) is not None
    assert not group.mixed


def test_an_older_driver_is_refused_once_a_newer_one_has_claimed_the_ranks():
    group = FakeGroup(4, Random(3))
    for rank in range(4):
        group.send_order(rank, ClaimRank(), 2)
    change = PlacementChange(1001, new_map(), ChangeSettings(), 0.0)
    assert drive(group, change, 1, 10) is None
    assert all(state.prepared is None for state in group.states.values())


@pytest.mark.parametrize("turns", range(12))
def test_a_group_that_forms_again_during_a_change_starts_from_its_first_map(turns):
    group = FakeGroup(4, Random(5))
    drive(group, PlacementChange(1001, new_map(), ChangeSettings(), 0.0), 1, turns)
    group.form_again()
    assert drive(group, PlacementChange(1002, new_map(), ChangeSettings(), 0.0), 1, 100) is not None
    assert not group.mixed
