import numpy as np
import pytest

from bluebellrun.groups import (
    HotRank,
    StragglerDetector,
    StragglerRank,
    StragglerSettings,
    group_weight,
    routing_weight,
)

LOADS = np.linspace(80.0, 120.0, 16)


def observe(detector, slow=None, hot=None, times=10):
    rng = np.random.default_rng(1)
    for _ in range(times):
        loads = LOADS.copy()
        if hot is not None:
            loads[hot] = 300.0
        step = (0.01 + 0.0002 * loads) * rng.normal(1, 0.02, 16)
        if slow is not None:
            step[slow] *= 2.0
        detector.observe(step, loads)
    return step


def test_a_slow_rank_is_a_straggler():
    detector = StragglerDetector(16, StragglerSettings())
    observe(detector, slow=5)
    found = [f for f in detector.findings() if isinstance(f, StragglerRank)]
    assert [f.rank for f in found] == [5]
    assert found[0].slowness == pytest.approx(2.0, rel=0.1)


def test_a_rank_with_popular_experts_is_hot_and_no_straggler():
    detector = StragglerDetector(16, StragglerSettings())
    times = observe(detector, hot=5)
    assert detector.stragglers == ()
    assert [f.rank for f in detector.findings() if isinstance(f, HotRank)] == [5]
    assert group_weight(times, detector.stragglers) == 1.0


def test_one_slow_step_is_not_enough_and_a_healthy_rank_is_cleared():
    detector = StragglerDetector(16, StragglerSettings())
    observe(detector, slow=5, times=1)
    assert detector.stragglers == ()
    observe(detector, slow=5, times=5)
    assert detector.stragglers == (5,)
    observe(detector, times=4)
    assert detector.stragglers == ()


def test_a_rank_without_reports_keeps_its_state():
    detector = StragglerDetector(16, StragglerSettings())
    observe(detector, slow=5)
    times = 0.01 + 0.0002 * LOADS
    times[5] = np.nan
    for _ in range(10):
        detector.observe(times, LOADS)
    assert detector.stragglers == (5,)
    detector.forget(5)
    assert detector.stragglers == ()


def test_the_groups_weight_follows_its_straggler():
    times = np.full(16, 0.03)
    times[5] = 0.06
    assert group_weight(times, (5,)) == pytest.approx(0.5)
    assert routing_weight(0.0, 0.1) == 1.0
    assert routing_weight(100.0, 0.1) == 0.05
