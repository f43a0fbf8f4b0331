from random import Random

import pytest

from bluebellrun.placement import MixtureLibrary, MixtureSettings

LAYERS, EXPERTS, CHOICES = 2, 40, 4_000


def mixture(seed: int) -> list[list[float]]:
    random = Random(seed)
    return [[random.lognormvariate(0, 0.8) for _ in range(EXPERTS)] for _ in range(LAYERS)]


def window(weights: list[list[float]], random: Random, choices: int = CHOICES) -> list[float]:
    counts = [0.0] * (LAYERS * EXPERTS)
    for layer, shares in enumerate(weights):
        for expert in random.choices(range(EXPERTS), shares, k=choices):
            counts[layer * EXPERTS + expert] += 1
    return counts


def error(shares: list[float], weights: list[list[float]]) -> float:
    """Return the distance of shares from the true ones, averaged over the layers."""
    true = [weight / sum(layer) for layer in weights for weight in layer]
    return sum(abs(a - b) for a, b in zip(shares, true, strict=True)) / LAYERS


def library(max_profiles: int = 12) -> MixtureLibrary:
    return MixtureLibrary(LAYERS, EXPERTS, MixtureSettings(max_profiles=max_profiles))


# Guards: demand that shifts among a few mixtures every 2 to 3 s was estimated anew each time.
def test_a_mixture_that_returns_is_recognised_in_one_window_and_known_better_than_the_counts():
    random, subject = Random(1), library()
    mixtures = [mixture(seed) for seed in range(4)]
    for _ in range(4):
        for weights in mixtures:
            for _ in range(15):
                subject.observe(window(weights, random))
    assert subject.known == 4
    for weights in mixtures:
        counts = window(weights, random, 500)
        assert subject.observe(counts)
        shares = [count / 500 for count in counts]
        assert error(list(subject.current or ()), weights) < 0.3 * error(shares, weights)
    assert not subject.observe(window(mixtures[-1], random))


# Guards: the window within a shift was learned as a mixture of its own.
def test_a_window_of_two_mixtures_or_with_few_choices_teaches_nothing():
    random, subject = Random(2), library()
    one, other = mixture(1), mixture(2)
    for weights in (one, one, other, other):
        subject.observe(window(weights, random))
    mixed = [[a + b for a, b in zip(x, y, strict=True)] for x, y in zip(one, other, strict=True)]
    assert not subject.observe(window(mixed, random))
    assert subject.current is None
    assert subject.observe(window(one, random))
    assert not subject.observe(window(other, random, 20))
    assert subject.known == 2


# Guards: demand that never returns must be estimated as before, from the counts alone.
def test_demand_that_never_returns_is_not_taken_for_a_known_mixture():
    random, subject = Random(3), library()
    for seed in range(30):
        weights = mixture(seed)
        assert not subject.observe(window(weights, random))
        assert subject.current is None
        subject.observe(window(weights, random))
    assert subject.known <= 12


def test_the_average_is_known_after_some_windows():
    random, subject = Random(4), library()
    weights = mixture(1)
    for _ in range(15):
        subject.observe(window(weights, random))
    assert subject.average is None
    subject.observe(window(weights, random))
    assert error(list(subject.average or ()), weights) < 0.06


@pytest.mark.parametrize("profiles", [0, 1])
def test_the_number_of_profiles_is_bounded(profiles):
    random, subject = Random(5), library(profiles)
    for seed in (1, 2, 3):
        for _ in range(3):
            subject.observe(window(mixture(seed), random))
    assert subject.known == profiles
