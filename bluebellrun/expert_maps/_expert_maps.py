"""Adapt the expert map of each model group to the demand for its experts.

The process that holds the placement role reads the ranks' counts, plans in short steps between
serving requests, and drives changes. To take over from another process, it reads all state it
needs from the ranks. Each group is managed in a task of its own, so that none waits for another.
"""

import time
from collections.abc import Callable

import curio

from bluebellrun.deployment import Deployment, ExpertTerms
from bluebellrun.expert_maps._group_manager import FencedError, GroupManager
from bluebellrun.expert_maps._map_versions import MapVersions
from bluebellrun.expert_maps._ports import RankCalls, Registrations
from bluebellrun.expert_maps._recorded_groups import GroupsWriter, RecordedGroups
from bluebellrun.expert_maps._role import PlacementRole
from bluebellrun.expert_maps._service_ranks import ServiceRanks
from bluebellrun.expert_maps._slow_upstreams import SlowUpstreams
from bluebellrun.runtime import spawn_background

# Interval at which a process without the role checks whether it has acquired it.
IDLE_INTERVAL_S = 0.2
# Upstreams that no manager of a group has asked for so long are asked for their group. Managers
# read their ranks twice as often, unless they are changing a map.
SURVEY_INTERVAL_S = 3.0


class ExpertMaps:
    """Manage the maps of all services whose engines share experts."""

    def __init__(
        self,
        role: PlacementRole,
        calls: RankCalls,
        directory: Registrations,
        deployment: Callable[[], Deployment | None],
        slow: SlowUpstreams,
        load: Callable[[str], float],
        recorded: RecordedGroups,
        writer: GroupsWriter,
    ) -> None:
        self._role = role
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
        self._groups: dict[tuple[str, str], GroupManager] = {}

    async def run(self) -> None:
        """Manage the maps until cancelled."""
        while True:
            services = self._experts()
            self._recorded.follow(services.keys(), time.monotonic())
            for service in services:
                if service not in self._services:
                    upstreams = ServiceRanks(service, self._calls, self._directory, self._recorded)
                    self._services[service] = upstreams
                    await spawn_background(self._run_service, service, upstreams)
            await curio.sleep(IDLE_INTERVAL_S)

    async def _run_service(self, service: str, upstreams: ServiceRanks) -> None:
        """Find the groups of a service and have each one managed, while this process may."""
        try:
            while service in self._experts():
                if self._role.lease() is not None:
                    await self._survey(service, upstreams)
                await curio.sleep(IDLE_INTERVAL_S)
        finally:
            del self._services[service]

    async def _survey(self, service: str, upstreams: ServiceRanks) -> None:
        """Ask the upstreams that were not asked recently, and begin to manage new groups."""
        now = time.monotonic()
        await upstreams.update(now)
        await upstreams.read(upstreams.not_asked_since(now - SURVEY_INTERVAL_S))
        key = self._recorded.key(service)
        await self._writer.write(key, upstreams.members(), time.monotonic())
        terms = self._experts().get(service)
        for name in upstreams.names:
            if terms is not None and (service, name) not in self._groups:
                group = GroupManager(
                    service,
                    name,
                    terms,
                    self._calls,
                    upstreams,
                    self._role,
                    self._versions,
                    self._load,
                )
                self._groups[service, name] = group
                await spawn_background(self._run_group, service, name, group, upstreams)

    async def _run_group(
        self, service: str, name: str, group: GroupManager, upstreams: ServiceRanks
    ) -> None:
        """Manage a group while this process may and upstreams report it."""
        try:
            while self._services.get(service) is upstreams and name in upstreams.names:
                lease = self._role.lease()
                if lease is None:
                    break
                pause_s = IDLE_INTERVAL_S
                try:
                    pause_s = await group.turn(lease.number)
                except FencedError:
                    await self._role.mark_fenced(lease.number)
                self._publish_slowness()
                await curio.sleep(pause_s)
        finally:
            del self._groups[service, name]

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
