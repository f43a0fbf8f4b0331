"""The roles of the groups of services that have several, divided among the gateways.

Every gateway ranks all gateways for each group by rendezvous hashing. One that is not the first in
the ranking waits longer before it acquires a free role, so that usually only one asks the store.
"""

import time
from collections.abc import Callable, Collection, Iterable, Iterator
from random import Random
from typing import Protocol
from urllib.parse import quote

from bluebellrun.expert_maps._role import PlacementRole, RoleOrder
from bluebellrun.membership import rank_by_weight
from bluebellrun.runtime import spawn_background

# Longer than the interval at which gateways look for a free role, and the calls to acquire one.
POSITION_PAUSE_S = 0.6
# Gateways behind these wait equally long, with a random spread.
MAX_POSITION = 16
SPREAD_S = 5.0
# A role returns to the first gateway once that has been the first for this long. It costs the group
# its plans for about a second, so it is tried again only after the second time.
RETURN_AFTER_S = 10.0
RETURN_INTERVAL_S = 300.0
RANK_INTERVAL_S = 2.0
# A holder that registered ranks of its group have not answered for so long lets another gateway
# try, at most at this interval. Ranks whose hosts are gone lose their registrations sooner.
UNREACHABLE_S = 10.0
UNREACHABLE_INTERVAL_S = 60.0
# How much longer it then waits, so that all others come first.
SET_BACK_S = 4.0

MakeRole = Callable[[str, RoleOrder], PlacementRole]
GroupKey = tuple[str, str]


class ManagedGroup(Protocol):
    """What this process's manager of a group knows, if there is one."""

    def is_changing(self) -> bool:
        """Return whether it is changing the map."""

    def unreachable_s(self, now: float) -> float:
        """Return for how long registered ranks have not answered, 0 if all do."""


class GatewayRanking:
    """Ranks the registered gateways for a group, without those that have fallen silent."""

    def __init__(
        self,
        host: str,
        registered: Callable[[], Iterable[str]],
        is_silent: Callable[[str], bool],
    ) -> None:
        self._host = host
        self._registered = registered
        self._is_silent = is_silent

    def before_this(self, key: str) -> Iterator[str]:
        """Yield the gateways that are ranked before this one."""
        for entry in rank_by_weight(key, {*self._registered(), self._host}):
            if entry == self._host:
                return
            if not self._is_silent(entry):
                yield entry


class GroupRoleOrder:
    """When this process acquires the role of one group, and when it returns it."""

    def __init__(
        self,
        key: str,
        ranking: GatewayRanking,
        random: Random,
        group: "ManagedGroup",
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._key = key
        self._ranking = ranking
        self._random = random
        self._group = group
        self._clock = clock
        self._ranked_at = 0.0
        self._first: str | None = None
        self._first_since = 0.0
        self._returned_at: float | None = None
        self._set_back_until = 0.0

    def pause_s(self) -> float:
        """Return how much longer this process waits than the first in the ranking."""
        position = sum(1 for _ in self._ranking.before_this(self._key))
        pause_s = SET_BACK_S if self._clock() < self._set_back_until else 0.0
        if position <= MAX_POSITION:
            return pause_s + POSITION_PAUSE_S * position
        return pause_s + POSITION_PAUSE_S * MAX_POSITION + SPREAD_S * self._random.random()

    def returns(self) -> bool:
        """Return whether the holder lets another gateway have the role now."""
        now = self._clock()
        if self._group.unreachable_s(now) >= UNREACHABLE_S and now >= self._set_back_until:
            self._set_back_until = now + UNREACHABLE_INTERVAL_S
            return True
        if now - self._ranked_at >= RANK_INTERVAL_S:
            self._ranked_at = now
            first = next(self._ranking.before_this(self._key), None)
            if first != self._first:
                self._first, self._first_since = first, now
        if self._first is None or now - self._first_since < RETURN_AFTER_S:
            return False
        if self._group.is_changing():
            return False
        if self._returned_at is not None and now - self._returned_at < RETURN_INTERVAL_S:
            return False
        self._returned_at = now
        return True


class GroupRoles:
    """The role of each recorded group; all are followed, and some are held."""

    def __init__(self, prefix: str, ranking: GatewayRanking, make_role: MakeRole) -> None:
        self._prefix = prefix
        self._ranking = ranking
        self._make_role = make_role
        self._random = Random()
        self._roles: dict[GroupKey, PlacementRole] = {}
        self._resigned = False

    def get(self, group: GroupKey) -> PlacementRole | None:
        """Return the role of a group, none if the group is not recorded."""
        return self._roles.get(group)

    def key(self, group: GroupKey) -> str:
        """Return the key of the holder's record of a group."""
        service, name = (quote(part, safe="") for part in group)
        return f"{self._prefix}{service}/{name}"

    async def follow(
        self, groups: Collection[GroupKey], managed: Callable[[GroupKey], ManagedGroup]
    ) -> None:
        """Have a role for each recorded group and for no other."""
        if self._resigned:
            return
        for group in [known for known in self._roles if known not in groups]:
            await spawn_background(self._roles.pop(group).resign)
        for group in groups:
            if group not in self._roles:
                key = self.key(group)
                order = GroupRoleOrder(key, self._ranking, self._random, managed(group))
                role = self._roles[group] = self._make_role(key, order)
                await spawn_background(role.run)

    async def resign(self) -> None:
        """Release all roles for good: this process is stopping."""
        self._resigned = True
        for role in self._roles.values():
            await spawn_background(role.resign)
