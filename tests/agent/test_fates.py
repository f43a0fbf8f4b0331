from bluebellrun.agent._fates import FateHistory, min_attempt_age_s
from bluebellrun.messages import Fate, FateAnswer, FateQuery

RAN = FateAnswer(Fate.RAN, "it ran")


def run_for(book: FateHistory, start: float, seconds: float) -> float:
    now = start
    while now < start + seconds:
        now += 0.05
        book.tick(now)
    return now


def test_an_attempt_never_seen_is_not_run_and_leaves_a_tombstone():
    book = FateHistory(10.0, 100, 100)
    run_for(book, 0.0, 5.0)
    assert book.query_fate("a", age_s=1.0).fate is Fate.NOT_RUN
    assert book.recall("a").fate is Fate.NOT_RUN


def test_what_ran_is_remembered():
    book = FateHistory(10.0, 100, 100)
    book.record("a", RAN)
    assert book.query_fate("a", age_s=1.0) == RAN


def test_beyond_the_horizon_the_fate_is_unknown():
    book = FateHistory(10.0, 100, 100)
    book.tick(0.0)
    book.record("a", RAN)
    run_for(book, 0.0, 30.0)
    assert book.recall("a") is None
    assert book.query_fate("a", age_s=30.0).fate is Fate.UNKNOWN
    assert book.recall("a") is None


def test_memory_is_bounded_and_what_it_lost_is_unknown():
    book = FateHistory(1_000.0, 3, 100)
    now = run_for(book, 0.0, 10.0)
    for number in range(10):
        book.record(f"a{number}", RAN)
        now = run_for(book, now, 1.0)
    assert len(book) == 3
    assert book.query_fate("a0", age_s=12.0).fate is Fate.UNKNOWN
    assert book.query_fate("new", age_s=0.5).fate is Fate.NOT_RUN


def test_a_tombstone_outlives_a_pause_of_the_process():
    book = FateHistory(10.0, 100, 100)
    now = run_for(book, 0.0, 5.0)
    book.query_fate("a", age_s=1.0)
    book.tick(now + 3_600.0)
    assert book.recall("a").fate is Fate.NOT_RUN


def test_with_too_many_tombstones_the_fate_is_unknown_and_none_is_dropped():
    book = FateHistory(10.0, 100, 2)
    run_for(book, 0.0, 5.0)
    fates = [book.query_fate(f"a{number}", age_s=1.0).fate for number in range(3)]
    assert fates == [Fate.NOT_RUN, Fate.NOT_RUN, Fate.UNKNOWN]
    assert book.recall("a0").fate is Fate.NOT_RUN


def test_a_young_agent_knows_that_it_has_not_seen_an_attempt():
    book = FateHistory(10.0, 100, 100)
    book.tick(0.0)
    assert book.query_fate("a", age_s=5.0).fate is Fate.NOT_RUN


def test_the_age_of_a_claimed_attempt_is_told_by_the_agents_own_clock():
    asked_by_a_slow_clock = FateQuery("a", "life", age_s=1.0, claimed_ms=10_000)
    assert min_attempt_age_s(asked_by_a_slow_clock, now_ms=70_000) == 60.0
    assert min_attempt_age_s(FateQuery("a", "life", age_s=2.0), now_ms=70_000) == 2.0
