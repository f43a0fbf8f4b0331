"""Groups of one service whose expert maps fit differently well: passes of one are late."""

import pytest

from bluebellrun.admission import GroupPauses, GroupPauseSettings, PauseLimit, PauseSettings
from bluebellrun.routing import GroupMembers, GroupTable

FIXED_S, WRITERS_S, MAX_PAUSE_S = 0.034, 0.030, 0.120
EVEN, SKEWED = 1.2, 3.2
A, B = ("a", ""), ("b", "")


def table_of(*names: str) -> GroupTable:
    table = GroupTable()
    table.replace("s", [GroupMembers(name, 1, 1, frozenset([name + "0"])) for name in names])
    return table


def pass_s(load: float, skew: float) -> float:
    """Return how long a pass takes, with some prompt reading."""
    return FIXED_S + (WRITERS_S + 0.012) * load * (0.15 + 0.85 * skew)


def run(pauses: GroupPauses, loads: dict[str, float], skews: dict[str, float], since: float):
    """Observe the pauses of two seconds of passes; groups use what they may of their load."""
    for step in range(200):
        now = since + step / 100
        for name, load in loads.items():
            used = min(load, pauses.group_fraction((name, ""), now))
            pause_s = pass_s(used, skews[name])
            pauses.observe(pause_s, MAX_PAUSE_S, lambda used=used: used, now, name + "0")
    return since + 2.0


# Guards: the slowest passes of one group bounded the slots of all.
def test_a_group_on_a_bad_map_is_bounded_alone_until_its_passes_are_in_time():
    pauses = GroupPauses(GroupPauseSettings(), FIXED_S, "s", table_of("a", "b"))
    skews = {"a": EVEN, "b": SKEWED}
    now = run(pauses, {"a": 1.0, "b": 1.0}, skews, 0.0)
    assert pauses.group_fraction(A, now) == 1.0
    fraction = pauses.group_fraction(B, now)
    assert 0.3 < fraction < 0.75
    assert pass_s(fraction, SKEWED) <= MAX_PAUSE_S
    assert pauses.slot_fraction(MAX_PAUSE_S, now) == 1.0


# Guards: a bound that outlasts the bad map leaves the group's slots unused.
def test_the_bound_ends_soon_after_the_map_fits_again():
    pauses = GroupPauses(GroupPauseSettings(), FIXED_S, "s", table_of("a", "b"))
    now = run(pauses, {"b": 1.0}, {"b": SKEWED}, 0.0)
    assert pauses.group_fraction(B, now) < 1.0
    now = run(pauses, {"b": 1.0}, {"b": EVEN}, now)
    now = run(pauses, {"b": 1.0}, {"b": EVEN}, now)
    assert pauses.group_fraction(B, now) == 1.0


# Guards: passes of three times the longest pause were ignored as an outage, and nothing bounded.
def test_passes_of_several_times_the_longest_pause_bound_the_group():
    pauses = GroupPauses(GroupPauseSettings(), FIXED_S, "s", table_of("a", "b"))
    for step in range(200):
        pauses.observe(0.4, MAX_PAUSE_S, lambda: 1.0, step / 100, "b0")
    assert pauses.group_fraction(B, 2.0) == pytest.approx(0.219, abs=0.02)


# Guards: one held pass during a change of the map bounded the group for seconds.
def test_one_pass_held_for_a_change_of_the_map_is_no_growth():
    pauses = GroupPauses(GroupPauseSettings(), FIXED_S, "s", table_of("a", "b"))
    for step in range(40):
        pause_s = 0.3 if step == 20 else 0.08
        pauses.observe(pause_s, MAX_PAUSE_S, lambda: 0.9, step / 10, "b0")
    assert pauses.group_fraction(B, 4.0) == 1.0


# Guards: deployments with one group are served as before.
def test_without_groups_it_is_one_limit():
    pauses = GroupPauses(GroupPauseSettings(), FIXED_S, "s", GroupTable())
    single = PauseLimit(PauseSettings(), FIXED_S)
    for step in range(400):
        now, pause_s = step / 50, pass_s(0.9, SKEWED if step % 200 < 100 else EVEN)
        assert pauses.observe(pause_s, MAX_PAUSE_S, lambda: 0.9, now, "a0") == single.observe(
            pause_s, MAX_PAUSE_S, lambda: 0.9, now
        )
        assert pauses.slot_fraction(MAX_PAUSE_S, now) == single.slot_fraction(MAX_PAUSE_S, now)
        assert pauses.group_fraction(A, now) == 1.0
