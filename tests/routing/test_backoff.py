from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.routing import MAX_BACKOFF_S, RequestedBackoff


def test_an_upstream_gets_no_requests_during_its_backoff():
    backoff = RequestedBackoff()
    backoff.record("one", 1.5, 10.0)
    assert backoff.remaining_s("one", 10.0) == 1.5
    assert backoff.remaining_s("two", 10.0) == 0.0
    assert backoff.remaining_s("one", 11.5) == 0.0


def test_the_latest_deadline_holds_whatever_the_order():
    backoff = RequestedBackoff()
    backoff.record("one", 3.0, 10.0)
    backoff.record("one", 0.5, 11.0)
    assert backoff.remaining_s("one", 11.0) == 2.0


def test_an_excessive_backoff_is_bounded():
    backoff = RequestedBackoff()
    backoff.record("one", 1e12, 0.0)
    assert backoff.remaining_s("one", 0.0) == MAX_BACKOFF_S


def test_departed_upstreams_are_forgotten():
    backoff = RequestedBackoff()
    backoff.record("one", 3.0, 0.0)
    backoff.retain({"two"})
    assert backoff.remaining_s("one", 0.0) == 0.0


@given(st.lists(st.tuples(st.floats(0, 20), st.floats(0, 5)), max_size=20), st.floats(0, 30))
def test_nothing_is_sent_before_every_requested_backoff_is_over(requested, now):
    backoff = RequestedBackoff()
    for at, seconds in sorted(requested):
        if at <= now:
            backoff.record("one", seconds, at)
    ends = [at + seconds for at, seconds in requested if at <= now]
    assert (backoff.remaining_s("one", now) > 0.0) == any(end > now for end in ends)
