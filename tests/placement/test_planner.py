"""Load patterns: skewed demand for experts, shifting demand, and a slow rank."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.placement import (
    PlanSettings,
    copies_needed,
    default_placement,
    plan_placement,
    skew,
)

LAYERS, RANKS, EXPERTS, SLOTS, MAX_NEW = 2, 6, 24, 6, 3
SETTINGS = PlanSettings(slots=SLOTS, max_new_experts=MAX_NEW)


def skewed_demand(random, layers=LAYERS, experts=EXPERTS, power=1.3):
    demand = []
    for _ in range(layers):
        layer = [1000 / (index + 1) ** power for index in range(experts)]
        random.shuffle(layer)
        demand.append(layer)
    return demand


def plan(current, demand, slowness=None, settings=SETTINGS, expected=()):
    steps = plan_placement(current, demand, slowness or [1.0] * current.ranks, settings, expected)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


def plan_until_done(current, demand, slowness=None, settings=SETTINGS, rounds=4):
    for _ in range(rounds):
        current = plan(current, demand, slowness, settings).placement
    return current


@given(st.integers(0, 10_000))
def test_a_plan_places_every_expert_within_the_bounds_of_a_change(seed):
    random = Random(seed)
    current = default_placement(LAYERS, RANKS, EXPERTS)
    for _ in range(3):
        result = plan(current, skewed_demand(random))
        for before, after in zip(current.layers, result.placement.layers, strict=True):
            assert set().union(*after) == set(range(EXPERTS))
            assert all(len(held) <= SLOTS for held in after)
            assert all(len(new - old) <= MAX_NEW for old, new in zip(before, after, strict=True))
        assert result.skew_after <= result.skew_before + 1e-9
        assert result.copies == copies_needed(current, result.placement)
        current = result.placement


def test_skewed_demand_is_balanced_better_than_by_the_default_placement():
    demand = skewed_demand(Random(7), layers=4, experts=72)
    settings = PlanSettings(slots=8, max_new_experts=3)
    initial = default_placement(4, 12, 72)
    planned = plan_until_done(initial, demand, settings=settings)
    even = [1.0] * 12
    assert skew(initial, demand, even) > 2.0
    assert skew(planned, demand, even) <= 1.2


def test_a_large_group_is_balanced_as_well_as_a_small_one():
    demand = skewed_demand(Random(7), layers=4, experts=252, power=0.65)
    settings = PlanSettings(slots=5, max_new_experts=2)
    initial = default_placement(4, 63, 252)
    planned = plan_until_done(initial, demand, settings=settings, rounds=2)
    even = [1.0] * 63
    assert skew(initial, demand, even) > 3.0
    assert skew(planned, demand, even) <= 1.2


def test_the_next_plans_follow_a_shift_of_demand():
    random = Random(3)
    even = [1.0] * 12
    settings = PlanSettings(slots=8, max_new_experts=3)
    current = default_placement(4, 12, 72)
    for _ in range(5):
        demand = skewed_demand(random, layers=4, experts=72)
        unplanned_skew = skew(current, demand, even)
        current = plan_until_done(current, demand, settings=settings, rounds=3)
        assert skew(current, demand, even) < 0.75 * unplanned_skew


def test_a_slow_rank_gets_less_load():
    demand = skewed_demand(Random(9), layers=1, experts=72)
    settings = PlanSettings(slots=8, max_new_experts=3)
    slowness = [2.0] + [1.0] * 11
    planned = plan_until_done(default_placement(1, 12, 72), demand, slowness, settings)
    even = plan_until_done(default_placement(1, 12, 72), demand, [1.0] * 12, settings)
    assert skew(planned, demand, slowness) < 0.8 * skew(even, demand, slowness)


def test_uniform_demand_causes_no_copies():
    current = default_placement(LAYERS, RANKS, EXPERTS)
    assert plan(current, [[5.0] * EXPERTS] * LAYERS).copies == 0


def test_zero_demand_causes_no_copies():
    current = default_placement(LAYERS, RANKS, EXPERTS)
    assert plan(current, [[0.0] * EXPERTS] * LAYERS).copies == 0


# Guards: a step that helps only an expected demand broke a bound, or made the present skew worse.
@given(st.integers(0, 10_000))
def test_a_plan_that_expects_other_demands_keeps_the_bounds_of_a_change(seed):
    random = Random(seed)
    current = default_placement(LAYERS, RANKS, EXPERTS)
    expected = [skewed_demand(random), skewed_demand(random)]
    for _ in range(3):
        demand = skewed_demand(random)
        result = plan(current, demand, expected=expected)
        for before, after in zip(current.layers, result.placement.layers, strict=True):
            assert set().union(*after) == set(range(EXPERTS))
            assert all(len(held) <= SLOTS for held in after)
            assert all(len(new - old) <= MAX_NEW for old, new in zip(before, after, strict=True))
        assert result.skew_after <= result.skew_before + 1e-9
        current = result.placement


# Guards: demand that shifts among some mixtures found a map that suits only the one before.
def test_a_map_planned_for_the_mixtures_that_return_is_less_bad_after_the_next_shift():
    random = Random(11)
    layers, experts, ranks = 4, 96, 24
    settings = PlanSettings(slots=5, max_new_experts=2)
    mixtures = [
        [[random.lognormvariate(0, 0.8) for _ in range(experts)] for _ in range(layers)]
        for _ in range(5)
    ]
    before_change, after_change, copies = [0.0, 0.0], [0.0, 0.0], [0, 0]
    for expects in (0, 1):
        current = default_placement(layers, ranks, experts)
        for turn in range(20):
            mixture = mixtures[turn % 5]
            others = [other for other in mixtures if other is not mixture]
            before_change[expects] += skew(current, mixture, [1.0] * ranks)
            planned = plan(current, mixture, settings=settings, expected=others if expects else ())
            current = planned.placement
            copies[expects] += planned.copies
            after_change[expects] += skew(current, mixture, [1.0] * ranks)
    assert before_change[1] < 0.9 * before_change[0]
    assert after_change[1] < 1.1 * after_change[0]
    assert copies[1] < 0.9 * copies[0]
