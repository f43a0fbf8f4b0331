"""Load patterns of entries that send to upstreams directly."""

from dataclasses import replace
from random import Random

import pytest

from bluebellrun.routing import LeastWorkRouting, UpstreamWork
from tests.stale_news import HOLDS_S, Group


def choose(*works):
    return LeastWorkRouting(Random(1), "a").choose(works).name


def work(name, running=0, domain="a", **more):
    return UpstreamWork(name, domain, 6, running, **more)


def test_the_upstream_with_fewer_requests_is_chosen():
    assert choose(work("one", 3), work("two", 2)) == "two"


def test_a_tie_goes_to_the_own_failure_domain():
    assert choose(work("far", 2, domain="b"), work("near", 2)) == "near"


def test_less_work_elsewhere_goes_before_nearness():
    assert choose(work("far", 1, domain="b"), work("near", 2)) == "far"


def test_unread_prompt_tokens_count_as_work():
    assert choose(work("one", 1, unread_tokens=4_000), work("two", 2)) == "two"


def test_a_slow_upstream_gets_less():
    assert choose(work("slow", 1, slowness=4.0), work("healthy", 3)) == "healthy"


def test_busier_upstreams_are_preferred_to_one_that_fails_some_requests():
    assert choose(work("grey", 1, excess_failure_rate=0.5), work("healthy", 2)) == "healthy"


def test_no_candidate_means_no_choice():
    assert LeastWorkRouting(Random(1), "a").choose([]) is None


def test_a_burst_is_spread_evenly_over_a_group():
    routing = LeastWorkRouting(Random(2), "a")
    running = dict.fromkeys(range(12), 0)
    for _ in range(60):
        works = [work(str(rank), count, domain="abc"[rank % 3]) for rank, count in running.items()]
        running[int(routing.choose(works).name)] += 1
    assert max(running.values()) - min(running.values()) <= 1


def test_a_request_is_spread_over_slots_in_proportion_to_unreported_requests():
    routing = LeastWorkRouting(Random(3), "a")
    works = [work(str(rank), rank) for rank in range(6)]
    assert {routing.choose(works).name for _ in range(50)} == {"0"}
    few = [routing.choose(works, unreported=2.0).name for _ in range(300)]
    assert set(few) == {"0", "1"}
    assert few.count("0") > few.count("1") > 50
    assert {routing.choose(works, unreported=50.0).name for _ in range(300)} == set("012345")


def test_full_slow_and_failing_upstreams_get_no_more_by_the_spread():
    routing = LeastWorkRouting(Random(3), "a")
    works = [
        work("full", 6),
        work("grey", 1, excess_failure_rate=0.9),
        work("slow", 1, slowness=8.0),
    ]
    works.append(work("healthy", 1))
    names = [routing.choose(works, unreported=50.0).name for _ in range(400)]
    assert "full" not in names
    assert names.count("healthy") > 0.7 * len(names)


@pytest.mark.parametrize(
    ("group", "load", "better_by"),
    [
        (Group(14, 63, 5, 0.12), 0.85, 0.1),
        (Group(36, 129, 3, 0.24), 0.85, 0.05),
        (Group(4, 12, 6, 0.1), 0.7, -0.01),
    ],
)
def test_entries_with_stale_reports_do_not_overload_the_same_ranks(group, load, better_by):
    """Load pattern: all entries choose among the same ranks, by reports tenths of a second old."""
    rates = (load * group.ranks * group.slots / HOLDS_S, 0.0, 0.0)
    least = replace(group, spread=False, random=Random(7)).play(rates)
    spread = replace(group, random=Random(7)).play(rates)
    assert spread[0] > least[0] + better_by, (least, spread)
