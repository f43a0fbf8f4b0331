"""The model groups of the services as the fleet sees them: which are open, and which is probed."""

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random

from bluebellrun.admission import GroupGates, GroupPauses
from bluebellrun.gateway._models import Upstream
from bluebellrun.routing import (
    GroupKey,
    GroupTable,
    GroupWork,
    PassTerms,
    UpstreamWork,
    choose_group,
    group_key,
    group_label,
    ranks_to_drain,
)
from bluebellrun.telemetry import get_logger

_log = get_logger("groups")

# The slots of a service are read several times for each request, the pauses change them less often.
FRACTION_VALIDITY_S = 0.02


class FleetGroups:
    """Split the upstreams of services with several groups; other services are not touched."""

    def __init__(
        self,
        table: GroupTable,
        failure_domain: str,
        random: Random,
        running_elsewhere: Callable[[str], int],
    ) -> None:
        self._table = table
        self._failure_domain = failure_domain
        self._random = random
        self._running_elsewhere = running_elsewhere
        self._gates: dict[str, GroupGates] = {}
        self._pauses: dict[str, GroupPauses | None] = {}
        self._logged: dict[str, frozenset[GroupKey]] = {}
        self._terms: dict[str, PassTerms] = {}
        self._fractions: dict[str, tuple[float, dict[GroupKey, float]]] = {}

    @property
    def table(self) -> GroupTable:
        """Return the table of the groups."""
        return self._table

    def set_limits(
        self,
        service: str,
        gates: GroupGates,
        pauses: GroupPauses | None = None,
        terms: PassTerms | None = None,
    ) -> None:
        """Set what tells which groups of a service are unavailable, and how long passes take."""
        self._gates[service] = gates
        self._pauses[service] = pauses
        self._terms[service] = terms or PassTerms()

    def has_several(self, service: str) -> bool:
        """Return whether a service has several known groups."""
        return bool(self._table.groups(service))

    def key(self, upstream: Upstream) -> GroupKey:
        """Return the key of the group of an upstream whose service has several."""
        return group_key(self._table, upstream.instance)

    def log_fields(self, service: str, instance: str | None) -> dict[str, str]:
        """Return the fields of a log line that name an upstream's group, if there are several."""
        if instance is None or not self.has_several(service):
            return {}
        return {"group": group_label(group_key(self._table, instance))}

    def split(self, upstreams: Collection[Upstream]) -> dict[GroupKey, list[Upstream]]:
        """Return the upstreams of a service with several groups by group."""
        groups: dict[GroupKey, list[Upstream]] = {}
        for upstream in upstreams:
            groups.setdefault(self.key(upstream), []).append(upstream)
        return groups

    def ranks_to_drain(
        self, upstreams: Collection[Upstream], slow: Mapping[str, float]
    ) -> frozenset[str]:
        """Return the ranks that delay their group, if those of each group are few."""
        drained: set[str] = set()
        for ranks in self.split(upstreams).values():
            reported = {item.instance: slow.get(item.instance, 1.0) for item in ranks}
            drained |= ranks_to_drain(reported, self._group_size(ranks[0]))
        return frozenset(drained)

    def has_other_open(self, upstream: Upstream, others: Collection[Upstream], now: float) -> bool:
        """Return whether one of ``others`` is in another group than an upstream, which is open."""
        key, closed = self.key(upstream), self.unavailable(upstream.service, now)
        return any(self.key(item) != key and self.key(item) not in closed for item in others)

    def is_unavailable(self, upstream: Upstream, now: float) -> bool:
        """Return whether an upstream belongs to one of several groups that accepts no work."""
        closed = self.unavailable(upstream.service, now)
        return bool(closed) and self.key(upstream) in closed

    def fraction(self, upstream: Upstream, now: float) -> float:
        """Return the fraction of its slots that an upstream's group may use; 1 is no bound."""
        return self._fraction(upstream.service, self.key(upstream), now)

    def _fraction(self, service: str, key: GroupKey, now: float) -> float:
        """Return the fraction of its slots that a group may use; 1 is no bound."""
        pauses = self._pauses.get(service)
        if pauses is None:
            return 1.0
        read_at, fractions = self._fractions.get(service, (-math.inf, {}))
        if now - read_at > FRACTION_VALIDITY_S:
            fractions = {}
            self._fractions[service] = (now, fractions)
        if key not in fractions:
            fractions[key] = pauses.group_fraction(key, now)
        return fractions[key]

    def unavailable(self, service: str, now: float) -> frozenset[GroupKey]:
        """Return the groups of a service that accept no work."""
        gates = self._gates.get(service)
        return frozenset() if gates is None else gates.unavailable(now)

    def unavailable_counts(self, now: float) -> dict[str, float]:
        """Return how many groups accept no work, for each service with several."""
        return {
            service: len(gates.unavailable(now))
            for service, gates in self._gates.items()
            if self.has_several(service)
        }

    def log_changes(self, service: str, now: float) -> None:
        """Log which groups of a service with several became unavailable, or available again."""
        if not self.has_several(service):
            self._logged.pop(service, None)
            return
        closed, logged = self.unavailable(service, now), self._logged.get(service, frozenset())
        if closed == logged:
            return
        self._logged[service] = closed
        for key in sorted(closed - logged):
            _log.info("group unavailable", service=service, group=group_label(key))
        for key in sorted(logged - closed):
            _log.info("group available", service=service, group=group_label(key))

    def open_only(self, service: str, upstreams: list[Upstream], now: float) -> list[Upstream]:
        """Return the upstreams whose group accepts work, all of them if none does."""
        closed = self.unavailable(service, now)
        if not closed:
            return upstreams
        return [item for item in upstreams if self.key(item) not in closed] or upstreams

    def open_or_probed(
        self,
        service: str,
        accepting: list[Upstream],
        ready: list[Upstream],
        may_probe: bool,
        now: float,
    ) -> list[Upstream]:
        """Return the ``ready`` upstreams of open groups, or of a group that the request probes.

        All are returned if no group of the ``accepting`` upstreams is open. Only requests at their
        first upstream are probes, as a refused one needs a retry.
        """
        closed = self.unavailable(service, now)
        if not closed:
            return ready
        groups = self.split(ready)
        gates = self._gates[service]
        candidates = sorted(key for key in groups if key in closed)
        if may_probe and candidates:
            probed = gates.take_probe(candidates, lambda key: self._hinted(groups[key]), now)
            if probed is not None:
                return groups[probed]
        if all(self.key(item) in closed for item in accepting):
            return ready
        return [item for item in ready if self.key(item) not in closed]

    def choose(
        self, service: str, works: Sequence[UpstreamWork], unreported: float, now: float
    ) -> tuple[list[UpstreamWork], float]:
        """Return the upstreams of the group that a request goes to.

        The second value is the part of the ``unreported`` requests of others that go there too.
        """
        groups: dict[GroupKey, list[UpstreamWork]] = {}
        for item in works:
            groups.setdefault(group_key(self._table, item.name), []).append(item)
        loads = [self._group_work(service, key, ranks, now) for key, ranks in groups.items()]
        terms = self._terms.get(service, PassTerms())
        choice = choose_group(loads, terms, self._random, unreported)
        return ([], 0.0) if choice is None else (groups[choice.key], choice.share * unreported)

    def _group_work(
        self, service: str, key: GroupKey, ranks: Sequence[UpstreamWork], now: float
    ) -> GroupWork:
        """Return the work of a group as routing's input."""
        slots = sum(item.slots for item in ranks)
        pauses = self._pauses.get(service)
        local = sum(item.failure_domain == self._failure_domain for item in ranks)
        return GroupWork(
            key=key,
            slots=slots,
            usable=slots * self._fraction(service, key, now),
            running=sum(item.running for item in ranks),
            ranks=len(ranks),
            unread_tokens=max(item.unread_tokens for item in ranks),
            growth_s=None if pauses is None else pauses.growth_s(key, now),
            local_fraction=local / len(ranks),
        )

    def _group_size(self, upstream: Upstream) -> int:
        """Return the number of ranks of the group of an upstream whose service has several."""
        name, _ = self.key(upstream)
        group = self._table.groups(upstream.service).get(name)
        return 1 if group is None else group.size

    def _hinted(self, ranks: Sequence[Upstream]) -> bool:
        """Return whether another entry has requests at a rank of a group."""
        return any(self._running_elsewhere(item.instance) for item in ranks)
