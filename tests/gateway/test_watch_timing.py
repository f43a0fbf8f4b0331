"""Load pattern: dozens of entries watch a store while each other's registrations change."""

import pytest

from bluebellrun.deployment import Bounds
from bluebellrun.gateway._store_view import MIN_CHECK_FRACTION, watch_check_s, watch_timing
from bluebellrun.store import WatchTiming
from bluebellrun.store._backoff import INITIAL_PAUSE_S

# The longest first pause after a failure, and an answer of a slow store.
MAX_FIRST_PAUSE_S = 1.5 * INITIAL_PAUSE_S
SLOW_ANSWER_S = 0.33
SMALL = Bounds(apply_s=2.0, calm_s=3.0)
LARGE = Bounds(apply_s=4.0, calm_s=5.0)


# Guards: a change whose answer was lost was read only after it had to be in force.
@pytest.mark.parametrize("bounds", [SMALL, Bounds(apply_s=3.0, calm_s=4.0), LARGE])
def test_a_lost_answer_is_detected_before_the_change_is_overdue(bounds):
    timing = watch_timing(bounds)
    assert timing.call_s + MAX_FIRST_PAUSE_S + SLOW_ANSWER_S < bounds.calm_s
    assert timing.answer_s > SLOW_ANSWER_S
    assert timing.batch_delay_s <= 0.1 * bounds.apply_s


def test_a_watch_is_compared_with_the_store_only_after_its_calls_should_have_ended():
    timing = watch_timing(LARGE)
    shortest_s = MIN_CHECK_FRACTION * watch_check_s(timing)
    assert shortest_s >= timing.call_s


def test_tight_bounds_leave_a_watch_its_minimum_wait():
    assert watch_timing(Bounds(apply_s=0.5, calm_s=0.5)).wait_s == 1.0


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
    after = calls(watch_timing(LARGE), changes, 57.0)
    assert after <= before / 2, (before, after)
