"""The model groups of the services as the fleet sees them: which are open, and which is probed."""

from collections.abc import Callable, Collection, Sequence

from bluebellrun.admission import GroupGates
from bluebellrun.gateway._models import Upstream
from bluebellrun.routing import GroupKey, GroupTable, group_key


class FleetGroups:
    """Split the upstreams of services with several groups; other services are not touched."""

    def __init__(self, table: GroupTable, running_elsewhere: Callable[[str], int]) -> None:
        self._table = table
        self._running_elsewhere = running_elsewhere
        self._gates: dict[str, GroupGates] = {}

    @property
    def table(self) -> GroupTable:
        """Return the table of the groups."""
        return self._table

    def set_gates(self, service: str, gates: GroupGates) -> None:
        """Set the gates that tell which groups of a service are unavailable."""
        self._gates[service] = gates

    def has_several(self, service: str) -> bool:
        """Return whether a service has several known groups."""
        return bool(self._table.groups(service))

    def key(self, upstream: Upstream) -> GroupKey:
        """Return the key of the group of an upstream whose service has several."""
        return group_key(self._table, upstream.instance)

    def split(self, upstreams: Collection[Upstream]) -> dict[GroupKey, list[Upstream]]:
        """Return the upstreams of a service with several groups by group."""
        groups: dict[GroupKey, list[Upstream]] = {}
        for upstream in upstreams:
            groups.setdefault(self.key(upstream), []).append(upstream)
        return groups

    def unavailable(self, service: str, now: float) -> frozenset[GroupKey]:
        """Return the groups of a service that accept no work."""
        gates = self._gates.get(service)
        return frozenset() if gates is None else gates.unavailable(now)

    def unavailable_count(self, service: str, now: float) -> int:
        """Return how many groups of a service accept no work; a single group counts as one."""
        gates = self._gates.get(service)
        if gates is None:
            return 0
        if self.has_several(service):
            return len(gates.unavailable(now))
        return int(gates.is_unavailable(now))

    def open_only(self, service: str, upstreams: list[Upstream], now: float) -> list[Upstream]:
        """Return the upstreams whose group accepts work, all of them if none does."""
        closed = self.unavailable(service, now)
        if not closed:
            return upstreams
        return [item for item in upstreams if self.key(item) not in closed] or upstreams

    def open_or_probed(
        self, service: str, upstreams: list[Upstream], is_first: bool, now: float
    ) -> list[Upstream]:
        """Return the upstreams that one request may be sent to, those of a group that it probes.

        Only requests at their first upstream are probes, as a refused one needs a retry.
        """
        closed = self.unavailable(service, now)
        if not closed:
            return upstreams
        groups = self.split(upstreams)
        gates = self._gates[service]
        candidates = sorted(key for key in groups if key in closed)
        if is_first and candidates:
            probed = gates.take_probe(candidates, lambda key: self._hinted(groups[key]), now)
            if probed is not None:
                return groups[probed]
        return [item for item in upstreams if self.key(item) not in closed] or upstreams

    def _hinted(self, ranks: Sequence[Upstream]) -> bool:
        """Return whether another entry has requests at a rank of a group."""
        return any(self._running_elsewhere(item.instance) for item in ranks)
