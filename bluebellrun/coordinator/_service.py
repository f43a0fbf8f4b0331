"""Coordinator service of one group: role, map changes and rebalancing."""

from dataclasses import replace
from random import Random

import curio
import numpy as np

from bluebellrun.coordinator._agents import AgentLinks
from bluebellrun.coordinator._exceptions import CoordinatorError
from bluebellrun.coordinator._maps import MapDriver
from bluebellrun.core import Address, Clock
from bluebellrun.declarations import Configuration, ModelGroupRule
from bluebellrun.groups import (
    ExpertCounts,
    ExpertMap,
    ExpertReport,
    GroupError,
    GroupRecord,
    GroupShape,
    MapChangeSettings,
    MapPlan,
    Rebalancer,
    RebalanceSettings,
    coordinator_role,
    static_map,
)
from bluebellrun.leases import RoleHolder
from bluebellrun.runtime import spawn_background
from bluebellrun.store import KeyValueStore, PlatformError
from bluebellrun.telemetry import get_logger
from bluebellrun.upstreams import Upstream

REPORT_INTERVAL_S = 5.0
ROLE_TTL_S = 6

_log = get_logger("coordinator")


class GroupCoordinator:
    """Coordinates one group whenever this process holds its role.

    The ranks come from the configuration; the role is acquired only once all are declared.
    """

    def __init__(
        self,
        group: str,
        holder: str,
        prefix: str,
        store: KeyValueStore,
        links: AgentLinks,
        clock: Clock,
        settings: RebalanceSettings,
    ) -> None:
        self._group = group
        self._prefix = prefix
        self._store = store
        self._links = links
        self._clock = clock
        self._settings = settings
        role = coordinator_role(group)
        self._role = RoleHolder(store, prefix, role, holder, ROLE_TTL_S, clock, Random())
        self._rule: ModelGroupRule | None = None
        self._max_weights = 0
        self._ranks: list[Upstream] = []
        self._driver: MapDriver | None = None
        self._tasks: list[curio.Task] = []
        self._rebalancer: Rebalancer | None = None
        self._shape: GroupShape | None = None

    async def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the group's declared rule and ranks."""
        previous = self._rule
        self._rule = configuration.model_group(self._group)
        rebalance_requested = previous and self._rule and self._rule.rebalance > previous.rebalance
        if rebalance_requested and self._rebalancer is not None:
            self._rebalancer.request_plan()
        ranks = [item for item in configuration.upstreams if item.group == self._group]
        ranks.sort(key=lambda item: item.rank)
        if self._rule is None or len(ranks) != self._rule.ranks:
            ranks = []
        else:
            self._max_weights = _max_weights(configuration, self._rule)
        if [item.agent for item in ranks] != [item.agent for item in self._ranks]:
            await self._restart([item.agent for item in ranks])
        self._ranks = ranks

    async def run(self) -> None:
        """Rebalance whenever the role is held, until cancelled."""
        while True:
            await curio.sleep(REPORT_INTERVAL_S)
            if self._driver is None or self._role.current(self._clock.now()) is None:
                self._rebalancer = None
                continue
            try:
                await self._rebalance(self._driver)
            except (GroupError, CoordinatorError, PlatformError) as error:
                _log.warning("group not rebalanced", group=self._group, error=str(error))

    async def _restart(self, agents: list[Address]) -> None:
        """Restart the role and map tasks for other agents; release the role if there are none."""
        for task in self._tasks:
            await task.cancel()
        self._tasks.clear()
        self._driver = self._rebalancer = None
        if not agents:
            await self._role.release()
            return
        self._driver = MapDriver(
            self._group,
            self._prefix,
            agents,
            self._role,
            self._store,
            self._links,
            self._clock,
            MapChangeSettings(),
        )
        for function in (self._driver.run, self._role.run):
            self._tasks.append(await spawn_background(function))

    async def _rebalance(self, driver: MapDriver) -> None:
        """Read the ranks' reports and request a new map if one is due and pays off."""
        counts = await self._read_counts()
        available = [item for item in counts if item is not None]
        if not available or self._rule is None:
            return
        rebalancer = self._rebalancer_for(available[0])
        self._observe(rebalancer, counts)
        record = driver.record
        if record is None or not driver.idle or self._rule.paused:
            return
        current = await self._active_map(driver, record)
        if rebalancer.is_due(self._clock.now(), current):
            plan = await self._plan(rebalancer, current)
            if plan.expert_map is not None:
                _log.info("map planned", group=self._group, weights=plan.weights)
                driver.request(plan.expert_map.digest, plan.expert_map.encode())

    async def _read_counts(self) -> list[ExpertCounts | None]:
        """Read the reports of all ranks concurrently."""
        async with curio.TaskGroup(wait=all) as tasks:
            reads = [
                await tasks.spawn(self._links.read_experts, item.agent) for item in self._ranks
            ]
        return [task.result for task in reads]

    def _rebalancer_for(self, counts: ExpertCounts) -> Rebalancer:
        """Return the rebalancer for the reported shape; create a new one if the shape changed."""
        shape = GroupShape(len(self._ranks), counts.layers, counts.experts, counts.slots)
        if self._rebalancer is None or shape != self._shape:
            planner = self._settings.planner
            if self._max_weights:
                planner = replace(planner, max_weights=self._max_weights)
            domains = tuple(item.failure_domain for item in self._ranks)
            settings = replace(self._settings, planner=planner)
            self._rebalancer = Rebalancer(shape, settings, domains)
            self._shape = shape
        return self._rebalancer

    def _observe(self, rebalancer: Rebalancer, counts: list[ExpertCounts | None]) -> None:
        """Pass the reports to the rebalancer; a rank without one is recorded as NaN."""
        times = np.full(len(counts), np.nan)
        loads = np.full(len(counts), np.nan)
        for rank, item in enumerate(counts):
            if item is None:
                continue
            times[rank], loads[rank] = item.step_s, item.processed
            if item.ended > item.started:
                rebalancer.observe_report(_report(self._ranks[rank].name, item))
        rebalancer.observe_times(times, loads)

    async def _active_map(self, driver: MapDriver, record: GroupRecord) -> ExpertMap:
        """Return the active map."""
        assert self._shape is not None
        if not record.digest:
            return static_map(self._shape, record.active)
        return ExpertMap.decode(record.active, self._shape, await driver.content(record.digest))

    async def _plan(self, rebalancer: Rebalancer, current: ExpertMap) -> MapPlan:
        """Plan in short steps, yielding to the event loop between them."""
        steps = rebalancer.plan(self._clock.now(), current)
        while True:
            try:
                next(steps)
            except StopIteration as done:
                plan: MapPlan = done.value
                return plan
            await curio.sleep(0)


def _report(source: str, counts: ExpertCounts) -> ExpertReport:
    """Convert a rank's counts; raise ``GroupError`` if their number does not fit the shape."""
    tokens = np.frombuffer(counts.tokens, dtype="<f4").astype(np.float64)
    if len(tokens) != counts.layers * counts.experts:
        raise GroupError(f"{source} reports {len(tokens)} counts of experts")
    by_layer = tokens.reshape(counts.layers, counts.experts)
    return ExpertReport(source, counts.number, counts.started, counts.ended, by_layer)


def _max_weights(configuration: Configuration, rule: ModelGroupRule) -> int:
    """Return how many experts' weights one change may move, 0 for the default."""
    version = configuration.model_version(rule.version)
    if version is None or not rule.max_moved_bytes:
        return 0
    expert_bytes = version.weights_bytes / (version.layers * version.experts_per_layer)
    return max(1, int(rule.max_moved_bytes / expert_bytes))
