import time
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any, cast

import curio

from bluebellrun.expert_maps import ExpertMaps, GroupsWriter, SlowUpstreams
from bluebellrun.expert_maps._group_demand import GroupDemand
from bluebellrun.expert_maps._group_manager import GroupManager
from bluebellrun.expert_maps._map_versions import MapVersions
from bluebellrun.expert_maps._service_ranks import ServiceRanks
from bluebellrun.placement import PrepareMap
from tests.expert_maps.fake_ranks import (
    NEXT_NUMBERS,
    SERVICE,
    TERMS,
    FakeRanks,
    FakeRole,
    FakeRoles,
    wait_until,
)

DEPLOYMENT = SimpleNamespace(
    services={SERVICE: SimpleNamespace(name=SERVICE, engine=SimpleNamespace(experts=TERMS))}
)


def manage(ranks: FakeRanks, check: Callable[[FakeRole], Awaitable[None]]) -> None:
    """Manage the maps of fake ranks while a check runs; no pass may begin with mixed maps."""

    async def main() -> None:
        role = FakeRole()
        maps = ExpertMaps(
            cast(Any, role),
            cast(Any, FakeRoles(role)),
            ranks,
            ranks.directory,
            lambda: cast(Any, DEPLOYMENT),
            SlowUpstreams(),
            lambda service, ranks: 1.0,
            ranks.recorded,
            GroupsWriter(ranks.store, ranks.view),
        )
        await curio.spawn(maps.run, daemon=True)
        await curio.spawn(ranks.passes, daemon=True)
        await check(role)

    curio.run(main)
    assert [mixed for group in ranks.groups.values() for mixed in group.mixed] == []


def have_maps(ranks: FakeRanks, *names: str) -> bool:
    return all(len(ranks.active(name)) == 1 and 0 not in ranks.active(name) for name in names)


def of_groups(*sizes: tuple[str, int]) -> FakeRanks:
    ranks = FakeRanks()
    for name, size in sizes:
        ranks.add_group(name, size)
    return ranks


# Guards: with several groups the states overwrote each other and no map was ever changed.
def test_groups_of_different_sizes_all_get_a_map_with_versions_of_their_own():
    ranks = of_groups(("a", 4), ("b", 3), ("c", 5))

    async def check(role: FakeRole) -> None:
        await wait_until(lambda: have_maps(ranks, "a", "b", "c"))

    manage(ranks, check)
    versions = [
        {
            order.version
            for name, order, _ in ranks.orders
            if name[0] == group and isinstance(order, PrepareMap)
        }
        for group in "abc"
    ]
    assert not versions[0] & versions[1] and not versions[0] & versions[2]


# Guards: one group's turns waited for the calls to the ranks of another.
def test_groups_change_their_maps_while_another_is_silent_or_not_formed():
    ranks = of_groups(("a", 4), ("b", 4), ("c", 4), ("d", 4))
    ranks.silent.add("b")
    ranks.broken.add("c")

    async def check(role: FakeRole) -> None:
        await wait_until(lambda: have_maps(ranks, "a", "d"))
        assert ranks.active("c") == {0}
        ranks.broken.clear()
        ranks.silent.clear()
        await wait_until(lambda: have_maps(ranks, "b", "c"))

    manage(ranks, check)


# Guards: a single group must be managed as before there were several.
def test_one_group_gets_a_map_under_the_number_of_the_role():
    ranks = of_groups(("a", 4))

    async def check(role: FakeRole) -> None:
        await wait_until(lambda: have_maps(ranks, "a"))

    manage(ranks, check)
    assert all(fencing == 7 for _, _, fencing in ranks.orders)


# Guards: of a service whose upstreams did not answer the first question, none was asked again for
# three seconds, in which its only group had formed without a manager.
def test_upstreams_are_asked_again_soon_while_no_group_is_known():
    ranks = of_groups(("a", 4))
    ranks.silent.add("a")

    async def check(role: FakeRole) -> None:
        await curio.sleep(1.5)
        assert min(ranks.asked.count(f"a{rank}") for rank in range(4)) >= 3
        ranks.silent.clear()
        await wait_until(lambda: have_maps(ranks, "a"))

    manage(ranks, check)


# Guards: after a group formed again, its manager went on with the state of the old epoch.
def test_a_group_that_forms_again_gets_a_new_map():
    ranks = of_groups(("a", 4), ("b", 4))

    async def check(role: FakeRole) -> None:
        await wait_until(lambda: have_maps(ranks, "a", "b"))
        ranks.broken.add("a")
        await curio.sleep(0.3)
        ranks.groups["a"].form_again()
        ranks.broken.discard("a")
        assert ranks.active("a") == {0}
        await wait_until(lambda: have_maps(ranks, "a"))

    manage(ranks, check)


# Guards: a group that is added to a service later was not found.
def test_a_group_that_is_added_later_is_managed():
    ranks = of_groups(("a", 4))

    async def check(role: FakeRole) -> None:
        await wait_until(lambda: have_maps(ranks, "a"))
        ranks.add_group("b", 4)
        await wait_until(lambda: have_maps(ranks, "b"))

    manage(ranks, check)


# Guards: a process that lost the role went on ordering.
def test_nothing_is_ordered_without_the_role():
    ranks = of_groups(("a", 4), ("b", 4))

    async def check(role: FakeRole) -> None:
        await wait_until(lambda: have_maps(ranks, "a", "b"))
        role.number = None
        await curio.sleep(0.3)
        before = len(ranks.orders)
        await curio.sleep(0.5)
        assert len(ranks.orders) == before
        role.number = 9
        await wait_until(lambda: any(order[2] >= NEXT_NUMBERS for order in ranks.orders))

    manage(ranks, check)


# Guards: a group that is only broken made its manager give up the role, and with it the demand.
def test_only_registered_ranks_that_do_not_answer_count_as_unreachable():
    ranks = of_groups(("a", 4))
    ranks.broken.add("a")
    upstreams = ServiceRanks(SERVICE, ranks, ranks.directory)
    manager = GroupManager(
        SERVICE,
        "a",
        GroupDemand(SERVICE, "a", TERMS, ranks),
        ranks,
        upstreams,
        cast(Any, FakeRole()),
        MapVersions(),
        lambda service, instances: 1.0,
    )

    async def main() -> None:
        for silent, registered, unreachable in (
            (False, True, False),
            (True, True, True),
            (False, True, False),
            (True, False, False),
        ):
            ranks.silent = {"a1"} if silent else set()
            if not registered:
                ranks.directory.remove("a1")
            await manager.turn(7)
            assert (manager.unreachable_s(time.monotonic()) > 0) == unreachable
            assert not manager.is_complete

    curio.run(main)
