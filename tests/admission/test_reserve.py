"""Load pattern: a burst of the least urgent work takes all slots of a group."""

import pytest

from bluebellrun.admission import ReserveSettings, UrgentReserve
from tests.stale_news import Group

# Requests a second; the slots serve 131.
TYPICAL = (42.0, 18.0, 58.0)
BURST = (42.0, 18.0, 140.0)


def with_reserve() -> Group:
    return Group(reserve=UrgentReserve(ReserveSettings()))


def test_urgent_work_finds_slots_in_a_burst_of_the_least_urgent():
    without, reserved = Group().play(BURST), with_reserve().play(BURST)
    assert reserved[0] > without[0], (without, reserved)
    assert reserved[1] > without[1] + 0.2, (without, reserved)
    assert reserved[0] > reserved[2] and reserved[1] > reserved[2]


def test_under_light_load_the_reserve_does_not_affect_the_least_urgent_requests():
    half = tuple(rate / 2 for rate in TYPICAL)
    assert with_reserve().play(half) == Group().play(half)


def test_nothing_is_reserved_where_all_work_is_equally_urgent():
    reserve = UrgentReserve(ReserveSettings())
    reserve.record(2, 0.0)
    assert reserve.slot_fraction(2) == 1.0
    reserve.record(0, 1.0)
    assert reserve.slot_fraction(2) == pytest.approx(0.9)
    assert reserve.slot_fraction(9) == 1.0 - ReserveSettings().max_fraction
    reserve.record(2, 5.0)
    assert reserve.slot_fraction(2) == pytest.approx(0.9)
    reserve.record(2, 1.0 + ReserveSettings().active_window_s + 0.1)
    assert reserve.slot_fraction(2) == 1.0
