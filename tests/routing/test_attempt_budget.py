from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.routing import AttemptBudget, AttemptBudgetSettings


def make(entries=1, slack=10.0):
    return AttemptBudget(
        AttemptBudgetSettings(ratio=0.2, slack=slack, window_s=10.0, entries=entries)
    )


def test_retries_stay_within_the_ratio_and_the_entrys_part_of_the_slack():
    budget = make(entries=2)
    for _ in range(50):
        budget.record_first(0.0)
    taken = sum(budget.acquire(0.0) for _ in range(100))
    assert taken == int(0.8 * (0.2 * 50 + 5))


def test_the_budget_is_restored_after_the_window():
    budget = make()
    while budget.acquire(0.0):
        pass
    assert not budget.acquire(9.9)
    assert budget.acquire(10.1)


def test_more_entries_mean_a_smaller_part():
    budget = make()
    before = budget.remaining(0.0)
    budget.settings = AttemptBudgetSettings(0.2, 10.0, 10.0, entries=5)
    assert budget.remaining(0.0) < before / 4


@given(st.integers(0, 1_000), st.integers(1, 8))
def test_a_storm_of_failures_stays_within_the_bound_over_all_entries(seed, entries):
    """Every request fails everywhere, and load moves between the entries."""
    random = Random(seed)
    budgets = [make(entries, slack=90.0) for _ in range(entries)]
    firsts, retries = [], []
    for turn in range(600):
        now = turn * 0.05
        budget = budgets[int(random.random() ** 2 * entries)]
        budget.record_first(now)
        firsts.append(now)
        while budget.acquire(now):
            retries.append(now)
    for end in (10.0, 15.0, 20.0, 29.9):
        retried = sum(end - 10.0 <= at <= end for at in retries)
        requests = sum(end - 10.0 <= at <= end for at in firsts)
        assert retried <= 0.2 * requests + 90.0
