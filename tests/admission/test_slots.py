"""Load patterns of an overload: more requests than slots, of several priorities."""

from bluebellrun.admission import SlotAdmission, SlotAdmissionSettings, SlotUsage

ADMISSION = SlotAdmission(SlotAdmissionSettings())
OBJECTIVE_S = 0.4


def admits(taken, priority=0, objective_s=OBJECTIVE_S, total=72, typical_s=1.5):
    return ADMISSION.admits(SlotUsage(total, taken, typical_s), priority, objective_s)


def test_no_request_is_refused_while_slots_are_free():
    assert all(admits(71, priority) for priority in range(10))


def test_the_less_urgent_are_refused_first():
    refused_from = [
        next(taken for taken in range(72, 200) if not admits(taken, priority))
        for priority in range(3)
    ]
    assert refused_from == sorted(refused_from, reverse=True)
    assert len(set(refused_from)) == 3


def test_a_request_with_more_time_may_wait_longer():
    assert not admits(95, objective_s=0.4)
    assert admits(95, objective_s=2.0)


def test_nothing_is_refused_before_the_typical_duration_is_known():
    assert admits(500, typical_s=0.0)


def test_a_service_without_slots_or_a_route_without_an_objective_refuses_nothing():
    assert admits(5, total=0)
    assert admits(500, objective_s=0.0)


def test_refused_callers_retry_when_the_queue_has_drained():
    slots = SlotUsage(72, 108, 1.5)
    assert 1.5 < ADMISSION.retry_after_s(slots) < 3.0


def simulate(admission, overload, seconds=30.0, total=72, typical_s=1.5):
    """Return the share of requests whose wait is within their objective; slots are served FIFO."""
    ends: list[float] = []
    rate = overload * total / typical_s
    in_time = offered = 0
    free_at = [0.0] * total
    for number in range(int(rate * seconds)):
        now = number / rate
        ends = [end for end in ends if end > now]
        offered += 1
        if admission is not None:
            slots = SlotUsage(total, len(ends), typical_s)
            if not admission.admits(slots, number % 3, OBJECTIVE_S):
                continue
        slot = min(range(total), key=free_at.__getitem__)
        start = max(now, free_at[slot])
        free_at[slot] = start + typical_s
        ends.append(free_at[slot])
        in_time += start - now <= OBJECTIVE_S * 0.7
    return in_time / offered


def test_under_a_fifth_of_overload_refusing_keeps_most_requests_in_time():
    assert simulate(None, 1.2) < 0.15
    assert simulate(ADMISSION, 1.2) > 0.75


def test_without_overload_admission_changes_nothing():
    assert simulate(ADMISSION, 0.95) == simulate(None, 0.95) == 1.0
