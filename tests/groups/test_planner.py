import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellrun.groups import (
    EMPTY,
    GroupShape,
    PlannerSettings,
    RankConditions,
    plan_map,
    static_map,
)

SHAPE = GroupShape(ranks=8, layers=2, experts=24, slots=4)
EAGER = PlannerSettings(weight_cost_s=0.0, max_weights=10_000, max_weights_per_rank=10_000)
HEALTHY = RankConditions(np.ones(8))


def skewed(seed: int, shape: GroupShape = SHAPE) -> np.ndarray:
    return np.random.default_rng(seed).lognormal(0, 1, (shape.layers, shape.experts))


def test_a_plan_reduces_the_skew_and_reports_its_weights():
    plan = plan_map(static_map(SHAPE), skewed(1), HEALTHY, EAGER)
    assert plan.skew_before > 1.5
    assert plan.skew_after < 1.15
    assert plan.expert_map is not None
    assert 0 < plan.weights < SHAPE.weights


def test_no_move_is_made_that_does_not_repay_its_cost():
    costly = PlannerSettings(weight_cost_s=1e6)
    plan = plan_map(static_map(SHAPE), skewed(1), HEALTHY, costly)
    assert plan.expert_map is None
    assert plan.weights == 0


def test_an_even_load_leaves_the_map_alone():
    even = np.ones((2, 24))
    start = plan_map(static_map(SHAPE), even, HEALTHY, EAGER).expert_map or static_map(SHAPE)
    jittered = even * np.random.default_rng(2).normal(1, 0.005, even.shape)
    settings = PlannerSettings(weight_cost_s=1.0, horizon_s=60.0, seconds_per_unit=0.01)
    assert plan_map(start, jittered, HEALTHY, settings).expert_map is None


def test_the_layer_with_most_gain_goes_first_when_weights_are_bounded():
    load = skewed(1)
    load[0] = 1.0
    load[1, 0] = 200.0
    bounded = PlannerSettings(weight_cost_s=0.0, max_weights=4, max_weights_per_rank=4)
    plan = plan_map(static_map(SHAPE), load, HEALTHY, bounded)
    changed = [not np.array_equal(a, b) for a, b in _layers(plan)]
    assert changed == [False, True]
    assert plan.weights <= 4


def _layers(plan):
    return zip(static_map(SHAPE).placement, plan.expert_map.placement, strict=True)


def test_a_drained_rank_holds_nothing_and_every_expert_stays_placed():
    conditions = RankConditions(np.ones(8), drained=(3,))
    plan = plan_map(static_map(SHAPE), skewed(1), conditions, EAGER)
    assert plan.expert_map is not None
    assert (plan.expert_map.placement[:, 3] == EMPTY).all()


def test_a_slow_rank_gets_less_load():
    slowness = np.ones(8)
    slowness[2] = 2.0
    plan = plan_map(static_map(SHAPE), skewed(1), RankConditions(slowness), EAGER)
    healthy_plan = plan_map(static_map(SHAPE), skewed(1), HEALTHY, EAGER)
    assert plan.expert_map is not None
    assert plan.expert_map.digest != healthy_plan.expert_map.digest
    assert plan.skew_after < 1.3


def test_replicas_of_an_expert_spread_over_failure_domains():
    shape = GroupShape(ranks=6, layers=1, experts=6, slots=2)
    load = np.array([[60.0, 10.0, 10.0, 10.0, 10.0, 10.0]])
    domains = ("a", "b", "c", "a", "b", "c")
    conditions = RankConditions(np.ones(6), failure_domains=domains)
    plan = plan_map(static_map(shape), load, conditions, EAGER)
    holders = np.flatnonzero((plan.expert_map.placement[0] == 0).any(axis=1))
    counts = [sum(domains[r] == name for r in holders) for name in "abc"]
    assert max(counts) - min(counts) <= 1


@settings(max_examples=40)
@given(st.integers(0, 10_000), st.integers(1, 40), st.integers(0, 7))
def test_any_plan_is_valid_within_bounds_and_no_worse(seed, bound, drained_rank):
    rules = PlannerSettings(weight_cost_s=0.01, max_weights=bound, max_weights_per_rank=5)
    drained_ranks = () if drained_rank == 7 else (drained_rank,)
    conditions = RankConditions(np.ones(8), drained_ranks)
    plan = plan_map(static_map(SHAPE), skewed(seed), conditions, rules)
    if not drained_ranks:
        assert plan.weights <= bound
        assert plan.skew_after <= plan.skew_before + 1e-9
        assert plan.gain_s >= plan.cost_s


def test_an_expert_heavier_than_a_rank_gets_as_many_ranks_as_it_needs():
    load = np.full((2, 24), 1.0)
    load[0, 3] = 60.0
    plan = plan_map(static_map(SHAPE), load, HEALTHY, EAGER)
    holders = (plan.expert_map.placement[0] == 3).any(axis=1).sum()
    assert holders >= 5
    assert plan.skew_after < 1.35
