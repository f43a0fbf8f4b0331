"""Load patterns of entries that choose between the groups of a service."""

from collections import Counter, deque
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.routing import GroupWork, PassTerms, choose_group
from bluebellrun.routing._group_choice import _distribute, _Finish

SLOTS, FIXED_S, GROWTH_S, PASSES = 120, 0.034, 0.030, 23
TERMS = PassTerms(FIXED_S, GROWTH_S, PASSES, 74_800)


def work(name: str, running: float = 0, usable: float = SLOTS, **more) -> GroupWork:
    return GroupWork((name, ""), SLOTS, usable, running, **more)


def chosen(*groups: GroupWork, unreported: float = 0.0, requests: int = 200) -> Counter[str]:
    random = Random(1)
    choices = [choose_group(groups, TERMS, random, unreported) for _ in range(requests)]
    return Counter(choice.key[0] for choice in choices if choice is not None)


def test_the_group_that_finishes_first_is_chosen():
    assert set(chosen(work("a", 60), work("b", 50))) == {"b"}
    assert set(chosen(work("a", 60, growth_s=0.09), work("b", 100))) == {"b"}
    assert set(chosen(work("a", 60, usable=40), work("b", 100))) == {"b"}
    assert set(chosen(work("a", 60, unread_tokens=9_000), work("b", 62))) == {"b"}


# Guards: callers were sent across failure domains, or all to the group that is first by name.
def test_ties_go_to_the_own_failure_domain_and_then_to_a_random_group():
    assert set(chosen(work("a"), work("b", local_fraction=0.5))) == {"b"}
    assert min(chosen(work("a"), work("b"), work("c")).values()) > 40


def test_no_group_means_no_choice():
    assert choose_group([], TERMS, Random(1)) is None


# Guards: a group that has just formed got all requests of all entries until the next news.
def test_unreported_requests_are_spread_so_that_groups_finish_together():
    taken = chosen(work("formed", 0), work("b", 60), work("c", 60), unreported=89)
    assert 0.6 < taken["formed"] / 200 < 0.85
    assert taken["b"] and taken["c"]


# Guards: in a service of many groups all entries chose the same few groups with the least work.
def test_many_unreported_requests_are_spread_over_many_groups():
    groups = [work(str(number), number % 7) for number in range(172)]
    taken = chosen(*groups, unreported=500, requests=500)
    assert len(taken) > 40
    assert max(taken.values()) < 50


def simulate(growths: dict[str, float], rate: float, age_s: float) -> dict[str, list[float]]:
    """Return the pass times of groups, with news of ``age_s``, after some seconds."""
    random = Random(2)
    running: dict[str, list[float]] = {name: [] for name in growths}
    known: deque[dict[str, int]] = deque(maxlen=round(age_s * 100))
    passes: dict[str, list[float]] = {name: [] for name in growths}
    arrivals = 0.0
    for step in range(1_500):
        now = step / 100
        for name, growth_s in growths.items():
            running[name] = [end for end in running[name] if end > now]
            pass_s = FIXED_S + growth_s * len(running[name]) / SLOTS
            if step > 700:
                passes[name].append(pass_s)
        known.append({name: len(ends) for name, ends in running.items()})
        arrivals += rate / 100
        while arrivals >= 1:
            arrivals -= 1
            groups = [work(n, known[0][n], growth_s=g) for n, g in growths.items()]
            choice = choose_group(groups, TERMS, random, rate * age_s)
            assert choice is not None
            name = choice.key[0]
            pass_s = FIXED_S + growths[name] * len(running[name]) / SLOTS
            running[name].append(now + PASSES * pass_s)
    return passes


# Guards: equal shares of the requests made passes of the group on a bad map late.
def test_groups_finish_at_about_the_same_time_with_old_news():
    growths = {"a": GROWTH_S, "b": GROWTH_S, "c": 3 * GROWTH_S}
    passes = simulate(growths, rate=150, age_s=0.2)
    means = {name: sum(times) / len(times) for name, times in passes.items()}
    assert max(means.values()) < 1.12 * min(means.values())
    for times in passes.values():
        assert max(times) < 1.35 * min(means.values())


def test_more_work_never_finishes_earlier():
    base = work("a", 30, usable=60, growth_s=0.05, unread_tokens=100)
    worse = [
        replace(base, running=50),
        replace(base, usable=20),
        replace(base, growth_s=0.2),
        replace(base, unread_tokens=5_000),
    ]
    for item in worse:
        other = replace(item, key=("b", ""))
        assert set(chosen(other, base)) == {"a"}


WORKS = st.builds(
    GroupWork,
    key=st.just(("a", "")),
    slots=st.floats(0, 400),
    usable=st.floats(0, 400),
    running=st.floats(0, 800),
    ranks=st.integers(1, 64),
    unread_tokens=st.integers(0, 50_000),
    growth_s=st.none() | st.floats(0, 1),
)


# Guards: a group without slots or growth, or a share of no requests, ended a request with an error.
@given(st.lists(WORKS, min_size=2, max_size=8), st.floats(1, 500))
def test_requests_are_distributed_whole_and_groups_finish_together(works, requests):
    groups = [_Finish(item, TERMS) for item in works]
    parts = _distribute(groups, requests)
    assert min(parts) >= 0
    assert sum(parts) >= requests * 0.999
    ends = [g.at(g.work.running + part) for g, part in zip(groups, parts, strict=True) if part]
    assert max(ends) <= min(ends) * 1.001
