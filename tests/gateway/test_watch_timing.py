"""Load pattern: dozens of entries watch a store while each other's registrations change."""

import pytest

from bluebellrun.deployment import Bounds
from bluebellrun.gateway._store_view import MIN_CHECK_FRACTION, watch_check_s, watch_timing
from bluebellrun.store import WatchTiming

CALL_S = 1.5
SMALL = Bounds(apply_s=2.0, calm_s=3.0)
LARGE = Bounds(apply_s=4.0, calm_s=5.0)


@pytest.mark.parametrize("bounds", [SMALL, Bounds(apply_s=3.0, calm_s=4.0), LARGE])
def test_a_silent_connection_is_detected_before_a_change_is_overdue(bounds):
    timing = watch_timing(bounds, CALL_S)
    detection_s = timing.wait_s + CALL_S
    assert detection_s < bounds.calm_s + bounds.apply_s
    assert timing.batch_delay_s <= 0.1 * bounds.apply_s


def test_a_watch_is_compared_with_the_store_only_after_its_calls_should_have_ended():
    timing = watch_timing(LARGE, CALL_S)
    shortest_s = MIN_CHECK_FRACTION * watch_check_s(timing, CALL_S)
    assert shortest_s >= timing.wait_s + CALL_S


def test_tight_bounds_leave_a_watch_its_minimum_wait():
    assert watch_timing(Bounds(apply_s=0.5, calm_s=0.5), CALL_S).wait_s == 1.0


def calls(timing: WatchTiming, changes: list[float], until_s: float) -> int:
    """Return the number of calls of one watch while changes arrive at these times."""
    now, made, waiting = 0.0, 0, list(changes)
    while now < until_s:
        made += 1
        arrived = [at for at in waiting if at <= now + timing.wait_s]
        if not arrived:
            now += timing.wait_s
            continue
        now = max(now, arrived[0])
        waiting = [at for at in waiting if at > now]
        now += timing.batch_delay_s
    return made


def test_successive_registrations_take_at_most_half_the_calls():
    changes = [10 + 0.11 * number for number in range(100)]
    before = calls(WatchTiming(), changes, 57.0)
    after = calls(watch_timing(LARGE, CALL_S), changes, 57.0)
    assert after <= before / 2, (before, after)
