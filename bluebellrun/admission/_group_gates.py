"""The outages of a service whose upstreams form several model groups, group by group. Pure.

The ranks of one group fail and recover together, those of different groups do not. Each group
therefore has a gate of its own: requests go to the other groups while it is unavailable, and a
probe now and then finds out that it has formed again. The service is unavailable only while all its
groups are. A service without known groups has a single gate.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from random import Random

from bluebellrun.admission._service_gate import GateSettings, ServiceGate
from bluebellrun.routing import GroupKey, GroupTable, group_key


@dataclass(frozen=True, slots=True)
class GroupGateSettings:
    """Times in seconds.

    While another group is available, an unavailable one is probed every ``probe_interval_s``, as
    each refused probe costs a retry of a request that could be served. It is probed every
    ``hinted_probe_interval_s`` while another entry has requests there, which shows that it may have
    formed, and at once when its epoch has changed. Without refusals it counts as available after
    ``outage_expiry_s``; that is longer than the intervals, so that an entry with few requests does
    not find the outage again and again.
    """

    probe_interval_s: float = 1.0
    hinted_probe_interval_s: float = 0.3
    outage_expiry_s: float = 3.0


class GroupGates:
    """The gates of one service's groups; times in seconds.

    ``instances`` returns the service's usable upstreams. An upstream in no known group counts as a
    group of its own. Without ``fails_together`` the upstreams fail independently. ``random``
    spreads the probes of the entries, which all find an outage at the same moment.
    """

    def __init__(
        self,
        settings: GateSettings,
        service: str = "",
        table: GroupTable | None = None,
        instances: Callable[[], Iterable[str]] = tuple,
        fails_together: bool = True,
        group_settings: GroupGateSettings | None = None,
        random: Random | None = None,
    ) -> None:
        self._random = random or Random(0)
        self._settings = settings
        self._group_settings = group_settings or GroupGateSettings()
        self._service = service
        self._table = table or GroupTable()
        self._instances = instances
        self._whole = ServiceGate(settings, fails_together)
        self._gates: dict[GroupKey, ServiceGate] = {}
        self._probed_at: dict[GroupKey, float] = {}
        self._probed_epochs: dict[GroupKey, int] = {}
        self._any_probed_at = 0.0
        self._due: GroupKey | None = None
        self._was_unavailable = False
        self._outage_ended: float | None = None

    @property
    def outage_ended(self) -> float | None:
        """Return when the last outage of the whole service ended, none if there was none."""
        return self._outage_ended if self._has_groups() else self._whole.outage_ended

    def is_unavailable(self, now: float) -> bool:
        """Return whether the service accepts no work at all: none of its groups does."""
        if not self._has_groups():
            return self._whole.is_unavailable(now)
        unavailable = self._all_unavailable(now)
        if self._was_unavailable and not unavailable:
            self._outage_ended = now
            self._due = None
        self._was_unavailable = unavailable
        return unavailable

    def is_group_unavailable(self, instance: str, now: float) -> bool:
        """Return whether the group of an upstream accepts no work."""
        if not self._has_groups():
            return self._whole.is_unavailable(now)
        return self._is_out(group_key(self._table, instance), now)

    def unavailable(self, now: float) -> frozenset[GroupKey]:
        """Return the groups that accept no work, empty where the service has a single gate."""
        if not self._gates or not self._has_groups():
            return frozenset()
        return frozenset(key for key in list(self._gates) if self._is_out(key, now))

    def admits(self, now: float, waits: bool = False) -> bool:
        """Return whether a request may be sent now; in an outage of all groups, as a probe.

        The probe goes to the group that has been without one for longest.
        """
        if not self._has_groups():
            return self._whole.admits(now, waits)
        if not self.is_unavailable(now):
            return True
        settings = self._settings
        interval_s = settings.waiting_probe_interval_s if waits else settings.probe_interval_s
        if now - self._any_probed_at < interval_s:
            return False
        self._any_probed_at = now
        present = {group_key(self._table, instance) for instance in self._instances()}
        candidates = self.unavailable(now) & present
        if candidates:
            self._due = min(candidates, key=lambda key: (self._probed_at.get(key, 0.0), key))
            self._record_probe(self._due, now)
        return True

    def take_probe(
        self, candidates: Collection[GroupKey], hinted: Callable[[GroupKey], bool], now: float
    ) -> GroupKey | None:
        """Return the unavailable group of ``candidates`` that the next request probes, or none.

        ``hinted`` returns whether another entry has requests at a group.
        """
        if self._due is not None:
            due, self._due = self._due, None
            return due if due in candidates else None
        if self.is_unavailable(now):
            return None
        settings = self._group_settings
        for key in candidates:
            probed_s = now - self._probed_at.get(key, 0.0)
            is_hinted = probed_s >= settings.hinted_probe_interval_s and hinted(key)
            has_formed = self._probed_epochs.get(key) != self._epoch(key)
            if probed_s >= settings.probe_interval_s or is_hinted or has_formed:
                self._record_probe(key, now)
                return key
        return None

    def record_refusal(self, now: float, instance: str | None = None) -> None:
        """Record that an upstream with free slots refused work, or has departed."""
        if not self._has_groups():
            self._whole.record_refusal(now)
        elif instance is not None:
            key = group_key(self._table, instance)
            was_out = self._is_out(key, now)
            self._gate(key).record_refusal(now)
            if not was_out and self._is_out(key, now):
                spread_s = self._random.uniform(0.0, self._group_settings.probe_interval_s)
                self._record_probe(key, now - spread_s)
            self.is_unavailable(now)

    def record_accepted(self, now: float, instance: str | None = None) -> None:
        """Record that an upstream accepted a request."""
        if not self._has_groups():
            self._whole.record_accepted(now)
        elif instance is not None:
            gate = self._gates.get(group_key(self._table, instance))
            if gate is not None:
                gate.record_accepted(now)
            self.is_unavailable(now)

    def retry_after_s(self, now: float) -> float:
        """Return after how many seconds a refused request should be retried."""
        if not self._has_groups():
            return self._whole.retry_after_s(now)
        if not self.is_unavailable(now):
            return self._settings.min_retry_s
        keys = self.unavailable(now)
        return min(self._gates[key].retry_after_s(now) for key in keys)

    def _record_probe(self, key: GroupKey, now: float) -> None:
        """Record that a group is probed."""
        self._probed_at[key] = now
        self._probed_epochs[key] = self._epoch(key)

    def _epoch(self, key: GroupKey) -> int:
        """Return the epoch of a group, 0 for an upstream in no known group."""
        group = self._table.groups(self._service).get(key[0])
        return 0 if group is None else group.epoch

    def _has_groups(self) -> bool:
        """Return whether the service has several known groups; forget groups that are gone."""
        groups = self._table.groups(self._service)
        if groups:
            return True
        if self._gates:
            self._gates.clear()
            self._probed_at.clear()
            self._probed_epochs.clear()
            self._due = None
        return False

    def _all_unavailable(self, now: float) -> bool:
        """Return whether no group with usable upstreams accepts work."""
        out = self.unavailable(now)
        if not out:
            return False
        return all(group_key(self._table, instance) in out for instance in self._instances())

    def _is_out(self, key: GroupKey, now: float) -> bool:
        """Return whether a group accepts no work."""
        gate = self._gates.get(key)
        return gate is not None and gate.is_unavailable(now)

    def _gate(self, key: GroupKey) -> ServiceGate:
        """Return the gate of a group, created on first use."""
        gate = self._gates.get(key)
        if gate is None:
            self._drop_unknown()
            expiry_s = self._group_settings.outage_expiry_s
            settings = replace(self._settings, outage_expiry_s=expiry_s)
            gate = self._gates[key] = ServiceGate(settings)
        return gate

    def _drop_unknown(self) -> None:
        """Drop the gates of groups and upstreams that are no longer known."""
        names = self._table.groups(self._service)
        present = set(self._instances())
        for key in list(self._gates):
            name, instance = key
            if name not in names if name else instance not in present:
                del self._gates[key]
                self._probed_at.pop(key, None)
                self._probed_epochs.pop(key, None)
