"""Costs of refusals: who loses most if a slot goes to somebody else."""

from dataclasses import replace

from bluebellrun.admission import CostSettings, RequestCosts, SheddingRequest

COSTS = RequestCosts(CostSettings())
NEW = SheddingRequest("r", 0, False, 0.2, 1.7, 8.0)


def test_each_step_of_urgency_halves_the_loss_and_late_requests_lose_less():
    late = [COSTS.loss_per_slot_time(replace(NEW, urgency=u), 1.0) for u in range(3)]
    new = [COSTS.loss_per_slot_time(replace(NEW, urgency=u), 0.0) for u in range(3)]
    assert new == [COSTS.loss_of_new(u) for u in range(3)]
    assert new[0] == 2 * new[1] == 4 * new[2]
    assert all(on_time > after for on_time, after in zip(new, late, strict=True))


# Guards: a caller's second refusal is final, but its request ranked as one with a retry left.
def test_a_refusal_for_good_costs_more_than_a_first_one():
    retry = replace(NEW, is_retry=True)
    assert COSTS.loss_per_slot_time(retry, 1.0) > COSTS.loss_per_slot_time(NEW, 1.0)
    assert COSTS.loss_per_slot_time(retry, 1.8) == 0.0


# Guards: large prompts ranked behind small ones although they are worth as much for their work.
def test_large_and_small_requests_rank_alike():
    large = replace(NEW, size=8.0)
    assert COSTS.loss_per_slot_time(large, 0.0) == COSTS.loss_per_slot_time(NEW, 0.0)
    assert COSTS.worth_on_time(large) > 5 * COSTS.worth_on_time(NEW)
