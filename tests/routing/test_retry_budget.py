from random import Random

from bluebellrun.routing import RetryBudget, RetrySettings


def make() -> RetryBudget:
    return RetryBudget(RetrySettings(ratio=0.2, max_saved=5.0), Random(1))


def test_retries_of_a_flood_stay_within_the_ratio():
    budget = make()
    taken = 0
    for _ in range(1_000):
        budget.record_first(6, "large")
        taken += sum(budget.acquire(6, "large") for _ in range(3))
    assert taken <= 0.2 * 1_000 + 5


def test_a_flood_uses_up_neither_another_customers_budget_nor_another_prioritys():
    budget = make()
    budget.record_first(6, "small")
    budget.record_first(1, "large")
    for _ in range(100):
        budget.record_first(6, "large")
        while budget.acquire(6, "large"):
            pass
    assert budget.acquire(6, "small")
    assert budget.acquire(1, "large")


def test_no_retry_without_a_first_attempt():
    assert not make().acquire(3, "nobody")


def test_pauses_are_spread_and_bounded():
    budget = make()
    pauses = [budget.pause_s(3) for _ in range(100)]
    assert max(pauses) <= 0.25
    assert max(pauses) - min(pauses) > 0.01
    assert all(0 <= budget.pause_s(50) <= 0.25 for _ in range(100))


def test_whether_a_retry_is_allowed_agrees_with_taking_one():
    budget = RetryBudget(RetrySettings(ratio=0.5, max_saved=2.0), Random(1))
    budget.record_first(1, "a")
    while budget.allows(1, "a"):
        assert budget.acquire(1, "a")
    assert not budget.acquire(1, "a")
