"""Bound the slots of each model group by its own passes. Pure; times in seconds.

Groups make their passes independently, and each has an expert map of its own: passes may be in time
in one and late in another. A service without known groups has a single ``PauseLimit``.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellrun.admission._pauses import PauseLimit, PauseSettings
from bluebellrun.routing import GroupKey, GroupTable, group_key


@dataclass(frozen=True, slots=True)
class GroupPauseSettings:
    """The settings of a service's single limit, and of each group's where it has several.

    A group on an expert map that fits badly makes passes of several times the usual length without
    an outage, and is in time only with few requests. Its pauses therefore count up to eight times
    the longest, and its bound goes down to one slot of five: the rest goes to the other groups. The
    window is longer than a change of a map holds passes, so that such a pause is no median. The
    highest growth is kept for less long, as a group's map is changed within some seconds. A growth
    that was seen at little load is not extrapolated.

    The strictest limit of pauses of the latest ``strictest_window_s`` bounds a group's slots.
    """

    single: PauseSettings = field(default_factory=PauseSettings)
    each: PauseSettings = field(
        default_factory=lambda: PauseSettings(
            window_s=0.6,
            min_pauses=5,
            retention_s=2.5,
            outlier_factor=8.0,
            min_fraction=0.2,
            min_load=0.2,
        )
    )
    strictest_window_s: float = 10.0


class GroupPauses:
    """Track the pauses of one service's streams, by group where it has several.

    ``fixed_s`` is the load-independent part of a pass.
    """

    def __init__(
        self,
        settings: GroupPauseSettings,
        fixed_s: float,
        service: str = "",
        table: GroupTable | None = None,
    ) -> None:
        self._settings = settings
        self._fixed_s = fixed_s
        self._service = service
        self._table = table or GroupTable()
        self._single = PauseLimit(settings.single, fixed_s)
        self._limits: dict[GroupKey, PauseLimit] = {}
        # The longest pauses that streams may have, and when a stream with each last had a pause.
        self._max_pauses: dict[float, float] = {}

    @property
    def fixed_s(self) -> float:
        """Return the load-independent part of a pass."""
        return self._fixed_s

    def observe(
        self,
        pause_s: float,
        max_pause_s: float,
        load: Callable[[], float],
        now: float,
        instance: str | None = None,
    ) -> float | None:
        """Record a pause between two events of a stream from ``instance``.

        ``load`` returns the fraction of slots taken, of its group where there are several. Return
        the fraction that may be taken if it has moved enough to report, else none.
        """
        if not self._has_groups():
            return self._single.observe(pause_s, max_pause_s, load, now)
        if instance is None:
            return None
        self._max_pauses[max_pause_s] = now
        limit = self._limits.get(key := group_key(self._table, instance))
        if limit is None:
            self._drop_unknown()
            limit = self._limits[key] = PauseLimit(self._settings.each, self._fixed_s)
        return limit.observe(pause_s, max_pause_s, load, now)

    def slot_fraction(self, max_pause_s: float, now: float) -> float:
        """Return the fraction of the service's slots that may be taken; 1 means no bound.

        It is 1 with several groups, as ``group_fraction`` bounds the slots of each.
        """
        return 1.0 if self._has_groups() else self._single.slot_fraction(max_pause_s, now)

    def group_fraction(self, key: GroupKey, now: float) -> float:
        """Return the fraction of a group's slots that may be taken; 1 means no bound."""
        limit = self._limits.get(key)
        if limit is None or not self._has_groups():
            return 1.0
        window_s = self._settings.strictest_window_s
        recent = [longest for longest, at in self._max_pauses.items() if now - at <= window_s]
        return limit.slot_fraction(min(recent), now) if recent else 1.0

    def growth_s(self, key: GroupKey, now: float) -> float | None:
        """Return by how much a group's pass would grow if all slots were taken, if known."""
        limit = self._limits.get(key)
        return None if limit is None else limit.growth_s(now)

    def _has_groups(self) -> bool:
        """Return whether the service has several known groups; forget groups that are gone."""
        if self._table.groups(self._service):
            return True
        self._limits.clear()
        return False

    def _drop_unknown(self) -> None:
        """Drop the limits of groups that are gone and of upstreams that are now in a group."""
        names = self._table.groups(self._service)
        for key in list(self._limits):
            name, instance = key
            if name not in names if name else self._table.group_of(instance) is not None:
                del self._limits[key]
