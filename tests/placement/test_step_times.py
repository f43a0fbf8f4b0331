"""Load pattern: one rank turns slow between two readings of what the ranks say of themselves."""

from random import Random

from bluebellrun.placement import StepTimes, StepTimesSettings

READ_S = 0.12


def noticed(steps_a_second, seed=1, until=6.0):
    """Read a group's step now and then; return when steps were said to be longer."""
    random, times = Random(seed), StepTimes(StepTimesSettings())
    step, now, said = 0.0, 0.0, []
    while now < until:
        passed = READ_S * random.uniform(0.8, 1.2)
        now += passed
        step += steps_a_second(now) * passed
        if times.observe(int(step), now):
            said.append(round(now, 2))
    return said


def test_a_slow_rank_is_noticed_within_half_a_second():
    for seed in range(5):
        said = noticed(lambda now: 18.0 if now < 3.0 else 5.0, seed)
        assert said, seed
        assert 3.0 < said[0] < 3.5, (seed, said)


def test_it_is_said_seldom_while_steps_stay_long():
    said = noticed(lambda now: 18.0 if now < 3.0 else 5.0)
    assert len(said) <= 4


def test_an_even_load_is_not_noticed():
    for seed in range(5):
        assert noticed(lambda now: 18.0, seed) == []


def test_a_group_that_formed_again_is_followed_from_its_new_start():
    times = StepTimes(StepTimesSettings())
    for turn in range(20):
        assert not times.observe(1000 + 2 * turn, turn * READ_S)
    assert not times.observe(2, 20 * READ_S)
    assert not times.observe(4, 21 * READ_S)


def test_a_group_that_rests_and_one_that_never_stepped_are_no_error():
    times = StepTimes(StepTimesSettings())
    assert not any(times.observe(0, turn * READ_S) for turn in range(30))
