"""The upstreams that this process uses: their connections, work in flight and health."""

import math
import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from random import Random

from bluebellrun.admission import SlotUsage
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._connections import UpstreamConnections
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._fleet_groups import FleetGroups
from bluebellrun.gateway._limit_permits import LimitPermits
from bluebellrun.gateway._models import Upstream, UpstreamIncarnation
from bluebellrun.gateway._peers import PeerTable
from bluebellrun.gateway._upstream_stats import UpstreamStats, average_stats
from bluebellrun.http import HttpClient
from bluebellrun.routing import (
    GroupTable,
    LeastWorkRouting,
    OutlierEjection,
    RequestedBackoff,
    UnreportedRequests,
    UpstreamWork,
    ranks_to_drain,
)
from bluebellrun.telemetry import get_logger

_log = get_logger("fleet")


class Fleet:
    """Choose upstreams and track the work that this process has at each."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        failure_domain: str,
        random: Random,
        running_elsewhere: Callable[[str], int] = lambda instance: 0,
        slow_now: Callable[[float], Mapping[str, float]] = lambda now: {},
        permits: LimitPermits | None = None,
        groups: GroupTable | None = None,
    ) -> None:
        self._directory = directory
        self._groups = FleetGroups(
            groups or GroupTable(), failure_domain, random, running_elsewhere
        )
        self._routing = LeastWorkRouting(random, failure_domain)
        self._ejection = OutlierEjection()
        self._backoff = RequestedBackoff()
        self._permits = permits or LimitPermits(PeerTable(""))
        self._connections = UpstreamConnections(self.record_unreachable)
        self._stats: dict[str, UpstreamStats] = {}
        self._unreported: dict[str, UnreportedRequests] = {}
        self._others = 0
        self._status_age_s = 0.0
        self._running_elsewhere = running_elsewhere
        self._slow_now = slow_now

    @property
    def directory(self) -> UpstreamDirectory:
        """Return the directory of upstreams."""
        return self._directory

    @property
    def permits(self) -> LimitPermits:
        """Return the permits to send to upstreams that limit their rate."""
        return self._permits

    @property
    def groups(self) -> FleetGroups:
        """Return the groups of the services."""
        return self._groups

    @property
    def cold(self) -> ColdUpstreams:
        """Return the cold upstreams."""
        return self._permits.cold

    def may_send(self, upstream: Upstream, had_permit: bool, chosen_at: float) -> bool:
        """Return whether a request that chose an upstream earlier may be sent to it now."""
        is_usable = self._directory.may_send(upstream)
        return is_usable and self._permits.may_still_send(upstream, had_permit, chosen_at)

    def set_other_entries(self, entries: int, status_age_s: float) -> None:
        """Set the number of other entries that send requests, and the age of their status."""
        self._others = entries
        self._permits.set_registered(1 + entries)
        self._status_age_s = status_age_s

    def available(self, service: str, now: float) -> list[Upstream]:
        """Return the upstreams of a service that accept requests of this process now."""
        accepting = self._accepting(service, now)
        return [item for item in accepting if not self._permits.wait_s(item, now)]

    def available_in_s(self, service: str, now: float) -> float:
        """Return the seconds until an upstream of a service accepts requests, 0 if one does."""
        usable = self._directory.usable(service, now)
        return min((self._wait_s(item, now) for item in usable), default=0.0)

    def is_at_limits(self, service: str, now: float) -> bool:
        """Return whether all upstreams of a service are at their rate limits."""
        accepting = self._accepting(service, now)
        return bool(accepting) and all(self._permits.wait_s(item, now) for item in accepting)

    def has_unlimited_other(self, upstream: Upstream, now: float) -> bool:
        """Return whether another upstream of the service accepts requests without a limit."""
        accepting = self._accepting(upstream.service, now)
        return any(self._permits.rate(item) is None for item in accepting if item != upstream)

    def has_other_group(self, upstream: Upstream, excluded: Collection[str], now: float) -> bool:
        """Return whether another group of the service accepts a request now."""
        if not self._groups.has_several(upstream.service):
            return False
        available = self.available(upstream.service, now)
        left = [item for item in available if item.instance not in excluded]
        return self._groups.has_other_open(upstream, left, now)

    def group_instances(self, upstream: Upstream) -> Collection[str]:
        """Return the upstreams of a group that is one of several, also those that are leaving."""
        groups = self._groups.split(self._directory.of_service(upstream.service))
        return [item.instance for item in groups.get(self._groups.key(upstream), [])]

    def choose(
        self, service: str, excluded: Collection[str], now: float, unlimited: bool = False
    ) -> Upstream | None:
        """Return the upstream to send a request to, or none when there is none.

        With ``unlimited``, upstreams that limit their rate are left out.
        """
        usable = self._all_accepting(service, now)
        ready = [item for item in usable if not self._permits.wait_s(item, now)]
        may_probe = not excluded and not unlimited
        usable = self._groups.open_or_probed(service, usable, ready, may_probe, now)
        candidates = [upstream for upstream in usable if upstream.instance not in excluded]
        if unlimited:
            candidates = [item for item in candidates if self._permits.rate(item) is None]
        names = [upstream.instance for upstream in candidates]
        ejected = self._ejection.ejected(names, now)
        healthy = [item for item in candidates if item.instance not in ejected] or candidates
        healthy = self._without_slow(service, healthy, len(usable), now)
        typical_s, failure_rate = self._averages(healthy)
        works = [self._work(item, typical_s, failure_rate) for item in healthy]
        if not self.cold.is_empty:
            works = [
                replace(work, slowness=work.slowness * self.cold.slowness(item, now))
                for work, item in zip(works, healthy, strict=True)
            ]
        unreported = self._unreported.setdefault(service, UnreportedRequests())
        unreported.record(now)
        expected = unreported.expected(self._others, self._status_age_s)
        if self._groups.has_several(service):
            works, expected = self._groups.choose(service, works, expected, now)
        chosen = self._routing.choose(works, expected)
        if chosen is None:
            return None
        self.cold.record_traffic()
        return self._directory.find(chosen.name)

    def is_drained(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is drained because it delays its group."""
        if upstream.instance not in self._slow_now(now):
            return False
        usable = self._directory.usable(upstream.service, now)
        return upstream not in self._without_slow(upstream.service, usable, len(usable), now)

    def slot_usage(self, service: str, now: float) -> SlotUsage:
        """Return the slots of a service and how many requests occupy or await one."""
        usable = self._accepting(service, now)
        usable = self._without_slow(service, usable, len(usable), now)
        typical_s, _ = self._averages(usable)
        taken = sum(self.running(item.instance) for item in usable)
        slots = sum(self._usable_slots(item, typical_s, now) for item in usable)
        return SlotUsage(max(math.ceil(slots), 1 if usable else 0), taken, typical_s)

    def load_of(self, instances: Collection[str]) -> float:
        """Return the fraction of the slots of some upstreams that all entries occupy."""
        found = [item for name in instances if (item := self._directory.find(name)) is not None]
        slots = sum(item.slots for item in found)
        return sum(self.running(item.instance) for item in found) / slots if slots else 0.0

    def load(self, service: str, instance: str | None, now: float) -> float:
        """Return the fraction of the slots taken: of an upstream's group, if it is one of several.

        Slots that the group must leave free for its passes to be in time count too.
        """
        upstream = None if instance is None else self._directory.find(instance)
        if upstream is None or not self._groups.has_several(service):
            return self.slot_usage(service, now).load
        key = self._groups.key(upstream)
        ranks = self._groups.split(self._directory.usable(service, now)).get(key, [])
        slots = sum(item.slots for item in ranks)
        return sum(self.running(item.instance) for item in ranks) / slots if slots else 0.0

    def typical_s(self, service: str, now: float) -> float:
        """Return the typical duration of a request of a service, 0 while it is unknown."""
        return self._averages(self._accepting(service, now))[0]

    def running(self, instance: str) -> int:
        """Return the requests that all entries have at an upstream."""
        return self.stats(instance).running + self._running_elsewhere(instance)

    def stats(self, instance: str) -> UpstreamStats:
        """Return the statistics of an upstream, created on first use."""
        return self._stats.setdefault(instance, UpstreamStats())

    def running_here(self) -> dict[str, int]:
        """Return the requests that this process has at each upstream that has any."""
        return {name: stats.running for name, stats in self._stats.items() if stats.running}

    def client(self, upstream: Upstream) -> HttpClient:
        """Return the client that pools connections to an upstream."""
        return self._connections.client(upstream)

    def mark_leaving(
        self, incarnation: UpstreamIncarnation, now: float, reported_by: str | None = None
    ) -> None:
        """Record an upstream's notice, to this or another entry, that it is about to stop."""
        if self._directory.mark_leaving(incarnation, now):
            _log.info(
                "upstream announced leaving",
                upstream=incarnation[0],
                started_ms=incarnation[1],
                reported_by=reported_by,
            )

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream has not asked this process for a backoff."""
        return not self._backoff.remaining_s(upstream.incarnation, time.monotonic())

    def record_backoff(self, upstream: Upstream, seconds: float, now: float) -> None:
        """Record for how long an upstream asks this process to send no requests."""
        self._backoff.record(upstream.incarnation, seconds, now)
        _log.info("upstream requested backoff", upstream=upstream.instance, seconds=seconds)

    def record_unreachable(self, instance: str, now: float) -> None:
        """Record that a connection failed or went silent."""
        self._ejection.record_unreachable(instance, now)
        upstream = self._directory.find(instance)
        if upstream is not None:
            self.cold.record_unreachable(upstream, now)

    def is_known_ended(self, upstream: Upstream) -> bool:
        """Return whether an upstream's process was found to have ended."""
        return self._connections.is_known_ended(upstream)

    async def has_ended(self, upstream: Upstream, checks: int = 1) -> bool:
        """Return whether an upstream's process has ended: its host refuses connections to it."""
        return await self._connections.has_ended(upstream, checks)

    def record_result(self, instance: str, failed: bool, seconds: float, now: float) -> None:
        """Record the duration of a request at an upstream and whether it failed."""
        self.stats(instance).record_result(failed, seconds)
        if failed:
            self._ejection.record_failure(instance, now)
        else:
            self._ejection.record_success(instance, now)

    async def forget_departed(self) -> None:
        """Close pooled connections to removed upstreams and drop their statistics."""
        known = set(self._directory.instances)
        incarnations = self._directory.incarnations
        await self._connections.retain(incarnations)
        self._backoff.retain(incarnations)
        self._permits.retain(incarnations)
        departed = [name for name, item in self._stats.items() if name not in known]
        for instance in departed:
            if self._stats[instance].running == 0:
                del self._stats[instance]
        self._ejection.retain(known)

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._connections.close()

    def _accepting(self, service: str, now: float) -> list[Upstream]:
        """Return the upstreams of a service that accept requests, without unavailable groups."""
        return self._groups.open_only(service, self._all_accepting(service, now), now)

    def _all_accepting(self, service: str, now: float) -> list[Upstream]:
        """Return the usable upstreams of a service that have not asked for a backoff."""
        usable = self._directory.usable(service, now)
        return [item for item in usable if not self._backoff.remaining_s(item.incarnation, now)]

    def _wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the seconds until an upstream accepts requests, as far as this entry knows."""
        backoff_s = self._backoff.remaining_s(upstream.incarnation, now)
        return max(backoff_s, self._permits.wait_s(upstream, now))

    def _usable_slots(self, upstream: Upstream, typical_s: float, now: float) -> float:
        """Return how many slots of an upstream its rate limit fills and its passes allow."""
        slots: float = upstream.slots
        if self._groups.has_several(upstream.service):
            slots *= self._groups.fraction(upstream, now)
        rate = self._permits.rate(upstream)
        if rate is None or not typical_s:
            return slots
        return min(slots, rate * typical_s)

    def _without_slow(
        self, service: str, upstreams: Collection[Upstream], size: int, now: float
    ) -> list[Upstream]:
        """Return the upstreams without the ranks that delay their group, if those are few.

        ``size`` is that of the group if the service has only one.
        """
        slow = self._slow_now(now)
        if not slow:
            return list(upstreams)
        if self._groups.has_several(service):
            drained = self._groups.ranks_to_drain(upstreams, slow)
        else:
            reported = {item.instance: slow.get(item.instance, 1.0) for item in upstreams}
            drained = ranks_to_drain(reported, size)
        return [item for item in upstreams if item.instance not in drained]

    def _averages(self, upstreams: Collection[Upstream]) -> tuple[float, float]:
        """Return the mean duration and failure rate of the upstreams that have served."""
        return average_stats([self.stats(item.instance) for item in upstreams])

    def _work(self, upstream: Upstream, typical_s: float, failure_rate: float) -> UpstreamWork:
        """Return the work of an upstream as routing's input."""
        stats = self.stats(upstream.instance)
        slowness = stats.typical_s / typical_s if typical_s and stats.typical_s else 1.0
        return UpstreamWork(
            name=upstream.instance,
            failure_domain=upstream.failure_domain,
            slots=upstream.slots,
            running=self.running(upstream.instance),
            unread_tokens=stats.unread_tokens,
            slowness=max(0.5, min(8.0, slowness)),
            excess_failure_rate=max(0.0, stats.failure_rate - failure_rate),
        )
