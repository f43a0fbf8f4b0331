"""Gateways that manage the groups of one service together, through one store."""

from collections.abc import Awaitable, Callable
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import curio

from bluebellrun.core import MonotonicClock
from bluebellrun.expert_maps import (
    ExpertMaps,
    GatewayRanking,
    GroupRoles,
    GroupsWriter,
    PlacementRole,
    RecordedGroups,
    RoleOrder,
    SlowUpstreams,
)
from bluebellrun.expert_maps._role import LEASE_S
from bluebellrun.leases import RoleHolder
from bluebellrun.routing import GroupTable
from tests.expert_maps.fake_ranks import (
    PREFIX,
    SERVICE,
    TERMS,
    FakeRanks,
    MemoryView,
    wait_until,
)

NAMES = ("g1", "g2", "g3")
DEPLOYMENT = SimpleNamespace(
    services={SERVICE: SimpleNamespace(name=SERVICE, engine=SimpleNamespace(experts=TERMS))}
)


class FrozenView(MemoryView):
    """A view that reads nothing new once it is frozen, as that of a gateway that is cut off."""

    def __init__(self, ranks: FakeRanks) -> None:
        super().__init__(ranks.store)
        self.frozen = False
        self._last: dict[str, Any] = {}

    def record(self, key: str) -> Any:
        if not self.frozen:
            self._last[key] = super().record(key)
        return self._last.get(key)


class Gateway:
    """One gateway's managers; ``gone`` are the gateways that the others do not hear."""

    def __init__(self, name: str, ranks: FakeRanks, gone: set[str]) -> None:
        self.view = FrozenView(ranks)
        self.table = GroupTable()
        self._name = name
        self._ranks = ranks
        self._is_gone = gone.__contains__
        self.role = self._make_role(None, None)
        ranking = GatewayRanking(name, lambda: NAMES, self._is_gone)
        self.maps = ExpertMaps(
            self.role,
            GroupRoles("p/placement/", ranking, self._make_role),
            ranks,
            ranks.directory,
            lambda: cast(Any, DEPLOYMENT),
            SlowUpstreams(),
            lambda service, instances: 1.0,
            RecordedGroups(self.view, PREFIX, self.table),
            GroupsWriter(ranks.store, self.view),
        )

    def _make_role(self, key: str | None, order: RoleOrder | None) -> PlacementRole:
        clock = MonotonicClock()
        holder = RoleHolder(
            self._ranks.store, "p", "placement", self._name, LEASE_S, clock, Random(1), key
        )
        return PlacementRole(holder, self.view, clock, True, 0.0, self._is_gone, order)


def run(sizes: dict[str, int], check: Callable[..., Awaitable[None]]) -> None:
    """Run three gateways in front of groups; no pass may begin with mixed maps."""
    ranks = FakeRanks()
    for name, size in sizes.items():
        ranks.add_group(name, size)

    async def main() -> None:
        gone: set[str] = set()
        gateways = {name: Gateway(name, ranks, gone) for name in NAMES}
        for gateway in gateways.values():
            await curio.spawn(gateway.role.run, daemon=True)
            await curio.spawn(gateway.maps.run, daemon=True)
        await curio.spawn(ranks.passes, daemon=True)
        await check(ranks, gateways, gone)

    curio.run(main)
    assert [mixed for group in ranks.groups.values() for mixed in group.mixed] == []


def mapped(ranks: FakeRanks) -> bool:
    actives = [ranks.active(name) for name in ranks.groups]
    return all(len(active) == 1 and 0 not in active for active in actives)


SIX = {f"m{number}": 3 + number % 2 for number in range(6)}


# Guards: the maps of all groups were managed by one process, and no other knew the groups.
def test_gateways_share_the_groups_and_all_know_them():
    async def check(ranks: FakeRanks, gateways: dict[str, Gateway], gone: set[str]) -> None:
        await wait_until(lambda: mapped(ranks))
        await wait_until(lambda: sum(item.maps.managed for item in gateways.values()) == 6)
        assert max(item.maps.managed for item in gateways.values()) < 6
        assert all(set(item.table.groups(SERVICE)) == set(SIX) for item in gateways.values())

    run(SIX, check)


# Guards: a gateway that is cut off from store and gateways went on ordering beside the next one.
def test_the_next_gateway_manages_the_groups_of_one_that_is_cut_off_from_the_others():
    async def check(ranks: FakeRanks, gateways: dict[str, Gateway], gone: set[str]) -> None:
        await wait_until(lambda: mapped(ranks))
        await wait_until(lambda: sum(item.maps.managed for item in gateways.values()) == 6)
        lost = max(gateways, key=lambda name: gateways[name].maps.managed)
        gateways[lost].view.frozen = True
        gone.add(lost)
        others = [item for name, item in gateways.items() if name != lost]
        await wait_until(lambda: sum(item.maps.managed for item in others) == 6)
        for group in ranks.groups.values():
            group.form_again()
        assert not mapped(ranks)
        await wait_until(lambda: mapped(ranks))

    run(SIX, check)


# Guards: orders that are lost or late, in several groups at once, led to mixed maps.
def test_lost_and_late_orders_in_all_groups_do_not_mix_maps():
    async def check(ranks: FakeRanks, gateways: dict[str, Gateway], gone: set[str]) -> None:
        for group in ranks.groups.values():
            group.lost, group.late = 0.1, 0.1
        ranks.shift_s = 0.6
        await wait_until(lambda: mapped(ranks), 20.0)
        first = {name: ranks.active(name) for name in ranks.groups}
        await curio.sleep(1.0)
        ranks.groups["m1"].form_again()
        await curio.sleep(2.0)
        await wait_until(lambda: mapped(ranks), 20.0)
        assert all(ranks.active(name) != first[name] for name in ranks.groups)

    run({"m0": 3, "m1": 4, "m2": 5}, check)


# Guards: a group that is added to a service with one group changes the role of that group.
def test_a_service_that_grows_from_one_group_to_two_keeps_its_maps():
    async def check(ranks: FakeRanks, gateways: dict[str, Gateway], gone: set[str]) -> None:
        await wait_until(lambda: mapped(ranks))
        assert all(not item.table.groups(SERVICE) for item in gateways.values())
        ranks.add_group("m1", 4)
        await wait_until(lambda: mapped(ranks))
        await wait_until(lambda: all(item.table.groups(SERVICE) for item in gateways.values()))

    run({"m0": 4}, check)
