"""Which ranks say that they are slow, as the entry that keeps the expert maps has read it.

A group takes its steps together, so that to callers all its ranks look equally slow. Only what a
rank says of itself tells which one holds up the others.
"""

from collections.abc import Mapping

from bluebellrun.telemetry import get_logger

# What was told holds for so long without a word of the entry that keeps the maps: another one
# takes its place within some three seconds.
KEPT_S = 5.0
# Below this a rank is no slower than its part of the work varies.
LEAST_SLOWNESS = 1.2

_log = get_logger("slow-upstreams")


class SlowUpstreams:
    """Upstreams by how many times longer than usual they take; times in seconds."""

    def __init__(self) -> None:
        self._slowness: dict[str, float] = {}
        self._told_at = 0.0

    @property
    def slowness(self) -> Mapping[str, float]:
        """Return how many times as long each slow upstream takes."""
        return self._slowness

    def replace(self, slowness: Mapping[str, float], now: float) -> None:
        """Take what the entry that keeps the maps has read."""
        told = {name: times for name, times in slowness.items() if times >= LEAST_SLOWNESS}
        if told != self._slowness:
            _log.info("slow upstreams", slowness=told, before=self._slowness)
        self._slowness = told
        self._told_at = now

    def current(self, now: float) -> Mapping[str, float]:
        """Return how many times as long as usual each slow upstream takes, if that still holds."""
        return {} if now - self._told_at > KEPT_S else self._slowness

    def of(self, instance: str, now: float) -> float:
        """Return how many times as long as usual an upstream takes; 1 if nothing is known."""
        return self.current(now).get(instance, 1.0)
