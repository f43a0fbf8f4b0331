import numpy as np
import pytest

from bluebellrun.groups import (
    ExpertReport,
    GroupShape,
    InvalidReportError,
    PopularityEstimator,
    PopularitySettings,
)

SHAPE = GroupShape(ranks=4, layers=1, experts=16, slots=4)


def report(number: int, shares: np.ndarray, rng: np.random.Generator) -> ExpertReport:
    tokens = rng.multinomial(20_000, shares / shares.sum()).astype(float)[None]
    return ExpertReport("engine", number, number * 5.0, number * 5.0 + 5.0, tokens)


def feed(estimator, shares, numbers, seed=1):
    rng = np.random.default_rng(seed)
    for number in numbers:
        estimator.observe(report(number, shares, rng))


def error(estimator, shares):
    return float(np.abs(estimator.shares()[0] - shares / shares.sum()).sum())


def test_noise_is_smoothed_below_that_of_the_last_reports():
    shares = np.random.default_rng(3).lognormal(0, 1, 16)
    estimator = PopularityEstimator(SHAPE, PopularitySettings())
    feed(estimator, shares, range(200))
    fast = PopularityEstimator(SHAPE, PopularitySettings(noise_bound=0.0))
    feed(fast, shares, range(200))
    assert error(estimator, shares) < 0.6 * error(fast, shares)


def test_a_jump_is_followed_within_seconds():
    before = np.ones(16)
    after = np.ones(16)
    after[3] = 20.0
    estimator = PopularityEstimator(SHAPE, PopularitySettings())
    feed(estimator, before, range(200))
    feed(estimator, after, range(200, 206))
    assert estimator.shares()[0, 3] > 0.3


def test_missing_and_late_reports_do_not_distort_the_estimate():
    shares = np.random.default_rng(3).lognormal(0, 1, 16)
    estimator = PopularityEstimator(SHAPE, PopularitySettings())
    order = [n for n in range(200) if n % 3]
    order[50:60] = reversed(order[50:60])
    feed(estimator, shares, order)
    assert error(estimator, shares) < 0.05
    assert estimator.load().sum() == pytest.approx(4_000, rel=0.05)


def test_a_report_delivered_twice_counts_once():
    estimator = PopularityEstimator(SHAPE, PopularitySettings())
    item = report(1, np.ones(16), np.random.default_rng(1))
    assert estimator.observe(item)
    assert not estimator.observe(item)
    assert estimator.load().sum() == pytest.approx(4_000)


@pytest.mark.parametrize("tokens", [np.ones((1, 3)), -np.ones((1, 16)), np.full((1, 16), np.nan)])
def test_a_report_with_an_invalid_shape_or_count_is_refused(tokens):
    estimator = PopularityEstimator(SHAPE, PopularitySettings())
    with pytest.raises(InvalidReportError):
        estimator.observe(ExpertReport("engine", 1, 0.0, 1.0, tokens))
