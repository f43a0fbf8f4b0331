"""Load shedding under the loads that it is for, in a simulation with a clock of its own."""

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from bluebellrun.admission import Send, SlotUsage
from bluebellrun.deployment import EngineTerms
from bluebellrun.gateway._admission_terms import AdmissionTerms
from bluebellrun.gateway._load_shedding import LoadShedding
from tests.gateway.shedding_world import (
    DEADLINE_S,
    OBJECTIVES_S,
    STEP_S,
    Caller,
    Entry,
    World,
    part,
    poisson,
    route,
)

# The group answers about 62 requests a second with a fit expert map.
NORMAL = {0: 15.0, 1: 15.0, 2: 15.0}


def on_time(caller: Caller) -> bool:
    return caller.on_time and caller.served


def between(world: World, start: float, end: float, urgency: int | None = None) -> list[Caller]:
    return [
        caller
        for caller in world.callers
        if start <= caller.arrived < end and urgency in (None, caller.urgency)
    ]


def phases(before, during, after, start=4.0, end=8.0):
    """Return arrivals that change for a time."""

    def arrivals(now: float, random: Random) -> list[Caller]:
        return (during if start <= now < end else before if now < start else after)(now, random)

    return arrivals


# Guards: everything was late for eight to ten seconds after an outage.
@pytest.mark.parametrize("restarts", [False, True])
def test_three_seconds_after_an_outage_new_requests_are_on_time(restarts):
    # After a loss of all hosts the gateways know of no outage, and the expert map does not fit.
    world = World(lambda now: 3.0 if restarts and 7.0 <= now < 9.0 else 1.2, (4.0, 7.0), restarts)
    world.run(20.0, poisson(NORMAL))
    assert part(between(world, 10.0, 14.0), on_time) >= 0.75
    assert part(between(world, 10.0, 14.0, 0), on_time) >= 0.95
    assert part(between(world, 10.0, 14.0), lambda caller: caller.served) >= 0.9


def test_the_most_urgent_that_were_refused_in_an_outage_are_served_when_they_come_back():
    world = World(outage=(4.0, 7.0))
    world.run(20.0, poisson(NORMAL))
    returned = [caller for caller in between(world, 4.5, 7.0, 0) if caller.tries > 1]
    assert len(returned) > 10
    assert part(returned, lambda caller: caller.served) >= 0.9


# Guards: less urgent requests took the slots of more urgent ones.
def test_a_burst_of_the_least_urgent_leaves_the_others_on_time():
    burst = poisson({0: 15.0, 1: 15.0, 2: 80.0})
    world = World()
    world.run(16.0, phases(poisson(NORMAL), burst, poisson(NORMAL)))
    assert part(between(world, 4.0, 8.0, 0), on_time) >= 0.97
    assert part(between(world, 4.0, 8.0, 1), on_time) >= 0.9
    assert part(between(world, 4.0, 8.0, 2), on_time) >= 0.1


def test_a_burst_of_the_most_urgent_takes_the_slots_of_the_others():
    burst = poisson({0: 55.0, 1: 15.0, 2: 15.0})
    world = World()
    world.run(16.0, phases(poisson(NORMAL), burst, poisson(NORMAL)))
    assert part(between(world, 4.0, 8.0, 0), on_time) >= 0.8
    assert part(between(world, 9.0, 10.0), on_time) >= 0.75


# Guards: an overloaded group ran all its streams late instead of some on time.
def test_while_passes_take_three_times_as_long_the_urgent_are_on_time_and_recover_after_it():
    urgent, after = [], []
    for seed in (1, 2, 3):
        world = World(lambda now: 3.0 if 4.0 <= now < 8.0 else 1.2, seed=seed)
        world.run(16.0, poisson(NORMAL))
        urgent += between(world, 5.5, 8.0, 0)
        after += between(world, 9.0, 12.0)
    assert part(urgent, on_time) >= 0.85
    assert part(after, on_time) >= 0.75


def test_refusals_come_at_once_and_who_comes_back_as_told_is_served():
    world = World()
    world.run(20.0, phases(poisson(NORMAL), poisson({0: 30.0, 1: 30.0, 2: 30.0}), poisson(NORMAL)))
    refused = [caller for caller in world.callers if caller.refusals]
    assert len(refused) > 100
    slow = part(refused, lambda caller: caller.refusals[0][0] > OBJECTIVES_S[caller.urgency])
    assert slow <= 0.1
    assert all(caller.refusals[0][1] <= DEADLINE_S / 3 for caller in refused)
    urgent = [caller for caller in refused if caller.urgency < 2]
    assert part(urgent, lambda caller: caller.served) >= 0.8


# Guards: a gateway that starts beside others assumed an unfit expert map, refused everything and
# so never saw a pass.
def test_a_gateway_that_starts_in_a_full_group_takes_its_share():
    world = World()

    def arrivals(now: float, random: Random) -> list[Caller]:
        if abs(now - 4.0) < STEP_S / 2:
            world.entries[1].running |= world.entries[0].running
            world.entries[0] = Entry(world)
        return poisson({0: 18.0, 1: 18.0, 2: 24.0})(now, random)

    world.run(5.0, arrivals)
    started = world.entries[0].shedding
    assert started.shedder.running >= 5


# Guards: terms without a reading speed or usual sizes ended every request in an error.
def test_engine_terms_that_say_nothing_are_no_error():
    bare = EngineTerms(5, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0)
    fleet: Any = SimpleNamespace(
        slot_usage=lambda service, now: SlotUsage(10, 10, 0.0),
        load=lambda service, instance, now: 1.0,
        groups=SimpleNamespace(has_several=lambda service: False),
    )
    shedding = LoadShedding("s", fleet, bare, lambda: 2)
    terms = [AdmissionTerms(f"r{n}", route(0), 0, 1.7, False, 0.0, 8.0, 900) for n in range(5)]
    decisions = [shedding.decide(item, 0.0) for item in terms]
    assert isinstance(decisions[0], Send) and not isinstance(decisions[-1], Send)
    assert 0.6 <= shedding.refuse(terms[-1], 0.6, 0.0) <= 8.0


# Guards: large prompts were refused first, as reading them leaves less time to wait.
def test_large_prompts_are_served_at_least_half_as_often_as_others():
    world = World()
    world.run(20.0, poisson({0: 24.0, 1: 24.0, 2: 24.0}))
    sizes = sorted(caller.prompt + 10 * caller.answer for caller in world.callers)
    for urgency in range(3):
        kind = between(world, 3.0, 14.0, urgency)
        served = part(kind, lambda caller: caller.served)
        for low, high in ((0.9, 1.0), (0.7, 0.9)):
            lowest, highest = sizes[int(low * len(sizes))], sizes[int(high * len(sizes)) - 1]
            large = [c for c in kind if lowest <= c.prompt + 10 * c.answer <= highest]
            assert part(large, lambda caller: caller.served) >= 0.5 * served


# Guards: a customer with many requests at once kept the others out.
def test_one_large_customer_does_not_starve_the_others():
    def flood(now: float, random: Random) -> list[Caller]:
        found = poisson({1: 80.0})(now, random)
        for caller in found:
            caller.id, caller.customer = f"large-{caller.id}", "large"
        return [*found, *poisson({1: 10.0})(now, random)]

    world = World()
    world.run(20.0, phases(poisson({1: 10.0}), flood, poisson({1: 10.0})))
    others = [caller for caller in between(world, 4.0, 8.0) if not caller.customer]
    large = [caller for caller in between(world, 4.0, 8.0) if caller.customer]
    assert part(others, lambda c: c.served) >= 0.5 * part(large, lambda c: c.served)
