"""Load pattern: retries among new requests of the same route."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.admission import RetryDetector, RetryDetectorSettings, WaitingQueue

PATIENCE_S = 8.0
TIMEOUT_S = 8.0


def make():
    detector = RetryDetector(RetryDetectorSettings())
    random = Random(1)
    for _ in range(50):
        detector.is_retry("draft", random.uniform(0.85, 1.0) * PATIENCE_S, TIMEOUT_S)
    return detector


def test_who_has_waited_for_a_fifth_of_the_usual_patience_is_retrying():
    detector = make()
    assert detector.is_retry("draft", 0.78 * PATIENCE_S, TIMEOUT_S)
    assert not detector.is_retry("draft", 0.86 * PATIENCE_S, TIMEOUT_S)


def test_nothing_is_told_of_callers_that_do_not_say():
    detector = make()
    assert not detector.is_retry("draft", None, TIMEOUT_S)


def test_right_after_a_start_the_time_out_of_a_route_stands_for_the_usual_patience():
    detector = RetryDetector(RetryDetectorSettings())
    assert detector.is_retry("ledger", 0.5, 0.8)
    assert not detector.is_retry("ledger", 0.7, 0.8)


def test_a_caller_with_far_more_patience_than_others_does_not_make_them_old():
    detector = make()
    for _ in range(5):
        detector.is_retry("draft", 60.0, TIMEOUT_S)
    assert not detector.is_retry("draft", 0.86 * PATIENCE_S, TIMEOUT_S)


def test_routes_that_are_not_met_any_more_are_forgotten():
    detector = RetryDetector(RetryDetectorSettings(max_routes=2))
    for route in ("a", "b", "c"):
        detector.is_retry(route, 1.0, TIMEOUT_S)
    assert sorted(detector._timeouts_by_route) == ["b", "c"]


@given(st.floats(0.5, 60.0), st.integers(0, 1_000))
def test_in_a_storm_of_retries_no_new_request_is_taken_for_one(patience_s, seed):
    """Half of the callers come back, after a third of their time at most."""
    random, detector = Random(seed), RetryDetector(RetryDetectorSettings())
    found = 0
    for _ in range(400):
        said_s = random.uniform(0.85, 1.0) * patience_s
        assert not detector.is_retry("draft", said_s, 0.9 * patience_s)
        found += detector.is_retry("draft", said_s * random.uniform(0.67, 0.8), 0.9 * patience_s)
    assert found > 300


def test_the_most_urgent_go_first_and_among_them_who_came_first():
    line = WaitingQueue()
    bulk, first, second = line.join(2), line.join(0), line.join(0)
    assert [line.ahead_of(ticket) for ticket in (bulk, first, second)] == [2, 0, 1]
    line.leave(first)
    line.leave(first)
    assert [line.ahead_of(ticket) for ticket in (bulk, second)] == [1, 0]
