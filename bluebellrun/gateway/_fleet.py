"""The upstreams that this process uses: their connections, work in flight and health."""

import math
import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from random import Random

import curio

from bluebellrun.admission import SlotUsage
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._limit_permits import LimitPermits
from bluebellrun.gateway._models import Upstream, UpstreamIncarnation
from bluebellrun.gateway._peers import PeerTable
from bluebellrun.http import ClientTimeouts, ConnectError, HttpClient, connect
from bluebellrun.routing import (
    LeastWorkRouting,
    OutlierEjection,
    RequestedBackoff,
    UnreportedRequests,
    UpstreamWork,
    ranks_to_drain,
)
from bluebellrun.telemetry import get_logger

_log = get_logger("fleet")

# Connecting within a region takes milliseconds; a lost packet costs a second.
CONNECT_TIMEOUT_S = 0.4
# A process that ends closes its connections and its listening socket within milliseconds of each
# other; one that still accepts connections may be checked again after this time.
END_CHECK_INTERVAL_S = 0.05
# Bound on the duration of an answer where neither caller nor route sets one.
MAX_ANSWER_S = 600.0
# Weight of the previous value in the moving averages of durations and failures.
SMOOTHING = 0.9


@dataclass(slots=True)
class UpstreamStats:
    """This process's work in flight at one upstream and its results; times in seconds."""

    running: int = 0
    unread_tokens: int = 0
    typical_s: float = 0.0
    failure_rate: float = 0.0


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
    ) -> None:
        self._directory = directory
        self._routing = LeastWorkRouting(random, failure_domain)
        self._ejection = OutlierEjection()
        self._backoff = RequestedBackoff()
        self._permits = permits or LimitPermits(PeerTable(""))
        self._clients: dict[UpstreamIncarnation, HttpClient] = {}
        self._stats: dict[str, UpstreamStats] = {}
        self._unreported: dict[str, UnreportedRequests] = {}
        self._ended: set[UpstreamIncarnation] = set()
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

    def choose(
        self, service: str, excluded: Collection[str], now: float, unlimited: bool = False
    ) -> Upstream | None:
        """Return the upstream to send a request to, or none when there is none.

        With ``unlimited``, upstreams that limit their rate are left out.
        """
        usable = self.available(service, now)
        candidates = [upstream for upstream in usable if upstream.instance not in excluded]
        if unlimited:
            candidates = [item for item in candidates if self._permits.rate(item) is None]
        names = [upstream.instance for upstream in candidates]
        ejected = self._ejection.ejected(names, now)
        healthy = [item for item in candidates if item.instance not in ejected] or candidates
        healthy = self._without_slow(healthy, len(usable), now)
        typical_s, failure_rate = self._averages(healthy)
        works = [self._work(item, typical_s, failure_rate) for item in healthy]
        if not self.cold.is_empty:
            works = [
                replace(work, slowness=work.slowness * self.cold.slowness(item, now))
                for work, item in zip(works, healthy, strict=True)
            ]
        unreported = self._unreported.setdefault(service, UnreportedRequests())
        unreported.record(now)
        chosen = self._routing.choose(works, unreported.expected(self._others, self._status_age_s))
        if chosen is None:
            return None
        self.cold.record_traffic()
        return self._directory.find(chosen.name)

    def is_drained(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream is drained because it delays its group."""
        if upstream.instance not in self._slow_now(now):
            return False
        usable = self._directory.usable(upstream.service, now)
        return upstream not in self._without_slow(usable, len(usable), now)

    def slot_usage(self, service: str, now: float) -> SlotUsage:
        """Return the slots of a service and how many requests occupy or await one."""
        usable = self._accepting(service, now)
        usable = self._without_slow(usable, len(usable), now)
        typical_s, _ = self._averages(usable)
        taken = sum(self.running(item.instance) for item in usable)
        slots = sum(self._usable_slots(item, typical_s) for item in usable)
        return SlotUsage(max(math.ceil(slots), 1 if usable else 0), taken, typical_s)

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
        client = self._clients.get(upstream.incarnation)
        if client is None:
            timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, MAX_ANSWER_S, MAX_ANSWER_S)
            client = HttpClient(upstream.address, timeouts)
            self._clients[upstream.incarnation] = client
        return client

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
        return upstream.incarnation in self._ended

    async def has_ended(self, upstream: Upstream, checks: int = 1) -> bool:
        """Return whether an upstream's process has ended: its host refuses connections to it."""
        for check in range(checks):
            if check:
                await curio.sleep(END_CHECK_INTERVAL_S)
            if upstream.incarnation in self._ended:
                return True
            try:
                sock = await connect(upstream.address, CONNECT_TIMEOUT_S)
            except ConnectError as error:
                self.record_unreachable(upstream.instance, time.monotonic())
                if error.refused:
                    self._ended.add(upstream.incarnation)
                return error.refused
            await sock.close()
        return False

    def record_result(self, instance: str, failed: bool, seconds: float, now: float) -> None:
        """Record the duration of a request at an upstream and whether it failed."""
        stats = self.stats(instance)
        stats.failure_rate = SMOOTHING * stats.failure_rate + (1 - SMOOTHING) * failed
        if failed:
            self._ejection.record_failure(instance, now)
            return
        self._ejection.record_success(instance, now)
        if stats.typical_s == 0.0:
            stats.typical_s = seconds
        stats.typical_s = SMOOTHING * stats.typical_s + (1 - SMOOTHING) * seconds

    async def forget_departed(self) -> None:
        """Close pooled connections to removed upstreams and drop their statistics."""
        known = set(self._directory.instances)
        incarnations = self._directory.incarnations
        for incarnation in [
            incarnation for incarnation in self._clients if incarnation not in incarnations
        ]:
            await self._clients.pop(incarnation).close()
        self._backoff.retain(incarnations)
        self._permits.retain(incarnations)
        self._ended &= incarnations
        departed = [name for name, item in self._stats.items() if name not in known]
        for instance in departed:
            if self._stats[instance].running == 0:
                del self._stats[instance]
        self._ejection.retain(known)

    async def close(self) -> None:
        """Close all pooled connections."""
        for client in self._clients.values():
            await client.close()

    def _accepting(self, service: str, now: float) -> list[Upstream]:
        """Return the usable upstreams of a service that have not asked for a backoff."""
        usable = self._directory.usable(service, now)
        return [item for item in usable if not self._backoff.remaining_s(item.incarnation, now)]

    def _wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the seconds until an upstream accepts requests, as far as this entry knows."""
        backoff_s = self._backoff.remaining_s(upstream.incarnation, now)
        return max(backoff_s, self._permits.wait_s(upstream, now))

    def _usable_slots(self, upstream: Upstream, typical_s: float) -> float:
        """Return how many slots of an upstream its rate limit fills."""
        rate = self._permits.rate(upstream)
        if rate is None or not typical_s:
            return upstream.slots
        return min(upstream.slots, rate * typical_s)

    def _without_slow(
        self, upstreams: Collection[Upstream], group_size: int, now: float
    ) -> list[Upstream]:
        """Return the upstreams without the ranks that delay their group, if those are few."""
        slow = self._slow_now(now)
        if not slow:
            return list(upstreams)
        reported = {item.instance: slow.get(item.instance, 1.0) for item in upstreams}
        drained = ranks_to_drain(reported, group_size)
        return [item for item in upstreams if item.instance not in drained]

    def _averages(self, upstreams: Collection[Upstream]) -> tuple[float, float]:
        """Return the mean duration and failure rate of the upstreams that have served."""
        served = [s for u in upstreams if (s := self.stats(u.instance)).typical_s > 0]
        if not served:
            return 0.0, 0.0
        typical_s = sum(item.typical_s for item in served) / len(served)
        return typical_s, sum(item.failure_rate for item in served) / len(served)

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
