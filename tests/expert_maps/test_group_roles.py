from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import curio

from bluebellrun.core import MonotonicClock
from bluebellrun.expert_maps import GatewayRanking, GroupRoles, PlacementRole, RoleOrder
from bluebellrun.expert_maps._group_roles import (
    MAX_POSITION,
    POSITION_PAUSE_S,
    RETURN_AFTER_S,
    RETURN_INTERVAL_S,
    SET_BACK_S,
    UNREACHABLE_INTERVAL_S,
    UNREACHABLE_S,
    GroupRoleOrder,
)
from bluebellrun.expert_maps._role import LEASE_S
from bluebellrun.leases import RoleHolder
from bluebellrun.membership import rank_by_weight
from standins.platform import DirectStore
from tests.expert_maps.fake_ranks import MemoryView, wait_until

PREFIX = "p/placement/"
NAMES = ("g1", "g2", "g3")
GROUPS = [("chat", f"group-{number}") for number in range(6)]


class Managed:
    """What a gateway's manager knows of a group."""

    def __init__(self, changing: bool = False) -> None:
        self.changing = changing
        self.silent_since: float | None = None

    def is_changing(self) -> bool:
        return self.changing

    def unreachable_s(self, now: float) -> float:
        return 0.0 if self.silent_since is None else now - self.silent_since


class Gateways:
    """Gateways that share a store; those in ``silent`` are gone."""

    def __init__(self) -> None:
        self.store = DirectStore(MonotonicClock())
        self.silent: set[str] = set()
        self.roles: dict[str, GroupRoles] = {}
        self.all: dict[str, list[PlacementRole]] = {name: [] for name in NAMES}

    def start(self, name: str) -> GroupRoles:
        view, clock = MemoryView(self.store), MonotonicClock()

        def make_role(key: str, order: RoleOrder) -> PlacementRole:
            holder = RoleHolder(self.store, "p", "placement", name, LEASE_S, clock, Random(1), key)
            role = PlacementRole(holder, view, clock, True, 0.0, self.is_silent, order)
            self.all[name].append(role)
            return role

        ranking = GatewayRanking(name, lambda: NAMES, self.is_silent)
        self.roles[name] = GroupRoles(PREFIX, ranking, make_role)
        return self.roles[name]

    def is_silent(self, name: str) -> bool:
        return name in self.silent

    def holders(self, group: tuple[str, str]) -> list[str]:
        """Return the gateways that may act for a group."""
        found = [(name, roles.get(group)) for name, roles in self.roles.items()]
        return [name for name, role in found if role is not None and role.lease() is not None]


def first(group: tuple[str, str], names: tuple[str, ...] = NAMES) -> str:
    return rank_by_weight(f"{PREFIX}{group[0]}/{group[1]}", names)[0]


def run(check: Callable[[Gateways], Awaitable[None]]) -> None:
    async def main() -> None:
        gateways = Gateways()
        for name in NAMES:
            await gateways.start(name).follow(GROUPS, lambda group: Managed())
        await check(gateways)

    curio.run(main)


# Guards: one process managed all groups, or all processes asked the store for each role.
def test_each_group_has_one_holder_the_first_in_its_ranking_with_few_calls():
    async def check(gateways: Gateways) -> None:
        await curio.sleep(1.6)
        assert {group: gateways.holders(group) for group in GROUPS} == {
            group: [first(group)] for group in GROUPS
        }
        assert len({first(group) for group in GROUPS}) > 1
        # Reading, granting a lease and writing, and up to four renewals meanwhile.
        assert gateways.store.calls <= 7 * len(GROUPS)

    run(check)


# Guards: the groups of a gateway that is gone had no manager.
def test_the_roles_of_a_silent_gateway_pass_to_the_next():
    async def check(gateways: Gateways) -> None:
        await wait_until(lambda: all(gateways.holders(group) for group in GROUPS))
        gone = first(GROUPS[0])
        others = tuple(name for name in NAMES if name != gone)
        gateways.silent.add(gone)
        lost = [group for group in GROUPS if first(group) == gone]
        await wait_until(
            lambda: all(
                gateways.holders(group)[-1:] == [first(group, others)]
                or gateways.holders(group)[:1] == [first(group, others)]
                for group in lost
            )
        )

    run(check)


# Guards: a role stayed with a process for a group that is no longer recorded.
def test_the_role_of_a_group_that_is_gone_is_released_and_a_stopping_process_releases_all():
    async def check(gateways: Gateways) -> None:
        await wait_until(lambda: all(gateways.holders(group) for group in GROUPS))
        for roles in gateways.roles.values():
            await roles.follow(GROUPS[1:], lambda group: Managed())
        view = MemoryView(gateways.store)
        await wait_until(lambda: view.record(f"{PREFIX}{GROUPS[0][0]}/{GROUPS[0][1]}") is None)
        stopping = first(GROUPS[1])
        await gateways.roles[stopping].resign()
        await wait_until(lambda: stopping not in gateways.holders(GROUPS[1]))
        await wait_until(lambda: bool(gateways.holders(GROUPS[1])))

    run(check)


class Order:
    """The order of one process, with a time that is moved by hand."""

    def __init__(self, names: list[str], silent: set[str], changing: bool = False) -> None:
        self.now = 100.0
        self.silent = silent
        self.group = Managed(changing)
        ranking = GatewayRanking("me", lambda: names, lambda name: name in self.silent)
        self.order = GroupRoleOrder("key", ranking, Random(1), self.group, lambda: self.now)

    def returns_after(self, seconds: float) -> bool:
        self.now += seconds
        return self.order.returns()


def before_me(count: int) -> list[str]:
    """Return names of gateways that are ranked before this one."""
    candidates = [f"x{number}" for number in range(1000)]
    ranked = rank_by_weight("key", [*candidates, "me"])
    return ranked[: ranked.index("me")][:count]


def test_a_gateway_waits_for_those_before_it_that_are_not_silent():
    names = before_me(3)
    assert Order(names, set()).order.pause_s() == 3 * POSITION_PAUSE_S
    assert Order(names, {names[0]}).order.pause_s() == 2 * POSITION_PAUSE_S
    assert Order([], set()).order.pause_s() == 0.0
    many: Any = before_me(100)
    assert Order(many, set()).order.pause_s() < POSITION_PAUSE_S * (MAX_POSITION + 10)


# Guards: after an outage one process kept the roles of all groups for good.
def test_a_role_returns_once_to_a_first_gateway_that_stays():
    subject = Order(before_me(1), set())
    assert not subject.returns_after(0.0)
    assert not subject.returns_after(RETURN_AFTER_S - 1)
    assert subject.returns_after(1.0)
    assert not subject.returns_after(RETURN_AFTER_S)
    assert subject.returns_after(RETURN_INTERVAL_S)


# Guards: a role that returned during a change left the group waiting.
def test_a_role_does_not_return_during_a_change_or_to_a_silent_gateway():
    names = before_me(1)
    changing = Order(names, set(), changing=True)
    assert not changing.returns_after(0.0)
    assert not changing.returns_after(2 * RETURN_AFTER_S)
    silent = Order(names, set(names))
    assert not silent.returns_after(0.0)
    assert not silent.returns_after(2 * RETURN_AFTER_S)


# Guards: a gateway whose link to a group's ranks is broken kept the role, and the group its map.
def test_a_holder_that_ranks_do_not_answer_lets_the_others_try_once_a_minute():
    subject = Order([], set(), changing=True)
    subject.group.silent_since = subject.now
    assert not subject.returns_after(UNREACHABLE_S - 1)
    assert subject.order.pause_s() == 0.0
    assert subject.returns_after(1.0)
    assert subject.order.pause_s() == SET_BACK_S
    assert not subject.returns_after(UNREACHABLE_INTERVAL_S - 1)
    assert subject.returns_after(1.0)
    subject.group.silent_since = None
    assert not subject.returns_after(UNREACHABLE_INTERVAL_S)
    assert subject.order.pause_s() == 0.0
