"""Which upstreams may be sent work, as the store's registrations tell. Pure; times in seconds.

A registration that lapsed while the store was in trouble may come back: its upstream goes on
being used for a short while. One that is removed in calm times is gone at once.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace

from bluebellrun.core import Address
from bluebellrun.gateway._models import Upstream, UpstreamIncarnation

# Registrations that lapsed with the store are back within two seconds of its return.
LAPSED_KEPT_S = 2.0
# Lives that said themselves that they leave; the oldest are forgotten first. No fleet replaces as
# many upstreams while one process runs.
MOST_LEAVING_KEPT = 8_192
# Other entries are told of a leaving upstream for so long; the store tells them within seconds.
LEAVING_TOLD_S = 3.0


class UpstreamDirectory:
    """Upstreams by instance, with those that are leaving or whose registration has lapsed."""

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}
        self._lapsed: dict[str, float] = {}
        self._said_leaving: dict[UpstreamIncarnation, float] = {}
        self._by_service: dict[str, list[Upstream]] = {}

    @property
    def instances(self) -> Iterable[str]:
        """Return the instances that are registered or lapsed a moment ago."""
        return self._upstreams.keys()

    @property
    def incarnations(self) -> frozenset[UpstreamIncarnation]:
        """Return the incarnations that are registered or lapsed a moment ago."""
        return frozenset(upstream.incarnation for upstream in self._upstreams.values())

    def find(self, instance: str) -> Upstream | None:
        """Return an upstream by its instance, or none."""
        return self._upstreams.get(instance)

    def of_service(self, service: str) -> list[Upstream]:
        """Return all upstreams of a service, also those that are leaving or lapsed."""
        return [item for item in self._upstreams.values() if item.service == service]

    def usable(self, service: str, now: float) -> list[Upstream]:
        """Return the upstreams of a service that may be sent work."""
        if self._lapsed:
            self.expire(now)
        return self._by_service.get(service, [])

    def replace_all(
        self, records: Mapping[str, Upstream], now: float, store_in_trouble: bool
    ) -> None:
        """Take all registrations as read at once; what is not among them is lapsed or gone."""
        for instance in [name for name in self._upstreams if name not in records]:
            self.remove(instance, now, store_in_trouble)
        for upstream in records.values():
            self.put(upstream)

    def put(self, upstream: Upstream) -> None:
        """Take a registration. That it is ready does not undo what its upstream said itself."""
        self._lapsed.pop(upstream.instance, None)
        if upstream.incarnation in self._said_leaving:
            upstream = replace(upstream, leaving=True)
        self._upstreams[upstream.instance] = upstream
        self._index()

    def remove(self, instance: str, now: float, store_in_trouble: bool) -> None:
        """Take the removal of a registration."""
        known = self._upstreams.get(instance)
        if known is None:
            return
        if store_in_trouble and not known.leaving:
            self._lapsed.setdefault(instance, now + LAPSED_KEPT_S)
            return
        self._drop(instance)
        self._index()

    def leaving_lately(self, now: float) -> list[UpstreamIncarnation]:
        """Return the incarnations that were found to leave a moment ago."""
        return [
            incarnation
            for incarnation, at in self._said_leaving.items()
            if now - at < LEAVING_TOLD_S
        ]

    def mark_leaving(self, incarnation: UpstreamIncarnation, now: float) -> bool:
        """Take it that an upstream said itself that it leaves; return whether that is new.

        A later incarnation under the same instance is not bound by it.
        """
        if incarnation in self._said_leaving:
            return False
        self._said_leaving[incarnation] = now
        if len(self._said_leaving) > MOST_LEAVING_KEPT:
            del self._said_leaving[next(iter(self._said_leaving))]
        known = self._upstreams.get(incarnation[0])
        if known is not None and known.incarnation == incarnation:
            self._upstreams[known.instance] = replace(known, leaving=True)
            self._index()
        return True

    def mark_replaced(self, incarnation: UpstreamIncarnation) -> None:
        """Take it that an upstream's incarnation is over: another one has its address.

        Its registration lapses with its heartbeats; should it be written again, it is taken. A
        later incarnation under the same instance goes on.
        """
        known = self._upstreams.get(incarnation[0])
        if known is not None and known.incarnation == incarnation:
            self._drop(known.instance)
            self._index()

    def expire(self, now: float) -> list[str]:
        """Drop the upstreams whose registration did not come back; return their instances."""
        over = [name for name, until in self._lapsed.items() if now >= until]
        for instance in over:
            self._drop(instance)
        if over:
            self._index()
        return over

    def _drop(self, instance: str) -> None:
        """Forget an upstream."""
        self._upstreams.pop(instance, None)
        self._lapsed.pop(instance, None)

    def _index(self) -> None:
        """Sort the upstreams that take work by service.

        Of several incarnations of a service at one address only the latest is used: the
        registrations of those started before it are about to expire.
        """
        latest: dict[tuple[str, Address], int] = {}
        for upstream in self._upstreams.values():
            place = (upstream.service, upstream.address)
            latest[place] = max(upstream.started_ms, latest.get(place, 0))
        self._by_service = {}
        for upstream in self._upstreams.values():
            is_latest = upstream.started_ms >= latest[upstream.service, upstream.address]
            if is_latest and not upstream.leaving:
                self._by_service.setdefault(upstream.service, []).append(upstream)
