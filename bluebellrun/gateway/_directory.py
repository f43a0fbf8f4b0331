"""Directory of the upstreams that may be sent work, from the store's registrations.

Pure; times in seconds. A registration that lapsed during a store outage may be written again, so
its upstream stays in use for a short time after the outage. One removed while the store is healthy
is dropped immediately. Upstreams of evacuated failure domains stay registered and get no work.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace

from bluebellrun.core import Address
from bluebellrun.gateway._evacuations import Evacuations
from bluebellrun.gateway._models import Upstream, UpstreamIncarnation

# Registrations that lapsed in a store outage are written again within two seconds of its end.
LAPSE_GRACE_S = 2.0
# Incarnations that announced that they leave; the oldest are dropped first. No fleet replaces this
# many upstreams while one process runs.
MAX_LEAVING_RECORDS = 8_192
# An upstream that is gone misses its heartbeats and is removed again within this time.
OUTDATED_S = 5.0
# How long other entries are notified of a leaving upstream; the store notifies them in seconds.
LEAVING_NOTICE_S = 3.0


class UpstreamDirectory:
    """Upstreams by instance, with those that are leaving or whose registration has lapsed."""

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}
        self._lapsed: dict[str, float] = {}
        self._announced_leaving: dict[UpstreamIncarnation, float] = {}
        self._departed: dict[UpstreamIncarnation, None] = {}
        # Registrations of an older copy of the store, and when they apply.
        self._revived: dict[str, tuple[Upstream, float]] = {}
        self._evacuations = Evacuations()
        self._by_service: dict[str, list[Upstream]] = {}
        self._evacuated_services: set[str] = set()

    @property
    def instances(self) -> Iterable[str]:
        """Return the instances that are registered or have lapsed recently."""
        return self._upstreams.keys()

    @property
    def upstreams(self) -> Collection[Upstream]:
        """Return the upstreams that are registered or have lapsed recently."""
        return self._upstreams.values()

    @property
    def incarnations(self) -> frozenset[UpstreamIncarnation]:
        """Return the incarnations that are registered or have lapsed recently."""
        return frozenset(upstream.incarnation for upstream in self._upstreams.values())

    def find(self, instance: str) -> Upstream | None:
        """Return an upstream by its instance, or none."""
        return self._upstreams.get(instance)

    def of_service(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service, also those that are leaving or lapsed."""
        return [item for item in self._upstreams.values() if item.service == service]

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Return the upstreams of a service that may be sent work."""
        if self._lapsed or self._revived:
            self.expire(now)
        return self._by_service.get(service, [])

    def in_domain(self, domain: str) -> list[Upstream]:
        """Return all upstreams of a failure domain."""
        return [item for item in self._upstreams.values() if item.failure_domain == domain]

    @property
    def evacuated_domains(self) -> Collection[str]:
        """Return the failure domains whose upstreams get no requests."""
        return self._evacuations.domains

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether a chosen upstream may still be sent a request.

        A domain may be evacuated while a request waits for a permit or a connection.
        """
        return upstream.failure_domain not in self._evacuations.domains

    def is_evacuated(self, service: str) -> bool:
        """Return whether only evacuations keep a service without upstreams."""
        return service in self._evacuated_services

    def evacuate(self, domain: str, revision: int) -> bool:
        """Leave out the upstreams of a failure domain; return whether they were in use."""
        is_new = self._evacuations.put(domain, revision)
        self._index()
        return is_new

    def withdraw_evacuation(self, domain: str) -> bool:
        """Use the upstreams of a failure domain again; return whether it was evacuated."""
        was_evacuated = self._evacuations.withdraw(domain)
        self._index()
        return was_evacuated

    def replace_evacuations(
        self, revisions: Mapping[str, int], now: float, restored: bool = False
    ) -> tuple[list[str], list[str]]:
        """Replace all evacuations; return the domains where they begin and where they end."""
        changes = self._evacuations.replace_all(revisions, now, restored)
        self._index()
        return changes

    def expire_evacuations(self, now: float) -> list[str]:
        """Withdraw evacuations that a restored store lacks for long; return their domains."""
        expired = self._evacuations.expire(now)
        if expired:
            self._index()
        return expired

    def replace_all(
        self,
        records: Mapping[str, Upstream],
        now: float,
        outage_ended_at: float | None = None,
        restored: bool = False,
    ) -> None:
        """Replace all registrations; those not in ``records`` were removed or have lapsed.

        With ``restored``, they are from an older copy of the store. An upstream that has left or
        is leaving by a later registration gets no work until it registers again, or is still
        registered after OUTDATED_S.
        """
        outdated = self._outdated(records.values()) if restored else []
        for instance in [name for name in self._upstreams if name not in records]:
            self.remove(instance, outage_ended_at)
        for upstream in records.values():
            self.put(upstream)
        for upstream in outdated:
            self.put(replace(upstream, leaving=True))
            self._revived[upstream.instance] = (upstream, now + OUTDATED_S)

    def put(self, upstream: Upstream) -> None:
        """Apply a registration; it does not revoke the upstream's own notice that it leaves."""
        self._lapsed.pop(upstream.instance, None)
        self._revived.pop(upstream.instance, None)
        if not upstream.leaving:
            self._departed.pop(upstream.incarnation, None)
        if upstream.incarnation in self._announced_leaving:
            upstream = replace(upstream, leaving=True)
        self._upstreams[upstream.instance] = upstream
        self._index()

    def remove(self, instance: str, outage_ended_at: float | None = None) -> None:
        """Apply the removal of a registration.

        It may have lapsed in an outage of the store if that ended at ``outage_ended_at``.
        """
        known = self._upstreams.get(instance)
        if known is None:
            return
        if outage_ended_at is not None and not known.leaving:
            self._lapsed.setdefault(instance, outage_ended_at + LAPSE_GRACE_S)
            return
        self._drop(instance)
        self._index()

    def recently_leaving(self, now: float) -> list[UpstreamIncarnation]:
        """Return the incarnations that recently announced that they leave."""
        return [
            incarnation
            for incarnation, at in self._announced_leaving.items()
            if now - at < LEAVING_NOTICE_S
        ]

    def mark_leaving(self, incarnation: UpstreamIncarnation, now: float) -> bool:
        """Record an upstream's own notice that it leaves; return whether that is new.

        A later incarnation under the same instance is not affected.
        """
        if incarnation in self._announced_leaving:
            return False
        self._announced_leaving[incarnation] = now
        if len(self._announced_leaving) > MAX_LEAVING_RECORDS:
            del self._announced_leaving[next(iter(self._announced_leaving))]
        known = self._upstreams.get(incarnation[0])
        if known is not None and known.incarnation == incarnation:
            self._upstreams[known.instance] = replace(known, leaving=True)
            self._index()
        return True

    def mark_replaced(self, incarnation: UpstreamIncarnation) -> None:
        """Drop an upstream's incarnation because another upstream has its address.

        Its registration lapses when its heartbeats end; if it is written again, it is applied. A
        later incarnation under the same instance is not affected.
        """
        known = self._upstreams.get(incarnation[0])
        if known is not None and known.incarnation == incarnation:
            self._drop(known.instance)
            self._index()

    def expire(self, now: float) -> list[str]:
        """Drop the upstreams whose registration did not come back; return their instances.

        Registrations of an older copy of the store that are still there apply now.
        """
        for upstream, deadline in list(self._revived.values()):
            if now >= deadline:
                self.put(upstream)
        expired = [name for name, deadline in self._lapsed.items() if now >= deadline]
        for instance in expired:
            self._drop(instance)
        if expired:
            self._index()
        return expired

    def _outdated(self, records: Iterable[Upstream]) -> list[Upstream]:
        """Return the registrations of upstreams that have left or are leaving."""
        leaving = {item.incarnation for item in self._upstreams.values() if item.leaving}
        gone = leaving | self._departed.keys()
        return [item for item in records if not item.leaving and item.incarnation in gone]

    def _drop(self, instance: str) -> None:
        """Remove an upstream and its lapse deadline."""
        dropped = self._upstreams.pop(instance, None)
        self._lapsed.pop(instance, None)
        self._revived.pop(instance, None)
        if dropped is not None:
            self._departed[dropped.incarnation] = None
            if len(self._departed) > MAX_LEAVING_RECORDS:
                del self._departed[next(iter(self._departed))]

    def _index(self) -> None:
        """Rebuild the index of the upstreams that accept work, by service.

        Of several incarnations of a service at one address only the latest is used: the
        registrations of those started before it are about to expire.
        """
        latest: dict[tuple[str, Address], int] = {}
        for upstream in self._upstreams.values():
            endpoint = (upstream.service, upstream.address)
            latest[endpoint] = max(upstream.started_ms, latest.get(endpoint, 0))
        self._by_service = {}
        evacuated: set[str] = set()
        for upstream in self._upstreams.values():
            is_latest = upstream.started_ms >= latest[upstream.service, upstream.address]
            if not is_latest or upstream.leaving:
                continue
            if upstream.failure_domain in self._evacuations.domains:
                evacuated.add(upstream.service)
            else:
                self._by_service.setdefault(upstream.service, []).append(upstream)
        self._evacuated_services = evacuated - self._by_service.keys()
