"""Load patterns of an overload: more requests than places, of several urgencies."""

from bluebellrun.admission import SlotAdmission, SlotAdmissionSettings, SlotUsage

ADMISSION = SlotAdmission(SlotAdmissionSettings())
OBJECTIVE_S = 0.4


def admits(taken, priority=0, objective_s=OBJECTIVE_S, total=72, usual_s=1.5):
    return ADMISSION.admits(SlotUsage(total, taken, usual_s), priority, objective_s)


def test_nobody_is_refused_while_places_are_free():
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


def test_nothing_is_refused_before_it_is_known_how_long_requests_take():
    assert admits(500, usual_s=0.0)


def test_a_service_without_places_or_a_route_without_an_objective_is_not_judged():
    assert admits(5, total=0)
    assert admits(500, objective_s=0.0)


def test_refused_callers_come_back_when_the_queue_is_through():
    places = SlotUsage(72, 108, 1.5)
    assert 1.5 < ADMISSION.retry_after_s(places) < 3.0


def simulate(admission, overload, seconds=30.0, total=72, usual_s=1.5):
    """Return the share of requests whose wait is within their objective; places are served FIFO."""
    ends: list[float] = []
    rate = overload * total / usual_s
    in_time = asked = 0
    free_at = [0.0] * total
    for number in range(int(rate * seconds)):
        now = number / rate
        ends = [end for end in ends if end > now]
        asked += 1
        if admission is not None:
            places = SlotUsage(total, len(ends), usual_s)
            if not admission.admits(places, number % 3, OBJECTIVE_S):
                continue
        place = min(range(total), key=free_at.__getitem__)
        start = max(now, free_at[place])
        free_at[place] = start + usual_s
        ends.append(free_at[place])
        in_time += start - now <= OBJECTIVE_S * 0.7
    return in_time / asked


def test_an_overload_of_a_fifth_leaves_most_in_time_compared_with_letting_all_wait():
    assert simulate(None, 1.2) < 0.15
    assert simulate(ADMISSION, 1.2) > 0.75


def test_without_an_overload_nothing_changes():
    assert simulate(ADMISSION, 0.95) == simulate(None, 0.95) == 1.0
