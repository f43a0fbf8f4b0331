"""The upstreams of one service that may be ranks, and the group that each one last reported."""

import time
from collections.abc import Callable, Iterable

import curio

from bluebellrun.expert_maps._ports import (
    RankCallError,
    RankCalls,
    RankReplacedError,
    Registrations,
)
from bluebellrun.expert_maps._survey import Reported
from bluebellrun.gateway._models import Upstream
from bluebellrun.telemetry import get_logger

# How long upstreams without a registration are still polled: they may still be ranks.
RETENTION_S = 15.0

_log = get_logger("expert-maps")


class ServiceRanks:
    """Reads the states of a service's upstreams; times in seconds of the monotonic clock."""

    def __init__(self, service: str, calls: RankCalls, directory: Registrations) -> None:
        self._service = service
        self._calls = calls
        self._directory = directory
        self._upstreams: dict[str, Upstream] = {}
        self._seen_at: dict[str, float] = {}
        self._group_of: dict[str, str | None] = {}
        self._asked_at: dict[str, float] = {}

    async def update(self, now: float) -> None:
        """Follow the registrations; removed upstreams are kept for RETENTION_S."""
        for upstream in self._directory.of_service(self._service):
            instance = upstream.instance
            known = self._upstreams.get(instance)
            if known is not None and known.incarnation != upstream.incarnation:
                # A new incarnation may be a rank of another group.
                self._asked_at.pop(instance, None)
            self._upstreams[instance] = upstream
            self._seen_at[instance] = now
        for instance, seen in list(self._seen_at.items()):
            if now - seen > RETENTION_S:
                self._drop(instance)
                await self._calls.forget(instance)

    @property
    def all(self) -> list[Upstream]:
        """Return the upstreams; of two with one address, that of the current incarnation."""
        return list({item.address: item for item in self._upstreams.values()}.values())

    @property
    def names(self) -> set[str]:
        """Return the names of the groups that upstreams last reported."""
        named = (self._group_of.get(upstream.instance) for upstream in self.all)
        return {name for name in named if name is not None}

    def of_group(self, name: str, with_unknown: bool = False) -> list[Upstream]:
        """Return the upstreams that last reported a group, or also those that reported none."""
        names = (name, None) if with_unknown else (name,)
        return [item for item in self.all if self._group_of.get(item.instance) in names]

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
                self._group_of[instance] = None if state is None else state.group
            if state is not None:
                found.append((upstream, state))

        await run_all([(read_one, (upstream,)) for upstream in upstreams])
        return found

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

    def _drop(self, instance: str) -> None:
        """Drop what is known of an instance."""
        self._upstreams.pop(instance, None)
        self._seen_at.pop(instance, None)
        self._group_of.pop(instance, None)
        self._asked_at.pop(instance, None)


async def run_all(calls: list[tuple[Callable[..., object], tuple[object, ...]]]) -> None:
    """Run calls concurrently and wait for all."""
    async with curio.TaskGroup() as group:
        for function, arguments in calls:
            await group.spawn(function, *arguments)
