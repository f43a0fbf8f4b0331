"""The upstreams of one service that may be ranks, and the group that each one last reported."""

import time
from collections.abc import Callable, Iterable, Mapping

import curio

from bluebellrun.expert_maps._ports import (
    RankCallError,
    RankCalls,
    RankReplacedError,
    Registrations,
)
from bluebellrun.expert_maps._recorded_groups import RecordedGroups
from bluebellrun.expert_maps._survey import Reported
from bluebellrun.gateway._models import Upstream
from bluebellrun.placement import Placement, RankState
from bluebellrun.routing import GroupMembers
from bluebellrun.telemetry import get_logger

# How long upstreams without a registration are still polled: they may still be ranks.
RETENTION_S = 15.0
# A report that is older counts no longer once the record of the groups has changed.
REPORT_VALIDITY_S = 6.0

_log = get_logger("expert-maps")


class ServiceRanks:
    """Reads the states of a service's upstreams; times in seconds of the monotonic clock."""

    def __init__(
        self,
        service: str,
        calls: RankCalls,
        directory: Registrations,
        recorded: RecordedGroups | None = None,
    ) -> None:
        self._service = service
        self._calls = calls
        self._directory = directory
        self._upstreams: dict[str, Upstream] = {}
        self._seen_at: dict[str, float] = {}
        self._recorded = recorded
        # The last state that each upstream reported, none if it is no rank of a group.
        self._reported: dict[str, RankState | None] = {}
        self._updated_at = 0.0
        self._asked_at: dict[str, float] = {}
        # The upstreams by group, none if it has to be built again.
        self._index: dict[str | None, list[Upstream]] | None = None
        self._recorded_changes = 0

    async def update(self, now: float) -> None:
        """Follow the registrations; removed upstreams are kept for RETENTION_S."""
        self._updated_at = now
        for upstream in self._directory.of_service(self._service):
            instance = upstream.instance
            known = self._upstreams.get(instance)
            if known is not None and known.incarnation != upstream.incarnation:
                # A new incarnation may be a rank of another group.
                self._asked_at.pop(instance, None)
            if known != upstream:
                self._upstreams[instance] = upstream
                self._index = None
            self._seen_at[instance] = now
        for instance, seen in list(self._seen_at.items()):
            if now - seen > RETENTION_S:
                self._drop(instance)
                await self._calls.forget(instance)

    @property
    def all(self) -> list[Upstream]:
        """Return the upstreams; of two with one address, that of the current incarnation."""
        return [item for upstreams in self._by_group().values() for item in upstreams]

    @property
    def names(self) -> set[str]:
        """Return the names of the groups that upstreams last reported."""
        return {name for name in self._by_group() if name is not None}

    def of_group(self, name: str, with_unknown: bool = False) -> list[Upstream]:
        """Return the upstreams that last reported a group, or also those that reported none."""
        by_group = self._by_group()
        return by_group.get(name, []) + (by_group.get(None, []) if with_unknown else [])

    def is_registered(self, instance: str) -> bool:
        """Return whether an upstream is registered, as of the last update."""
        return self._seen_at.get(instance, -1.0) == self._updated_at

    def members(self) -> list[GroupMembers]:
        """Return the groups as last reported; an upstream that does not answer stays a member."""
        recorded = {} if self._recorded is None else self._recorded.groups(self._service)
        found = []
        for name in sorted(self.names):
            instances = frozenset(item.instance for item in self.of_group(name))
            states = [self._reported.get(instance) for instance in instances]
            formed = [(state.epoch, state.size) for state in states if state is not None]
            if name in recorded:
                formed.append((recorded[name].epoch, recorded[name].size))
            epoch, size = max(formed, default=(0, 0))
            found.append(GroupMembers(name, epoch, size, instances))
        return found

    def not_asked_since(self, moment: float) -> list[Upstream]:
        """Return the upstreams that were last asked before a moment, or never."""
        return [item for item in self.all if self._asked_at.get(item.instance, 0.0) < moment]

    async def read(self, upstreams: Iterable[Upstream]) -> list[Reported]:
        """Read the states of upstreams concurrently; those that do not answer are left out.

        An upstream that does not answer counts to the group that it last reported.
        """
        found: list[Reported] = []

        async def read_one(upstream: Upstream) -> None:
            instance = upstream.instance
            self._asked_at[instance] = time.monotonic()
            try:
                state = await self._calls.state(upstream)
            except RankReplacedError:
                await self.forget(upstream)
                return
            except RankCallError as error:
                _log.info("rank not read", upstream=instance, reason=str(error))
                return
            if instance in self._upstreams:
                before = self._group_of(instance)
                self._reported[instance] = state
                if self._group_of(instance) != before:
                    self._index = None
            if state is not None:
                found.append((upstream, state))

        await run_all([(read_one, (upstream,)) for upstream in upstreams])
        return found

    async def placement(self, ranks: Mapping[int, Upstream], layers: int) -> Placement | None:
        """Read the map that ranks use from themselves, none unless all answer."""
        held: dict[int, list[frozenset[int]]] = {}

        async def read_one(rank: int) -> None:
            try:
                held[rank] = await self._calls.placement_held(ranks[rank])
            except RankCallError as error:
                _log.info("map not read", rank=rank, reason=str(error))

        await run_all([(read_one, (rank,)) for rank in ranks])
        if len(held) < len(ranks):
            return None
        return Placement(
            tuple(tuple(held[rank][layer] for rank in sorted(held)) for layer in range(layers))
        )

    async def forget(self, upstream: Upstream) -> None:
        """Drop an upstream whose incarnation has ended."""
        instance = upstream.instance
        _log.info("upstream replaced", service=self._service, upstream=instance)
        self._directory.mark_replaced(upstream.incarnation)
        known = self._upstreams.get(instance)
        if known is not None and known.incarnation != upstream.incarnation:
            return
        self._drop(instance)
        await self._calls.forget(instance)

    def _by_group(self) -> dict[str | None, list[Upstream]]:
        """Return the upstreams by the group that they last reported."""
        recorded = 0 if self._recorded is None else self._recorded.changes
        if recorded != self._recorded_changes:
            self._recorded_changes = recorded
            self._index = None
            self._drop_old_reports(time.monotonic())
        if self._index is None:
            self._index = {}
            for item in {known.address: known for known in self._upstreams.values()}.values():
                self._index.setdefault(self._group_of(item.instance), []).append(item)
        return self._index

    def _group_of(self, instance: str) -> str | None:
        """Return the group that an upstream last reported, or else the recorded one."""
        if instance in self._reported:
            state = self._reported[instance]
            return None if state is None else state.group
        if self._recorded is None:
            return None
        return self._recorded.group_of(self._service, instance)

    def _drop_old_reports(self, now: float) -> None:
        """Drop reports that the surveyor, which may be another process, knows better by now."""
        for instance, asked_at in self._asked_at.items():
            if now - asked_at > REPORT_VALIDITY_S:
                self._reported.pop(instance, None)

    def _drop(self, instance: str) -> None:
        """Drop what is known of an instance."""
        self._index = None
        self._upstreams.pop(instance, None)
        self._seen_at.pop(instance, None)
        self._reported.pop(instance, None)
        self._asked_at.pop(instance, None)


async def run_all(calls: list[tuple[Callable[..., object], tuple[object, ...]]]) -> None:
    """Run calls concurrently and wait for all."""
    async with curio.TaskGroup() as group:
        for function, arguments in calls:
            await group.spawn(function, *arguments)
