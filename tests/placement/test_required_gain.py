"""Load pattern: light load, under which a better map brings callers no noticeable gain."""

import pytest

from bluebellrun.placement import RequiredGainSettings, required_gain

SETTINGS = RequiredGainSettings()


def needed(load, copies=24, ranks=12):
    return required_gain(copies, ranks, load, SETTINGS)


def test_a_busy_group_changes_for_a_small_gain():
    assert needed(1.0) == needed(0.8) == pytest.approx(0.14)


def test_a_lightly_loaded_group_corrects_only_a_large_skew():
    assert needed(0.4) == pytest.approx(0.56)
    assert needed(0.3) < 1.2


def test_an_idle_group_needs_eight_times_the_gain_at_most():
    assert needed(0.0) == needed(0.1) == pytest.approx(1.12)


def test_the_cost_of_copies_is_counted_per_rank_for_any_group_size():
    assert needed(1.0, copies=24, ranks=12) == needed(1.0, copies=126, ranks=63)
