"""Load pattern: dozens of entries watch a store in which each other's registrations change."""

import pytest

from bluebellrun.deployment import Bounds
from bluebellrun.gateway._store_view import MIN_CHECK_FRACTION, watch_check_s, watch_timing
from bluebellrun.store import WatchTiming

CALL_S = 1.5
SMALL = Bounds(apply_s=2.0, calm_s=3.0)
LARGE = Bounds(apply_s=4.0, calm_s=5.0)


@pytest.mark.parametrize("bounds", [SMALL, Bounds(apply_s=3.0, calm_s=4.0), LARGE])
def test_a_silent_connection_is_found_before_a_change_is_overdue(bounds):
    timing = watch_timing(bounds, CALL_S)
    found_s = timing.wait_s + CALL_S
    assert found_s < bounds.calm_s + bounds.apply_s
    assert timing.gather_s <= 0.1 * bounds.apply_s


def test_a_watch_is_compared_with_the_store_only_after_its_calls_should_have_ended():
    timing = watch_timing(LARGE, CALL_S)
    shortest_s = MIN_CHECK_FRACTION * watch_check_s(timing, CALL_S)
    assert shortest_s >= timing.wait_s + CALL_S


def test_tight_bounds_leave_a_watch_its_least_wait():
    assert watch_timing(Bounds(apply_s=0.5, calm_s=0.5), CALL_S).wait_s == 1.0


def calls(timing: WatchTiming, changes: list[float], until_s: float) -> int:
    """Return the calls of one watch while changes come at these times."""
    now, made, waiting = 0.0, 0, list(changes)
    while now < until_s:
        made += 1
        come = [at for at in waiting if at <= now + timing.wait_s]
        if not come:
            now += timing.wait_s
            continue
        now = max(now, come[0])
        waiting = [at for at in waiting if at > now]
        now += timing.gather_s
    return made


def test_registrations_that_come_one_after_the_other_take_half_the_calls_or_fewer():
    changes = [10 + 0.11 * number for number in range(100)]
    before = calls(WatchTiming(), changes, 57.0)
    after = calls(watch_timing(LARGE, CALL_S), changes, 57.0)
    assert after <= before / 2, (before, after)
