"""Load pattern: one rank becomes slow between two readings of the ranks' reports."""

from random import Random

from bluebellrun.placement import StepTimes, StepTimesSettings

READ_S = 0.12


def detection_times(steps_a_second, seed=1, until=6.0):
    """Read a group's step periodically; return the times at which longer steps were reported."""
    random, times = Random(seed), StepTimes(StepTimesSettings())
    step, now, detected = 0.0, 0.0, []
    while now < until:
        elapsed_s = READ_S * random.uniform(0.8, 1.2)
        now += elapsed_s
        step += steps_a_second(now) * elapsed_s
        if times.observe(int(step), now):
            detected.append(round(now, 2))
    return detected


def test_a_slow_rank_is_detected_within_half_a_second():
    for seed in range(5):
        detected = detection_times(lambda now: 18.0 if now < 3.0 else 5.0, seed)
        assert detected, seed
        assert 3.0 < detected[0] < 3.5, (seed, detected)


def test_it_is_reported_rarely_while_steps_stay_long():
    detected = detection_times(lambda now: 18.0 if now < 3.0 else 5.0)
    assert len(detected) <= 4


def test_a_constant_step_time_is_not_reported():
    for seed in range(5):
        assert detection_times(lambda now: 18.0, seed) == []


def test_a_group_that_formed_again_is_followed_from_its_new_start():
    times = StepTimes(StepTimesSettings())
    for turn in range(20):
        assert not times.observe(1000 + 2 * turn, turn * READ_S)
    assert not times.observe(2, 20 * READ_S)
    assert not times.observe(4, 21 * READ_S)


def test_a_group_that_never_steps_is_not_reported():
    times = StepTimes(StepTimesSettings())
    assert not any(times.observe(0, turn * READ_S) for turn in range(30))
