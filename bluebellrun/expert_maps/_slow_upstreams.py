"""The ranks that report being slow, as read by the holder of the placement role.

A group takes its steps together, so that callers see all its ranks as equally slow. Only a rank's
own report shows which one delays the others.
"""

from collections.abc import Mapping

from bluebellrun.telemetry import get_logger

# How long a report is valid without a newer one: another entry acquires the role of a failed holder
# within some three seconds.
VALIDITY_S = 5.0
# A lower slowness is within the variation of a rank's share of the work.
MIN_SLOWNESS = 1.2

_log = get_logger("slow-upstreams")


class SlowUpstreams:
    """Slowness by upstream, relative to the typical duration; times in seconds."""

    def __init__(self) -> None:
        self._slowness: dict[str, float] = {}
        self._reported_at = 0.0

    @property
    def slowness(self) -> Mapping[str, float]:
        """Return how many times as long each slow upstream takes."""
        return self._slowness

    def replace(self, slowness: Mapping[str, float], now: float) -> None:
        """Replace the reports with those of the holder of the placement role."""
        reported = {name: times for name, times in slowness.items() if times >= MIN_SLOWNESS}
        if reported != self._slowness:
            _log.info("slow upstreams changed", slowness=reported, before=self._slowness)
        self._slowness = reported
        self._reported_at = now

    def current(self, now: float) -> Mapping[str, float]:
        """Return the slowness of each slow upstream, empty if the report has expired."""
        return {} if now - self._reported_at > VALIDITY_S else self._slowness

    def of(self, instance: str, now: float) -> float:
        """Return the slowness of an upstream; 1 if unknown."""
        return self.current(now).get(instance, 1.0)
