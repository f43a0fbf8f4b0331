"""Adapt the expert map of each model group to the demand for its experts.

A manager reads the ranks' counts, plans in short steps between serving requests and drives changes.
To take over from another process, it reads all state it needs from the ranks. Each group is managed
in a task of its own, so that none waits for another. The holder of the placement role finds the
groups of each service. It manages the only group of a service itself; several groups are recorded
in the store, and each has a role of its own.
"""

import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from functools import partial

import curio

from bluebellrun.deployment import Deployment, ExpertTerms
from bluebellrun.expert_maps._group_demand import GroupDemand
from bluebellrun.expert_maps._group_manager import FencedError, GroupManager
from bluebellrun.expert_maps._group_roles import GroupKey, GroupRoles
from bluebellrun.expert_maps._map_versions import MapVersions
from bluebellrun.expert_maps._ports import RankCalls, Registrations
from bluebellrun.expert_maps._recorded_groups import GroupsWriter, RecordedGroups
from bluebellrun.expert_maps._role import PlacementRole
from bluebellrun.expert_maps._service_ranks import ServiceRanks
from bluebellrun.expert_maps._slow_upstreams import SlowUpstreams
from bluebellrun.runtime import spawn_background

# Interval at which a process without a role checks whether it has acquired it.
IDLE_INTERVAL_S = 0.2
# Upstreams that no manager of a group has asked for so long are asked for their group. Managers
# read their ranks twice as often, unless they are changing a map.
SURVEY_INTERVAL_S = 3.0
# Several groups that could not be recorded for so long are managed under the placement role.
UNRECORDED_S = 3.0
# A change that is in progress when the group gets another role is driven on for this long.
HAND_OVER_S = 2.0
# Groups whose demand is kept; some megabytes for a large model.
MAX_DEMANDS = 32

# The load of a service, or of the upstreams of one of its groups.
Load = Callable[[str, Collection[str]], float]


@dataclass(frozen=True, slots=True)
class _Managed:
    """A group as its role sees it."""

    groups: Mapping[GroupKey, GroupManager]
    key: GroupKey

    def is_changing(self) -> bool:
        """Return whether this process is changing the map of the group."""
        manager = self.groups.get(self.key)
        return manager is not None and manager.is_changing

    def unreachable_s(self, now: float) -> float:
        """Return for how long registered ranks of the group have not answered, 0 if all do."""
        manager = self.groups.get(self.key)
        return 0.0 if manager is None else manager.unreachable_s(now)


class ExpertMaps:
    """Manage the maps of all services whose engines share experts."""

    def __init__(
        self,
        role: PlacementRole,
        roles: GroupRoles,
        calls: RankCalls,
        directory: Registrations,
        deployment: Callable[[], Deployment | None],
        slow: SlowUpstreams,
        load: Load,
        recorded: RecordedGroups,
        writer: GroupsWriter,
    ) -> None:
        self._role = role
        self._roles = roles
        self._calls = calls
        self._directory = directory
        self._deployment = deployment
        self._slow = slow
        self._load = load
        self._recorded = recorded
        self._writer = writer
        self._versions = MapVersions()
        # Groups by service and name, as long as a task manages them.
        self._services: dict[str, ServiceRanks] = {}
        self._groups: dict[GroupKey, GroupManager] = {}
        self._demands: dict[GroupKey, GroupDemand] = {}
        self._several_since: dict[str, float] = {}

    @property
    def managed(self) -> int:
        """Return the number of groups that this process manages."""
        return len(self._groups)

    @property
    def incomplete(self) -> int:
        """Return the number of managed groups of which not all ranks are there and formed."""
        return sum(not group.is_complete for group in self._groups.values())

    async def run(self) -> None:
        """Manage the maps until cancelled."""
        while True:
            services = self._experts()
            self._recorded.follow(services.keys(), time.monotonic())
            recorded = [
                (service, name) for service in services for name in self._recorded.groups(service)
            ]
            await self._roles.follow(recorded, partial(_Managed, self._groups))
            for service in services:
                if service not in self._services:
                    upstreams = ServiceRanks(service, self._calls, self._directory, self._recorded)
                    self._services[service] = upstreams
                    await spawn_background(self._run_service, service, upstreams)
            for group in recorded:
                await self._begin_managing(group)
            await curio.sleep(IDLE_INTERVAL_S)

    async def resign(self) -> None:
        """Release the roles of groups for good: this process is stopping."""
        await self._roles.resign()

    async def _run_service(self, service: str, upstreams: ServiceRanks) -> None:
        """Find the groups of a service while this process holds the placement role."""
        try:
            while service in self._experts():
                if self._role.lease() is not None:
                    await self._survey(service, upstreams)
                await curio.sleep(IDLE_INTERVAL_S)
        finally:
            del self._services[service]

    async def _survey(self, service: str, upstreams: ServiceRanks) -> None:
        """Ask the upstreams that were not asked recently, and record the groups."""
        now = time.monotonic()
        await upstreams.update(now)
        # Without a known group no manager asks: a group that forms waits for its map.
        interval_s = SURVEY_INTERVAL_S if upstreams.names else 0.0
        await upstreams.read(upstreams.not_asked_since(now - interval_s))
        now = time.monotonic()
        await self._writer.write(self._recorded.key(service), upstreams.members(), now)
        if self._recorded.groups(service):
            return
        names = upstreams.names
        if len(names) < 2:
            self._several_since.pop(service, None)
        elif now - self._several_since.setdefault(service, now) < UNRECORDED_S:
            return
        for name in names:
            await self._begin_managing((service, name))

    async def _begin_managing(self, group: GroupKey) -> None:
        """Manage a group unless this is done already, if this process holds its role."""
        service, name = group
        role, upstreams = self._role_of(group), self._services.get(service)
        terms = self._experts().get(service)
        if group in self._groups or role is None or role.lease() is None:
            return
        if terms is None or upstreams is None:
            return
        manager = GroupManager(
            service,
            name,
            self._demand(group, terms),
            self._calls,
            upstreams,
            role,
            self._versions,
            self._load,
        )
        self._groups[group] = manager
        await spawn_background(self._run_group, group, manager, upstreams, role)

    async def _run_group(
        self, key: GroupKey, group: GroupManager, upstreams: ServiceRanks, role: PlacementRole
    ) -> None:
        """Manage a group while this process holds its role."""
        other_role_since: float | None = None
        try:
            while (lease := role.lease()) is not None and self._services.get(key[0]) is upstreams:
                if self._role_of(key) is not role:
                    # The group may be waiting for the end of a change.
                    now = time.monotonic()
                    other_role_since = other_role_since or now
                    if not group.is_changing or now - other_role_since > HAND_OVER_S:
                        break
                pause_s = IDLE_INTERVAL_S
                try:
                    pause_s = await group.turn(lease.number)
                except FencedError:
                    if other_role_since is not None:
                        break
                    await role.mark_fenced(lease.number)
                self._publish_slowness()
                await curio.sleep(pause_s)
        finally:
            del self._groups[key]

    def _demand(self, group: GroupKey, terms: ExpertTerms) -> GroupDemand:
        """Return what is known of a group's demand, also from an earlier time as its manager."""
        demand = self._demands.pop(group, None)
        if demand is None or demand.experts != terms:
            demand = GroupDemand(*group, terms, self._calls)
        self._demands[group] = demand
        while len(self._demands) > MAX_DEMANDS:
            del self._demands[next(iter(self._demands))]
        return demand

    def _role_of(self, group: GroupKey) -> PlacementRole | None:
        """Return the role under which a group is managed; none if it is not recorded yet."""
        if self._recorded.groups(group[0]):
            return self._roles.get(group)
        upstreams = self._services.get(group[0])
        return self._role if upstreams is not None and group[1] in upstreams.names else None

    def _experts(self) -> dict[str, ExpertTerms]:
        """Return the services whose engines share experts."""
        deployment = self._deployment()
        if deployment is None:
            return {}
        return {
            terms.name: terms.engine.experts
            for terms in deployment.services.values()
            if terms.engine is not None and terms.engine.experts is not None
        }

    def _publish_slowness(self) -> None:
        """Publish the slowness of all ranks to routing."""
        slowness: dict[str, float] = {}
        for group in self._groups.values():
            slowness.update(group.slowness)
        self._slow.replace(slowness, time.monotonic())
