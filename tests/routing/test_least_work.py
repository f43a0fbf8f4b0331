"""Load patterns of entries that send straight to upstreams."""

from random import Random

from bluebellrun.routing import LeastWorkRouting, UpstreamWork


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


def test_long_prompts_that_are_not_read_yet_weigh_on_their_rank():
    assert choose(work("one", 1, unread_tokens=4_000), work("two", 2)) == "two"


def test_a_slow_upstream_gets_less():
    assert choose(work("slow", 1, slowness=4.0), work("sound", 3)) == "sound"


def test_one_that_fails_part_of_its_requests_is_left_for_busier_ones():
    assert choose(work("grey", 1, failing=0.5), work("sound", 2)) == "sound"


def test_no_candidate_means_no_choice():
    assert LeastWorkRouting(Random(1), "a").choose([]) is None


def test_a_burst_is_spread_evenly_over_a_group():
    routing = LeastWorkRouting(Random(2), "a")
    running = dict.fromkeys(range(12), 0)
    for _ in range(60):
        works = [work(str(rank), count, domain="abc"[rank % 3]) for rank, count in running.items()]
        running[int(routing.choose(works).name)] += 1
    assert max(running.values()) - min(running.values()) <= 1
