"""Load pattern: half of the popular experts change every few seconds, in groups of two sizes."""

from random import Random

from bluebellrun.placement import (
    DemandEstimator,
    DemandSettings,
    RankCounts,
    default_placement,
    demand_settings,
    plan_placement,
    skew,
)
from bluebellrun.placement._planner import PlanSettings

LAYERS, TOPICS, REQUESTS = 1, 9, 5
READ_S, SHIFT_S, END_S = 0.12, 3.7, 15.0


def planned(current, demand, settings):
    steps = plan_placement(current, demand, [1.0] * current.ranks, settings)
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value.placement


def topic(random, experts):
    weights = [random.paretovariate(1.2) for _ in range(experts)]
    total = sum(weights)
    return [1_000 * weight / total for weight in weights]


def mean_skew(ranks, experts, slots, settings, seed=1):
    """Plan for shifting demand; return the skew of the true demand, averaged over time.

    Each rank has some requests, each of one topic with its own popular experts.
    """
    random = Random(seed)
    topics = [[topic(random, experts) for _ in range(LAYERS)] for _ in range(TOPICS)]
    requests = [[random.randrange(TOPICS) for _ in range(REQUESTS)] for _ in range(ranks)]
    estimator = DemandEstimator(LAYERS, experts, settings)
    current = default_placement(LAYERS, ranks, experts)
    totals = [[0] * (LAYERS * experts) for _ in range(ranks)]
    now, shifted, plan_at, skews = 0.0, 0.0, 0.5, []
    while now < END_S:
        now += READ_S
        if now - shifted > SHIFT_S:
            shifted = now
            for shifted_topic in random.sample(range(TOPICS), TOPICS // 2):
                topics[shifted_topic] = [topic(random, experts) for _ in range(LAYERS)]
        true_demand = [[0.0] * experts for _ in range(LAYERS)]
        for rank in range(ranks):
            requests[rank][random.randrange(REQUESTS)] = random.randrange(TOPICS)
            for topic_index in requests[rank]:
                for layer in range(LAYERS):
                    for expert, count in enumerate(topics[topic_index][layer]):
                        totals[rank][layer * experts + expert] += int(count)
                        true_demand[layer][expert] += count
            estimator.observe(RankCounts(rank, 1, 1, tuple(totals[rank])), now)
        estimator.reset_on_shift()
        if now >= plan_at:
            plan_at = now + 0.4
            plan = PlanSettings(slots=slots, max_new_experts=2)
            current = planned(current, estimator.demand(), plan)
        skews.append(skew(current, true_demand, [1.0] * ranks))
    return sum(skews) / len(skews)


def test_a_large_group_follows_shifts_sooner_than_with_a_small_group_s_half_life():
    before = sum(mean_skew(48, 96, 4, DemandSettings(), seed) for seed in range(4)) / 4
    after = sum(mean_skew(48, 96, 4, demand_settings(48), seed) for seed in range(4)) / 4
    assert after < before - 0.05, (before, after)


def test_a_small_group_keeps_the_default_half_life():
    assert demand_settings(12) == DemandSettings()
    assert demand_settings(63).half_life_s < DemandSettings().half_life_s
    assert demand_settings(0) == DemandSettings()
