"""Loads of pass-time control: an unfit expert map, its replacement, shifting demand, an outage."""

import pytest

from bluebellrun.admission import PassTimeControl, PassTimeSettings
from bluebellrun.deployment import EngineTerms, ExpertTerms

ENGINE = EngineTerms(
    5, 0, 0.005, 0.001, 0, 75_000, 0, 512, 7, 750, 158, experts=ExpertTerms(16, 96, 5, 2, 1, 0.85)
)
MAX_PAUSE_S = 0.12
FIXED_S = 0.035


class Group:
    """A group whose passes grow by ``growth_s`` if all slots are taken."""

    def __init__(self) -> None:
        self.control = PassTimeControl(PassTimeSettings(), ENGINE)
        self.now = 100.0

    def run(self, seconds: float, growth_s: float, load: float = 0.9) -> float:
        """Make passes with the given load; return the fraction that may be taken in the end."""
        end = self.now + seconds
        while self.now < end:
            pass_s = FIXED_S + growth_s * load
            self.now += pass_s
            for _ in range(4):
                self.control.observe(pass_s, MAX_PAUSE_S, lambda: load, self.now)
        return self.fraction

    @property
    def fraction(self) -> float:
        return self.control.slot_fraction(MAX_PAUSE_S, self.now)


# Guards: a fresh process assumed that all slots may be used, and all first streams were late.
def test_a_fresh_process_is_cautious_and_learns_within_tenths_of_a_second():
    group = Group()
    assert 0.2 < group.fraction < 0.8
    assert group.run(0.3, 0.03, load=0.4) == 1.0


# Guards: pauses over twice the longest were ignored, and less than 0.75 of the slots never used.
@pytest.mark.parametrize("growth_s", [0.15, 0.3, 0.5])
def test_overloaded_passes_limit_the_slots_until_passes_are_short_enough(growth_s):
    group = Group()
    load = 1.0
    for _ in range(8):
        load = group.run(1.0, growth_s, load)
    assert 0.8 * MAX_PAUSE_S < FIXED_S + growth_s * load <= MAX_PAUSE_S


# Guards: the slowest pass of seven seconds set the limit long after a better map was in force.
def test_a_better_map_lifts_the_limit_within_a_second():
    group = Group()
    group.run(3.0, 0.15, load=0.5)
    assert group.fraction < 0.6
    assert group.run(0.9, 0.04, load=0.5) == 1.0


# Guards: the pause of all streams during an outage limited the slots after it.
def test_the_pause_of_an_outage_limits_nothing():
    group = Group()
    group.run(1.0, 0.03)
    for pause_s in (0.5, 0.8, 1.5):
        group.now += pause_s
        for _ in range(20):
            group.control.observe(pause_s, MAX_PAUSE_S, lambda: 0.9, group.now)
        assert group.run(0.5, 0.03) == 1.0


def test_where_even_an_empty_pass_is_too_long_nothing_is_limited():
    assert PassTimeControl(PassTimeSettings(), ENGINE).slot_fraction(0.03, 0.0) == 1.0


# Guards: a slow group limited the slots of all groups of its service.
def test_each_group_limits_its_own_part():
    group = Group()
    for _ in range(3):
        group.now += 0.2
        for name, pause_s in (("a", 0.2), ("b", 0.06)):
            for _ in range(4):
                group.control.observe(pause_s, MAX_PAUSE_S, lambda: 1.0, group.now, name)
    both = group.fraction
    group.control.retain({"a"})
    assert group.fraction == pytest.approx(2 * both - 1.0)
