from dataclasses import replace

import pytest

from bluebellrun.admission import AdmissionSettings, FairAdmission, PriorityTarget, Work
from bluebellrun.admission._fair_queue import BURST_REQUESTS

RUN_S = 0.1


def make(limit: int = 1, waiting: int = 10_000, **bounds: bool) -> FairAdmission:
    return FairAdmission(AdmissionSettings(limit, waiting, learn_concurrency=False, **bounds))


def work(name: str, customer: str = "a", priority: int = 3, **fields: float) -> Work:
    return replace(Work(name, customer, priority, 0.0, 1e6, max_tokens=10), **fields)


def serve(admission: FairAdmission, starts: int, now: float = 0.0) -> list[Work]:
    """Run work one after the other, each for the same time."""
    served = []
    for _ in range(starts):
        started = admission.start_next(now)
        if started is None:
            break
        now += RUN_S
        admission.finish(started, 10, now)
        served.append(started)
    return served


def test_the_most_urgent_work_goes_first():
    admission = make()
    for name, priority in (("low", 6), ("top", 1), ("middle", 3)):
        assert admission.offer(work(name, priority=priority), 0.0) is None
    assert [item.attempt for item in serve(admission, 3)] == ["top", "middle", "low"]


@pytest.mark.parametrize("floor", [0.1, 0.25])
def test_a_flood_of_urgent_work_leaves_less_urgent_work_its_floor(floor):
    admission = make()
    admission.update_targets([PriorityTarget(6, 1e6, 1.0, floor)])
    for number in range(300):
        admission.offer(work(f"top{number}", priority=1), 0.0)
        admission.offer(work(f"low{number}", priority=6), 0.0)
    served = serve(admission, 200)
    low = sum(item.priority == 6 for item in served)
    assert low == pytest.approx(200 * floor, abs=1)
    assert all(item.engine_priority == 1 for item in served if item.priority == 6)


def test_an_unused_floor_is_lent_and_not_accumulated():
    admission = make()
    admission.update_targets([PriorityTarget(6, 1e6, 1.0, 0.5)])
    for number in range(300):
        admission.offer(work(f"top{number}", priority=1), 0.0)
    assert len(serve(admission, 100)) == 100
    for number in range(50):
        admission.offer(work(f"low{number}", priority=6), 0.0)
    low = sum(item.priority == 6 for item in serve(admission, 20))
    assert low == pytest.approx(10, abs=1)


def test_customers_of_one_priority_get_their_shares_whatever_their_demand():
    admission = make()
    for number in range(400):
        admission.offer(work(f"large{number}", "large", share=1.0), 0.0)
    for number in range(200):
        admission.offer(work(f"small{number}", "small", share=3.0), 0.0)
    small = sum(item.customer == "small" for item in serve(admission, 200))
    assert small == pytest.approx(150, abs=2)


def test_an_idle_customer_accumulates_at_most_one_burst():
    admission = make()
    for number in range(400):
        admission.offer(work(f"busy{number}", "busy"), 0.0)
    serve(admission, 300)
    for number in range(200):
        admission.offer(work(f"idle{number}", "idle"), 0.0)
    burst = int(BURST_REQUESTS)
    idle = sum(item.customer == "idle" for item in serve(admission, burst + 40))
    assert idle == pytest.approx(burst + 20, abs=1)


def test_usage_at_other_upstreams_counts_against_a_customers_share():
    admission = make()
    for number in range(200):
        admission.offer(work(f"wide{number}", "wide", served_elsewhere=10.0), 0.0)
        admission.offer(work(f"here{number}", "here"), 0.0)
    wide = sum(item.customer == "wide" for item in serve(admission, 90))
    assert wide < 35


def test_a_small_customers_request_passes_a_large_customers_queue():
    admission = make()
    for number in range(100):
        admission.offer(work(f"large{number}", "large"), 0.0)
    serve(admission, 10)
    admission.offer(work("small", "small"), 1.0)
    assert "small" in [item.attempt for item in serve(admission, 2, 1.0)]


def test_work_that_cannot_be_on_time_is_refused_on_arrival():
    admission = make()
    admission.offer(work("first"), 0.0)
    serve(admission, 1)
    for number in range(20):
        admission.offer(work(f"q{number}"), 1.0)
    admission.start_next(1.0)
    refusal = admission.offer(work("late", deadline=1.5), 1.0)
    assert refusal is not None
    assert refusal.retry_after_s is not None
    assert refusal.retry_after_s > 0
    assert admission.offer(work("patient", deadline=60.0), 1.0) is None


def test_a_missed_first_token_target_refuses_work_that_waits():
    admission = make()
    admission.update_targets([PriorityTarget(3, 2.0, 1.0)])
    admission.offer(work("runs"), 0.0)
    admission.start_next(0.0)
    assert admission.offer(work("waits"), 0.0) is None
    assert admission.expire(1.0) == []
    assert [item.work.attempt for item in admission.expire(2.0)] == ["waits"]


def test_a_full_queue_displaces_the_largest_customers_work_for_more_urgent_work():
    admission = make(waiting=3)
    admission.offer(work("runs"), 0.0)
    admission.start_next(0.0)
    for name, customer in (("l1", "large"), ("l2", "large"), ("s1", "small")):
        assert admission.offer(work(name, customer, 6), 0.0) is None
    assert admission.offer(work("urgent", "small", 1), 0.0) is None
    assert [item.work.attempt for item in admission.expire(0.0)] == ["l2"]
    assert admission.offer(work("lower", "other", 7), 0.0) is not None
    assert admission.waiting == 3


def test_urgent_work_starts_beyond_the_limit_only_where_the_engine_preempts():
    for preempts, started in ((False, None), (True, "urgent")):
        admission = make(engine_preempts=preempts)
        admission.offer(work("low", priority=6), 0.0)
        admission.start_next(0.0)
        admission.offer(work("urgent", priority=1), 0.0)
        found = admission.start_next(0.0)
        assert (found and found.attempt) == started
        admission.offer(work("more", priority=1), 0.0)
        assert admission.start_next(0.0) is None


def test_answer_lengths_are_learned_by_customer():
    admission = make()
    for number in range(50):
        admission.offer(work(f"s{number}", "short", max_tokens=100), 0.0)
        started = admission.start_next(0.0)
        assert started is not None
        admission.finish(started, 10, 1.0)
    admission.offer(work("next", "short", max_tokens=100), 1.0)
    assert admission.waiting_cost == pytest.approx(10, rel=0.1)
    admission.offer(work("other", "unknown", max_tokens=100), 1.0)
    assert admission.waiting_cost == pytest.approx(110, rel=0.1)


def test_usage_at_other_upstreams_counts_even_if_the_request_reporting_it_is_refused():
    admission = make()
    admission.offer(work("warm"), 0.0)
    serve(admission, 1)
    for number in range(100):
        admission.offer(work(f"here{number}", "here"), 0.0)
    late = work("late", "wide", deadline=-1.0, served_elsewhere=500.0)
    assert admission.offer(late, 0.0) is not None
    for number in range(100):
        admission.offer(work(f"wide{number}", "wide"), 0.0)
    served = serve(admission, 40)
    assert all(item.customer == "here" for item in served)


def test_an_urgency_without_a_document_has_the_targets_of_the_next_less_urgent_one():
    admission = make()
    admission.update_targets([PriorityTarget(6, 2.0, 1.0)])
    admission.offer(work("runs"), 0.0)
    admission.start_next(0.0)
    admission.offer(work("waits", priority=4), 0.0)
    assert [item.work.attempt for item in admission.expire(2.0)] == ["waits"]


def test_usage_while_capacity_was_free_is_not_charged():
    admission = make()
    for number in range(100):
        admission.offer(work(f"alone{number}", "large"), 0.0)
        serve(admission, 1)
    for number in range(40):
        admission.offer(work(f"large{number}", "large"), 0.0)
        admission.offer(work(f"small{number}", "small"), 0.0)
    small = sum(item.customer == "small" for item in serve(admission, 40))
    assert small == pytest.approx(20, abs=1)


@pytest.mark.parametrize(("elsewhere", "handed_back_at"), [(True, 0.45), (False, 0.9)])
def test_work_with_alternatives_is_refused_while_another_upstream_can_be_on_time(
    elsewhere, handed_back_at
):
    admission = make()
    admission.update_targets([PriorityTarget(3, 1.0, 1.0, 0.0)])
    admission.offer(work("first"), 0.0)
    admission.start_next(0.0)
    waiting = replace(work("second"), may_go_elsewhere=elsewhere)
    assert admission.offer(waiting, 0.0) is None
    assert admission.expire(handed_back_at - 0.01) == []
    refused = admission.expire(handed_back_at + 0.01)
    assert [item.work.attempt for item in refused] == ["second"]
    assert ("another upstream" in refused[0].reason) is elsewhere
