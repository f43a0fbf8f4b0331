"""Which upstreams may be sent work, as the store's registrations tell. Pure; times in seconds.

A registration that lapsed while the store was in trouble may come back: its upstream goes on
being used for a short while. One that is removed in calm times is gone at once.
"""

from collections.abc import Iterable, Mapping

from bluebellrun.gateway._models import Upstream

# Registrations that lapsed with the store are back within two seconds of its return.
LAPSED_KEPT_S = 2.0


class UpstreamDirectory:
    """Upstreams by instance, with those that are leaving or whose registration has lapsed."""

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}
        self._lapsed: dict[str, float] = {}
        self._by_service: dict[str, list[Upstream]] = {}

    @property
    def instances(self) -> Iterable[str]:
        """Return the instances that are registered or lapsed a moment ago."""
        return self._upstreams.keys()

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
        """Take a registration."""
        self._lapsed.pop(upstream.instance, None)
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

    def note_replaced(self, instance: str) -> None:
        """Take it that an upstream's life is over: another one has its address.

        Its registration lapses with its heartbeats; should it be written again, it is taken.
        """
        if instance in self._upstreams:
            self._drop(instance)
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
        """Sort the upstreams that take work by service."""
        self._by_service = {}
        for upstream in self._upstreams.values():
            if not upstream.leaving:
                self._by_service.setdefault(upstream.service, []).append(upstream)
