"""The ranks that report being slow, as read by the managers of their groups.

A group takes its steps together, so that callers see all its ranks as equally slow. Only a rank's
own report shows which one delays the others.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from bluebellrun.telemetry import get_logger

# How long a report is valid without a newer one: another entry acquires the role of a failed holder
# within some three seconds.
VALIDITY_S = 5.0
# A lower slowness is within the variation of a rank's share of the work.
MIN_SLOWNESS = 1.2
# The reporter under which this process's own managers report.
OWN = ""

_log = get_logger("slow-upstreams")


@dataclass(frozen=True, slots=True)
class _Report:
    """The slowness of some upstreams, and when that was reported."""

    slowness: Mapping[str, float]
    at: float


class SlowUpstreams:
    """Slowness by upstream, relative to the typical duration; times in seconds.

    Several entries may manage groups, and each reports its own. Of two reports on one upstream the
    newer counts: its group has another manager now.
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._merged: Mapping[str, float] = {}
        self._valid_until = math.inf

    @property
    def slowness(self) -> Mapping[str, float]:
        """Return how many times as long each slow upstream takes."""
        return self._merged

    def replace(self, slowness: Mapping[str, float], now: float, reporter: str = OWN) -> None:
        """Replace the report of a manager; ranks that are not slow may be listed too."""
        # Reports are merged in the order of their arrival.
        self._reports.pop(reporter, None)
        self._reports[reporter] = _Report(dict(slowness), now)
        self._merge(now)

    def current(self, now: float) -> Mapping[str, float]:
        """Return the slowness of each slow upstream, without reports that have expired."""
        if now > self._valid_until:
            self._merge(now)
        return self._merged

    def of(self, instance: str, now: float) -> float:
        """Return the slowness of an upstream; 1 if unknown."""
        return self.current(now).get(instance, 1.0)

    def outgoing(self, now: float) -> dict[str, float]:
        """Return this process's own report for the other entries.

        It lists slow ranks, and others only if another entry reported them as slow.
        """
        own = self._reports.get(OWN)
        if own is None or now - own.at > VALIDITY_S:
            return {}
        others = {
            instance
            for reporter, report in self._reports.items()
            for instance, times in report.slowness.items()
            if reporter != OWN and times >= MIN_SLOWNESS
        }
        return {
            instance: times
            for instance, times in own.slowness.items()
            if times >= MIN_SLOWNESS or instance in others
        }

    def _merge(self, now: float) -> None:
        """Merge the reports that are valid."""
        self._reports = {
            reporter: report
            for reporter, report in self._reports.items()
            if now - report.at <= VALIDITY_S
        }
        listed: dict[str, float] = {}
        for report in self._reports.values():
            listed.update(report.slowness)
        merged = {name: times for name, times in listed.items() if times >= MIN_SLOWNESS}
        if merged != self._merged:
            _log.info("slow upstreams changed", slowness=merged, before=self._merged)
        self._merged = merged
        oldest = min((report.at for report in self._reports.values()), default=math.inf)
        self._valid_until = oldest + VALIDITY_S
