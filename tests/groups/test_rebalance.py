import numpy as np
import pytest

from bluebellrun.groups import (
    ExpertReport,
    GroupShape,
    PlannerSettings,
    Rebalancer,
    RebalanceSettings,
    greedy_map,
    static_map,
)

SHAPE = GroupShape(ranks=16, layers=2, experts=64, slots=5)
PLANNER = PlannerSettings(weight_cost_s=0.001, max_weights=60, max_weights_per_rank=60)


def run_to_end(steps):
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


def report(number: int, shares: np.ndarray) -> ExpertReport:
    return ExpertReport("engine", number, 5.0 * number, 5.0 * number + 5.0, 1e6 * shares)


def mildly_skewed(seed: int) -> np.ndarray:
    return np.random.default_rng(seed).normal(1.0, 0.1, (2, 64))


def rebalancer(shares: np.ndarray, **settings) -> Rebalancer:
    built = Rebalancer(SHAPE, RebalanceSettings(planner=PLANNER, **settings))
    built.observe_report(report(0, shares))
    return built


def test_nothing_is_planned_before_the_first_report():
    built = Rebalancer(SHAPE, RebalanceSettings())
    assert not built.is_due(0.0, static_map(SHAPE))


def test_regular_plans_move_no_more_weights_than_the_hourly_limit():
    built = rebalancer(mildly_skewed(1), regular_target_skew=1.0, urgent_skew=2.0)
    current = static_map(SHAPE)
    moved = []
    for number in range(80):
        now = 60.0 * number
        built.observe_report(report(number + 1, mildly_skewed(number // 10)))
        plan = run_to_end(built.plan(now, current))
        if plan.expert_map is not None:
            current = plan.expert_map
            moved.append((now, plan.weights))
    hours = [sum(w for t, w in moved if start <= t < start + 3_600.0) for start, _ in moved]
    assert moved
    assert max(hours) <= 0.05 * SHAPE.weights


def test_a_jump_triggers_urgent_plans_until_one_stays_below_the_limit():
    shares = np.ones((2, 64))
    shares[:, :6] = 20.0
    built = rebalancer(shares)
    current = static_map(SHAPE)
    assert built.is_urgent(current)
    now = 0.0
    plans = 0
    while built.is_due(now, current) and plans < 10:
        plan = run_to_end(built.plan(now, current))
        current = plan.expert_map or current
        assert plan.weights <= PLANNER.max_weights
        plans += 1
        now += 5.0
    fresh = greedy_map(SHAPE, 2, shares)
    assert built.skew(current) < 1.05 * built.skew(fresh)


def test_a_straggler_lowers_the_weight_at_once_and_is_drained_by_the_next_plan():
    built = rebalancer(np.ones((2, 64)))
    times = np.full(16, 0.02)
    times[4] = 0.05
    for _ in range(3):
        built.observe_times(times, np.full(16, 100.0))
    assert built.weight == pytest.approx(0.4)
    assert built.is_urgent(static_map(SHAPE))
    plan = run_to_end(built.plan(100.0, static_map(SHAPE)))
    assert (plan.expert_map.placement[:, 4] == -1).all()


def test_a_drained_rank_stays_drained_until_its_probation_is_over():
    built = rebalancer(np.ones((2, 64)))
    times, loads = np.full(16, 0.02), np.full(16, 100.0)
    times[4] = 0.05
    for _ in range(3):
        built.observe_times(times, loads)
    plan = run_to_end(built.plan(0.0, static_map(SHAPE)))
    times[4], loads[4] = 0.001, 0.0
    for number in range(80):
        built.observe_times(times, loads)
        built.is_due(10.0 * number, plan.expert_map)
    assert built.stragglers == (4,)
    built.is_due(1_000.0, plan.expert_map)
    assert built.stragglers == ()


def test_a_request_brings_the_next_plan_forward():
    even = np.ones((2, 64))
    built = rebalancer(even)
    balanced = greedy_map(SHAPE, 2, even)
    run_to_end(built.plan(0.0, balanced))
    assert not built.is_due(10.0, balanced)
    built.request_plan()
    assert built.is_due(10.0, balanced)
