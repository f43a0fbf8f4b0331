from bluebellrun.placement import DemandEstimator, DemandSettings, RankCounts

SETTINGS = DemandSettings()


def counts(rank, values, epoch=1, born=1):
    return RankCounts(rank, epoch, born, tuple(values))


def test_the_first_counts_of_a_rank_are_only_a_baseline():
    demand = DemandEstimator(1, 3, SETTINGS)
    assert not demand.observe(counts(0, [500, 100, 0]), 0.0)
    assert demand.total == 0
    assert demand.observe(counts(0, [510, 100, 30]), 0.1)
    assert demand.demand() == [[10.0, 0.0, 30.0]]


def test_a_restarted_rank_is_counted_from_its_new_baseline():
    demand = DemandEstimator(1, 2, SETTINGS)
    demand.observe(counts(0, [1000, 1000]), 0.0)
    assert not demand.observe(counts(0, [5, 5], born=2), 0.1)
    assert demand.observe(counts(0, [6, 9], born=2), 0.1)
    assert demand.demand() == [[1.0, 4.0]]


def test_counts_that_shrink_without_a_restart_are_ignored():
    demand = DemandEstimator(1, 2, SETTINGS)
    demand.observe(counts(0, [1000, 1000]), 0.0)
    assert not demand.observe(counts(0, [5, 1200]), 0.1)
    assert demand.total == 0


def test_counts_of_another_size_are_ignored():
    demand = DemandEstimator(2, 2, SETTINGS)
    assert not demand.observe(counts(0, [1, 2]), 0.0)


def test_a_shift_of_demand_discards_earlier_counts():
    demand = DemandEstimator(1, 2, SETTINGS)
    total = [0, 0]
    now = 0.0
    for _ in range(40):
        total, now = [total[0] + 90, total[1] + 10], now + 0.1
        demand.observe(counts(0, total), now)
        assert not demand.reset_on_shift()
    shifted = []
    for _ in range(5):
        total, now = [total[0] + 10, total[1] + 90], now + 0.1
        demand.observe(counts(0, total), now)
        shifted.append(demand.reset_on_shift())
    assert any(shifted[:3])
    first, second = demand.demand()[0]
    assert second > first


def test_random_variation_is_not_a_shift():
    demand = DemandEstimator(1, 2, SETTINGS)
    total = [0, 0]
    for turn in range(60):
        extra = 8 if turn % 2 else -8
        total = [total[0] + 50 + extra, total[1] + 50 - extra]
        demand.observe(counts(0, total), turn * 0.1)
        assert not demand.reset_on_shift()
