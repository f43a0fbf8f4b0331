from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.routing import MAX_BACKOFF_S, RequestedBackoff


def test_an_upstream_gets_nothing_for_as_long_as_it_asked():
    backoff = RequestedBackoff()
    backoff.record("one", 1.5, 10.0)
    assert backoff.remaining_s("one", 10.0) == 1.5
    assert backoff.remaining_s("two", 10.0) == 0.0
    assert backoff.remaining_s("one", 11.5) == 0.0


def test_the_latest_end_holds_whatever_came_first():
    backoff = RequestedBackoff()
    backoff.record("one", 3.0, 10.0)
    backoff.record("one", 0.5, 11.0)
    assert backoff.remaining_s("one", 11.0) == 2.0


def test_a_time_without_end_is_bounded():
    backoff = RequestedBackoff()
    backoff.record("one", 1e12, 0.0)
    assert backoff.remaining_s("one", 0.0) == MAX_BACKOFF_S


def test_upstreams_that_are_gone_are_forgotten():
    backoff = RequestedBackoff()
    backoff.record("one", 3.0, 0.0)
    backoff.retain({"two"})
    assert backoff.remaining_s("one", 0.0) == 0.0


@given(st.lists(st.tuples(st.floats(0, 20), st.floats(0, 5)), max_size=20), st.floats(0, 30))
def test_nothing_is_sent_before_every_time_that_was_asked_for_is_over(asked, now):
    backoff = RequestedBackoff()
    for at, seconds in sorted(asked):
        if at <= now:
            backoff.record("one", seconds, at)
    ends = [at + seconds for at, seconds in asked if at <= now]
    assert (backoff.remaining_s("one", now) > 0.0) == any(end > now for end in ends)
