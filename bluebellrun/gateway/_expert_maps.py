"""Adapt the expert map of each model group to the demand for its experts.

The process that holds the placement role reads the ranks' counts, plans in short steps between
serving requests, and drives changes. To take over from another process, it reads all state it
needs from the ranks.
"""

import time
from collections.abc import Callable

import curio

from bluebellrun.deployment import Deployment, ExpertTerms, ServiceTerms
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._ports import RankCalls
from bluebellrun.gateway._role import PlacementRole
from bluebellrun.gateway._service_group import READ_INTERVAL_S, FencedError, ServiceGroup
from bluebellrun.gateway._slow_upstreams import SlowUpstreams

# Interval at which a process without the role checks whether it has acquired it.
IDLE_INTERVAL_S = 0.2


class ExpertMaps:
    """Manage the maps of all services whose engines share experts."""

    def __init__(
        self,
        role: PlacementRole,
        calls: RankCalls,
        directory: UpstreamDirectory,
        deployment: Callable[[], Deployment | None],
        slow: SlowUpstreams,
        load: Callable[[str], float],
    ) -> None:
        self._role = role
        self._calls = calls
        self._directory = directory
        self._deployment = deployment
        self._slow = slow
        self._load = load
        self._groups: dict[str, ServiceGroup] = {}

    async def run(self) -> None:
        """Manage the maps until cancelled."""
        while True:
            await curio.sleep(await self._turn())

    async def _turn(self) -> float:
        """Run one turn of each group; return the seconds to the next turn."""
        lease, deployment = self._role.lease(), self._deployment()
        if lease is None or deployment is None:
            self._groups.clear()
            return IDLE_INTERVAL_S
        pause_s = READ_INTERVAL_S
        for terms in deployment.services.values():
            if terms.engine is None or terms.engine.experts is None:
                continue
            group = self._group(terms, terms.engine.experts)
            try:
                pause_s = min(pause_s, await group.turn(lease.number))
            except FencedError:
                await self._role.mark_fenced(lease.number)
        self._publish_slowness()
        return pause_s

    def _publish_slowness(self) -> None:
        """Publish the slowness of all ranks to routing."""
        slowness: dict[str, float] = {}
        for group in self._groups.values():
            slowness.update(group.slowness)
        self._slow.replace(slowness, time.monotonic())

    def _group(self, terms: ServiceTerms, experts: ExpertTerms) -> "ServiceGroup":
        """Return the manager of a service's group, created on first use."""
        group = self._groups.get(terms.name)
        if group is None:
            group = ServiceGroup(
                terms.name, experts, self._calls, self._directory, self._role, self._load
            )
            self._groups[terms.name] = group
        return group
