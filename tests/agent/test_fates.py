from bluebellrun.agent._fates import FateBook
from bluebellrun.messages import Fate, FateAnswer

RAN = FateAnswer(Fate.RAN, "it ran")


def run_for(book: FateBook, start: float, seconds: float) -> float:
    now = start
    while now < start + seconds:
        now += 0.05
        book.tick(now)
    return now


def test_an_attempt_never_seen_is_not_run_and_leaves_a_tombstone():
    book = FateBook(10.0, 100, 100)
    run_for(book, 0.0, 5.0)
    assert book.ask("a", age_s=1.0).fate is Fate.NOT_RUN
    assert book.recall("a").fate is Fate.NOT_RUN


def test_what_ran_is_remembered():
    book = FateBook(10.0, 100, 100)
    book.note("a", RAN)
    assert book.ask("a", age_s=1.0) == RAN


def test_beyond_the_horizon_the_fate_is_unknown():
    book = FateBook(10.0, 100, 100)
    book.tick(0.0)
    book.note("a", RAN)
    run_for(book, 0.0, 30.0)
    assert book.recall("a") is None
    assert book.ask("a", age_s=30.0).fate is Fate.UNKNOWN
    assert book.recall("a") is None


def test_memory_is_bounded_and_what_it_lost_is_unknown():
    book = FateBook(1_000.0, 3, 100)
    now = run_for(book, 0.0, 10.0)
    for number in range(10):
        book.note(f"a{number}", RAN)
        now = run_for(book, now, 1.0)
    assert len(book) == 3
    assert book.ask("a0", age_s=12.0).fate is Fate.UNKNOWN
    assert book.ask("new", age_s=0.5).fate is Fate.NOT_RUN


def test_a_tombstone_outlives_a_pause_of_the_process():
    book = FateBook(10.0, 100, 100)
    now = run_for(book, 0.0, 5.0)
    book.ask("a", age_s=1.0)
    book.tick(now + 3_600.0)
    assert book.recall("a").fate is Fate.NOT_RUN


def test_with_too_many_tombstones_the_fate_is_unknown_and_none_is_dropped():
    book = FateBook(10.0, 100, 2)
    run_for(book, 0.0, 5.0)
    fates = [book.ask(f"a{number}", age_s=1.0).fate for number in range(3)]
    assert fates == [Fate.NOT_RUN, Fate.NOT_RUN, Fate.UNKNOWN]
    assert book.recall("a0").fate is Fate.NOT_RUN


def test_a_young_agent_knows_that_it_has_not_seen_an_attempt():
    book = FateBook(10.0, 100, 100)
    book.tick(0.0)
    assert book.ask("a", age_s=5.0).fate is Fate.NOT_RUN
