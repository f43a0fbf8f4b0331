"""Guards: all entries together send a cold upstream no more than its service bears (FAILBACK)."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.core import TokenBucket
from bluebellrun.routing import ColdBound, ColdSource, ColdStarts
from bluebellrun.routing._cold_starts import ARRIVAL_WINDOW_S, MIN_RATE_PER_S, NOTICE_S


@given(
    per_s=st.floats(0.1, 100.0),
    excess=st.floats(0.5, 4.0),
    slack=st.floats(0.0, 50.0),
    parts=st.lists(st.integers(1, 12), min_size=1, max_size=12),
)
def test_the_parts_of_a_divided_system_stay_within_half_of_the_bound(per_s, excess, slack, parts):
    bound = ColdBound(per_s, excess, slack)
    shares = [bound.share(part / sum(parts)) for part in parts]
    together = sum(burst + rate * ARRIVAL_WINDOW_S for rate, burst in filter(None, shares))
    assert together <= (per_s * excess + slack) / 2 + 1e-6
    assert all(burst >= 1.0 and rate >= MIN_RATE_PER_S for rate, burst in filter(None, shares))


@pytest.mark.parametrize(("per_s", "least"), [(1.0, 1.0), (2.0, 2.0), (20.0, 10.0)])
def test_entries_that_hear_each_other_get_most_of_the_rate(per_s, least):
    share = ColdBound(per_s, 1.5, 5.0).share(1.0)
    assert share is not None
    assert least <= share[0] <= per_s
    bucket = TokenBucket(*share, 0.0, empty=True)
    taken = [at / 50 for at in range(500) if bucket.try_acquire(at / 50)]
    busiest = max(sum(0 <= at - start < 1.0 for at in taken) for start in taken)
    assert busiest <= per_s * 1.5 + 5.0


def test_a_part_too_small_for_one_request_gets_none():
    assert ColdBound(2.0, 1.5, 5.0).share(1 / 12) is None
    assert ColdBound(2.0, 1.5, 5.0).share(0.0) is None


def test_the_longest_source_counts_and_only_news_is_reported():
    starts: ColdStarts[str] = ColdStarts()
    assert starts.is_empty
    assert starts.record("u", 8.0, ColdSource.REGISTRATION, 100.0)
    assert not starts.record("u", 3.0, ColdSource.EVACUATION_ENDED, 101.0)
    assert not starts.record("u", 7.1, ColdSource.ANSWER, 101.0)
    assert starts.left_s("u", 102.0) == pytest.approx(6.1)
    assert starts.record("u", 20.0, ColdSource.ANSWER, 103.0)
    assert starts.left_s("u", 122.9) > 0
    assert starts.left_s("u", 123.0) == 0.0


def test_reports_between_entries_do_not_prolong_each_other():
    starts: ColdStarts[str] = ColdStarts()
    starts.record("u", 8.0, ColdSource.ANSWER, 100.0)
    assert starts.reports(100.1) == [("u", pytest.approx(7.9))]
    assert starts.reports(100.0 + NOTICE_S) == []
    for step in range(20):
        starts.record("u", 8.0 - step * 0.1, ColdSource.OTHER_ENTRY, 100.2 + step * 0.1)
    assert starts.left_s("u", 100.0) == pytest.approx(8.0)
    # What another entry told is not told again by this one.
    starts.record("v", 8.0, ColdSource.OTHER_ENTRY, 100.0)
    assert [key for key, _ in starts.reports(100.1, whole=True)] == ["u"]


# Guards: an entry that started after an evacuation's end took the domain for warm.
def test_entries_that_start_later_are_told_of_all_cold_upstreams():
    starts: ColdStarts[str] = ColdStarts()
    starts.record("u", 8.0, ColdSource.EVACUATION_ENDED, 100.0)
    assert starts.reports(100.1) == []
    assert starts.reports(105.0, whole=True) == [("u", 3.0)]
    assert starts.reports(108.0, whole=True) == []


def test_an_unreachable_upstream_is_cold_until_it_is_reached():
    starts: ColdStarts[str] = ColdStarts()
    starts.record_unreachable("u", 100.0)
    assert starts.left_s("u", 900.0) == math.inf
    assert starts.record_reached("u")
    assert not starts.record_reached("u")
    assert starts.left_s("u", 900.0) == 0.0


def test_a_store_that_names_no_restart_clears_an_unreachable_upstream():
    starts: ColdStarts[str] = ColdStarts()
    starts.record_unreachable("u", 100.0)
    starts.expire(200.0, (), 8.0)
    starts.expire(107.0, {"u"}, 8.0)
    assert starts.left_s("u", 200.0) == math.inf
    starts.expire(108.0, {"u"}, 8.0)
    assert starts.is_empty
