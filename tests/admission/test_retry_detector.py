"""Load pattern: retries among new requests of the same route."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.admission import RetryDetector, RetryDetectorSettings, WaitingQueue

CALLER_TIMEOUT_S = 8.0
ROUTE_TIMEOUT_S = 8.0


def make():
    detector = RetryDetector(RetryDetectorSettings())
    random = Random(1)
    for _ in range(50):
        detector.is_retry("draft", random.uniform(0.85, 1.0) * CALLER_TIMEOUT_S, ROUTE_TIMEOUT_S)
    return detector


def test_a_caller_with_a_fifth_less_than_the_typical_timeout_is_retrying():
    detector = make()
    assert detector.is_retry("draft", 0.78 * CALLER_TIMEOUT_S, ROUTE_TIMEOUT_S)
    assert not detector.is_retry("draft", 0.86 * CALLER_TIMEOUT_S, ROUTE_TIMEOUT_S)


def test_callers_that_state_no_timeout_are_not_retries():
    detector = make()
    assert not detector.is_retry("draft", None, ROUTE_TIMEOUT_S)


def test_right_after_a_start_the_routes_timeout_is_taken_as_typical():
    detector = RetryDetector(RetryDetectorSettings())
    assert detector.is_retry("ledger", 0.5, 0.8)
    assert not detector.is_retry("ledger", 0.7, 0.8)


def test_a_far_longer_timeout_does_not_make_other_callers_retries():
    detector = make()
    for _ in range(5):
        detector.is_retry("draft", 60.0, ROUTE_TIMEOUT_S)
    assert not detector.is_retry("draft", 0.86 * CALLER_TIMEOUT_S, ROUTE_TIMEOUT_S)


def test_the_oldest_routes_are_dropped_beyond_the_maximum():
    detector = RetryDetector(RetryDetectorSettings(max_routes=2))
    for route in ("a", "b", "c"):
        detector.is_retry(route, 1.0, ROUTE_TIMEOUT_S)
    assert sorted(detector._timeouts_by_route) == ["b", "c"]


@given(st.floats(0.5, 60.0), st.integers(0, 1_000))
def test_in_a_storm_of_retries_no_new_request_is_taken_for_one(timeout_s, seed):
    """Half of the callers retry, after a third of their time at most."""
    random, detector = Random(seed), RetryDetector(RetryDetectorSettings())
    found = 0
    for _ in range(400):
        stated_s = random.uniform(0.85, 1.0) * timeout_s
        assert not detector.is_retry("draft", stated_s, 0.9 * timeout_s)
        found += detector.is_retry("draft", stated_s * random.uniform(0.67, 0.8), 0.9 * timeout_s)
    assert found > 300


def test_the_most_urgent_go_first_then_by_arrival():
    queue = WaitingQueue()
    bulk, first, second = queue.join(2), queue.join(0), queue.join(0)
    assert [queue.ahead_of(ticket) for ticket in (bulk, first, second)] == [2, 0, 1]
    queue.leave(first)
    queue.leave(first)
    assert [queue.ahead_of(ticket) for ticket in (bulk, second)] == [1, 0]
