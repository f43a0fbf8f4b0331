"""The upstreams that this process sends to: their connections, work in flight and health."""

import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from random import Random

from bluebellrun.admission import Places
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._models import Upstream, UpstreamIncarnation
from bluebellrun.http import ClientTimeouts, HttpClient
from bluebellrun.routing import (
    LeastWorkRouting,
    OutlierEjection,
    RequestedBackoff,
    UnseenRequests,
    UpstreamWork,
    ranks_to_empty,
)
from bluebellrun.telemetry import get_logger

_log = get_logger("fleet")

# A connection within a region is made in milliseconds; a lost packet costs a second.
CONNECT_TIMEOUT_S = 0.4
# The longest an answer may take where neither caller nor route bounds it.
LONGEST_ANSWER_S = 600.0
MEMORY = 0.9


@dataclass(slots=True)
class UpstreamStats:
    """What this process has under way at one upstream, and how it has fared; times in seconds."""

    running: int = 0
    unread_tokens: int = 0
    typical_s: float = 0.0
    failing: float = 0.0


class Fleet:
    """Choose upstreams and keep account of the work they have from this process."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        failure_domain: str,
        random: Random,
        running_elsewhere: Callable[[str], int] = lambda instance: 0,
        slow_now: Callable[[float], Mapping[str, float]] = lambda now: {},
    ) -> None:
        self._directory = directory
        self._routing = LeastWorkRouting(random, failure_domain)
        self._ejection = OutlierEjection()
        self._backoff = RequestedBackoff()
        self._clients: dict[UpstreamIncarnation, HttpClient] = {}
        self._stats: dict[str, UpstreamStats] = {}
        self._unseen: dict[str, UnseenRequests] = {}
        self._others = 0
        self._news_age_s = 0.0
        self._running_elsewhere = running_elsewhere
        self._slow_now = slow_now

    @property
    def directory(self) -> UpstreamDirectory:
        """Return the directory of upstreams."""
        return self._directory

    def set_other_entries(self, entries: int, news_age_s: float) -> None:
        """Take it that so many other entries send too, and are heard so many seconds late."""
        self._others = entries
        self._news_age_s = news_age_s

    def available(self, service: str, now: float) -> list[Upstream]:
        """Return the upstreams of a service that take requests of this process now."""
        usable = self._directory.usable(service, now)
        return [item for item in usable if not self._backoff.left_s(item.incarnation, now)]

    def available_in_s(self, service: str, now: float) -> float:
        """Return the seconds until an upstream of a service takes requests, 0 if one does."""
        usable = self._directory.usable(service, now)
        return min((self._backoff.left_s(item.incarnation, now) for item in usable), default=0.0)

    def choose(self, service: str, excluded: Collection[str], now: float) -> Upstream | None:
        """Return the upstream to send a request to, or none when there is none."""
        usable = self.available(service, now)
        candidates = [upstream for upstream in usable if upstream.instance not in excluded]
        names = [upstream.instance for upstream in candidates]
        ejected = self._ejection.ejected(names, now)
        sound = [item for item in candidates if item.instance not in ejected] or candidates
        sound = self._without_slow(sound, len(usable), now)
        typical_s, failing = self._averages(sound)
        works = [self._work(item, typical_s, failing) for item in sound]
        unseen = self._unseen.setdefault(service, UnseenRequests())
        unseen.note(now)
        chosen = self._routing.choose(works, unseen.expected(self._others, self._news_age_s))
        return None if chosen is None else self._directory.find(chosen.name)

    def is_drained(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream holds up its group and gets no more work."""
        if upstream.instance not in self._slow_now(now):
            return False
        usable = self._directory.usable(upstream.service, now)
        return upstream not in self._without_slow(usable, len(usable), now)

    def slot_usage(self, service: str, now: float) -> Places:
        """Return the places of a service and how many requests have or await one."""
        usable = self.available(service, now)
        usable = self._without_slow(usable, len(usable), now)
        typical_s, _ = self._averages(usable)
        taken = sum(self.running(item.instance) for item in usable)
        return Places(sum(item.slots for item in usable), taken, typical_s)

    def typical_s(self, service: str, now: float) -> float:
        """Return how long a request of a service usually takes, 0 while that is not known."""
        return self._averages(self.available(service, now))[0]

    def running(self, instance: str) -> int:
        """Return the requests that all entries have at an upstream."""
        return self.stats(instance).running + self._running_elsewhere(instance)

    def stats(self, instance: str) -> UpstreamStats:
        """Return the account of an upstream."""
        return self._stats.setdefault(instance, UpstreamStats())

    def running_here(self) -> dict[str, int]:
        """Return the requests that this process has at each upstream that has any."""
        return {name: stats.running for name, stats in self._stats.items() if stats.running}

    def client(self, upstream: Upstream) -> HttpClient:
        """Return the client that keeps connections to an upstream."""
        client = self._clients.get(upstream.incarnation)
        if client is None:
            timeouts = ClientTimeouts(CONNECT_TIMEOUT_S, LONGEST_ANSWER_S, LONGEST_ANSWER_S)
            client = HttpClient(upstream.address, timeouts)
            self._clients[upstream.incarnation] = client
        return client

    def mark_leaving(
        self, incarnation: UpstreamIncarnation, now: float, reported_by: str | None = None
    ) -> None:
        """Note that an upstream said that it is about to stop, here or to another entry."""
        if self._directory.mark_leaving(incarnation, now):
            _log.info(
                "upstream leaves",
                upstream=incarnation[0],
                started_ms=incarnation[1],
                reported_by=reported_by,
            )

    def accepts_requests(self, upstream: Upstream) -> bool:
        """Return whether an upstream takes requests of this process, as far as it said."""
        return not self._backoff.left_s(upstream.incarnation, time.monotonic())

    def record_backoff(self, upstream: Upstream, seconds: float, now: float) -> None:
        """Note for how long an upstream wants no requests of this process."""
        self._backoff.note(upstream.incarnation, seconds, now)
        _log.info("upstream wants no requests", upstream=upstream.instance, seconds=seconds)

    def record_unreachable(self, instance: str, now: float) -> None:
        """Note that no connection could be made, or that one went silent."""
        self._ejection.note_unreachable(instance, now)

    def record_result(self, instance: str, failed: bool, seconds: float, now: float) -> None:
        """Note how an upstream fared with a request."""
        stats = self.stats(instance)
        stats.failing = MEMORY * stats.failing + (1 - MEMORY) * failed
        if failed:
            self._ejection.note_failure(instance, now)
            return
        self._ejection.note_success(instance, now)
        if stats.typical_s == 0.0:
            stats.typical_s = seconds
        stats.typical_s = MEMORY * stats.typical_s + (1 - MEMORY) * seconds

    async def forget_departed(self) -> None:
        """Close the kept connections to upstreams that are gone and drop their accounts."""
        known = set(self._directory.instances)
        incarnations = self._directory.incarnations
        for incarnation in [
            incarnation for incarnation in self._clients if incarnation not in incarnations
        ]:
            await self._clients.pop(incarnation).close()
        self._backoff.keep(incarnations)
        gone = [name for name, item in self._stats.items() if name not in known]
        for instance in gone:
            if self._stats[instance].running == 0:
                del self._stats[instance]
        self._ejection.keep(known)

    async def close(self) -> None:
        """Close all kept connections."""
        for client in self._clients.values():
            await client.close()

    def _without_slow(
        self, upstreams: Collection[Upstream], group_size: int, now: float
    ) -> list[Upstream]:
        """Leave out the ranks that hold up their group, if they are few."""
        slow = self._slow_now(now)
        if not slow:
            return list(upstreams)
        told = {item.instance: slow.get(item.instance, 1.0) for item in upstreams}
        emptied = ranks_to_empty(told, group_size)
        return [item for item in upstreams if item.instance not in emptied]

    def _averages(self, upstreams: Collection[Upstream]) -> tuple[float, float]:
        """Return the usual time and share of failures over upstreams that have served."""
        served = [s for u in upstreams if (s := self.stats(u.instance)).typical_s > 0]
        if not served:
            return 0.0, 0.0
        typical_s = sum(item.typical_s for item in served) / len(served)
        return typical_s, sum(item.failing for item in served) / len(served)

    def _work(self, upstream: Upstream, typical_s: float, failing: float) -> UpstreamWork:
        """Return what routing sees of an upstream."""
        stats = self.stats(upstream.instance)
        slowness = stats.typical_s / typical_s if typical_s and stats.typical_s else 1.0
        return UpstreamWork(
            name=upstream.instance,
            failure_domain=upstream.failure_domain,
            slots=upstream.slots,
            running=self.running(upstream.instance),
            unread_tokens=stats.unread_tokens,
            slowness=max(0.5, min(8.0, slowness)),
            failing=max(0.0, stats.failing - failing),
        )
