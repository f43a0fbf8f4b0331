"""The policies together, on fakes with a clock of their own: the stated targets are met."""

import pytest

from bench import _board as board
from bench import fairness, pure
from bench._fleet import BASELINES, OURS

SEED = 1


@pytest.fixture(scope="module")
def measures():
    found = [
        *pure._steady(OURS, SEED),
        *pure._flood_low(OURS, SEED),
        *pure._flood_urgent(OURS, SEED),
        *pure._large_customers(OURS, SEED),
        *pure._straggler(OURS, SEED),
    ]
    return {(item.scenario, item.measure): item for item in found}


def test_every_stated_target_is_met(measures):
    missed = [item for item in measures.values() if item.met is False]
    assert missed == []


def test_the_baseline_misses_what_admission_is_for():
    top_on_time = pure._flood_low(BASELINES[0], SEED)[0]
    assert top_on_time.met is False


def test_a_run_gives_the_same_figures_each_time():
    assert pure._flood_low(OURS, 7) == pure._flood_low(OURS, 7)


def test_the_ideal_gives_nobody_more_than_asked_and_the_rest_by_share():
    parts = fairness.ideal_parts({"a": 1.0, "b": 1.0, "c": 2.0}, {"a": 0.1, "b": 5.0, "c": 5.0})
    assert parts == pytest.approx({"a": 0.1, "b": 0.3, "c": 0.6})


@pytest.mark.parametrize("upstreams", [12, 4])
def test_shares_hold_over_all_upstreams_within_five_points(upstreams):
    assert fairness.worst_deviation(SEED, True, upstreams) <= 5


def test_shares_of_a_confined_customer_do_not_hold_when_agents_know_only_their_part():
    assert fairness.worst_deviation(SEED, False, 4) > 5


def test_the_boards_fleet_has_the_sizes_that_were_asked_for():
    assert (board.ENTRIES, board.MODEL_UPSTREAMS, board.PLAIN_UPSTREAMS) == (3, 12, 3)
    assert len(board.FAILURE_DOMAINS) == 3
    assert (len(board.customers()), len(board.LARGE_CUSTOMERS)) == (10, 3)
    assert sum(part for _, part in board.customers()) == pytest.approx(1.0)
