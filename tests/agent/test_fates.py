from bluebellrun.agent._fates import FateHistory, min_attempt_age_s
from bluebellrun.messages import Fate, FateAnswer, FateQuery

RAN = FateAnswer(Fate.RAN, "it ran")


def advance(history: FateHistory, start: float, seconds: float) -> float:
    now = start
    while now < start + seconds:
        now += 0.05
        history.tick(now)
    return now


def test_query_of_an_unseen_attempt_returns_not_run_and_leaves_a_tombstone():
    history = FateHistory(10.0, 100, 100)
    advance(history, 0.0, 5.0)
    assert history.query_fate("a", age_s=1.0).fate is Fate.NOT_RUN
    assert history.recall("a").fate is Fate.NOT_RUN


def test_fate_of_an_attempt_that_ran_is_returned():
    history = FateHistory(10.0, 100, 100)
    history.record("a", RAN)
    assert history.query_fate("a", age_s=1.0) == RAN


def test_fate_is_unknown_beyond_the_horizon():
    history = FateHistory(10.0, 100, 100)
    history.tick(0.0)
    history.record("a", RAN)
    advance(history, 0.0, 30.0)
    assert history.recall("a") is None
    assert history.query_fate("a", age_s=30.0).fate is Fate.UNKNOWN
    assert history.recall("a") is None


def test_history_is_bounded_and_dropped_fates_are_unknown():
    history = FateHistory(1_000.0, 3, 100)
    now = advance(history, 0.0, 10.0)
    for number in range(10):
        history.record(f"a{number}", RAN)
        now = advance(history, now, 1.0)
    assert len(history) == 3
    assert history.query_fate("a0", age_s=12.0).fate is Fate.UNKNOWN
    assert history.query_fate("new", age_s=0.5).fate is Fate.NOT_RUN


def test_tombstone_survives_a_pause_of_the_process():
    history = FateHistory(10.0, 100, 100)
    now = advance(history, 0.0, 5.0)
    history.query_fate("a", age_s=1.0)
    history.tick(now + 3_600.0)
    assert history.recall("a").fate is Fate.NOT_RUN


def test_fate_is_unknown_when_tombstones_are_full_and_none_is_dropped():
    history = FateHistory(10.0, 100, 2)
    advance(history, 0.0, 5.0)
    fates = [history.query_fate(f"a{number}", age_s=1.0).fate for number in range(3)]
    assert fates == [Fate.NOT_RUN, Fate.NOT_RUN, Fate.UNKNOWN]
    assert history.recall("a0").fate is Fate.NOT_RUN


def test_new_agent_reports_an_unseen_attempt_as_not_run():
    history = FateHistory(10.0, 100, 100)
    history.tick(0.0)
    assert history.query_fate("a", age_s=5.0).fate is Fate.NOT_RUN


def test_age_of_a_claimed_attempt_is_measured_by_the_agents_clock():
    query_from_a_slow_clock = FateQuery("a", "life", age_s=1.0, claimed_ms=10_000)
    assert min_attempt_age_s(query_from_a_slow_clock, now_ms=70_000) == 60.0
    assert min_attempt_age_s(FateQuery("a", "life", age_s=2.0), now_ms=70_000) == 2.0
