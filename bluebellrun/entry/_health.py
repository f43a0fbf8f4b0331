"""Log and count changes in the sets of stragglers and ejected upstreams."""

from bluebellrun.routing import RoutingPolicy
from bluebellrun.telemetry import Metrics, get_logger

_log = get_logger("entry.health")


class HealthReporter:
    """Report changes in the upstream health that routing detects."""

    def __init__(self, routing: RoutingPolicy, metrics: Metrics) -> None:
        self._routing = routing
        self._metrics = metrics
        self._stragglers: frozenset[str] = frozenset()
        self._ejected: frozenset[str] = frozenset()

    def report(self) -> None:
        """Log and count what changed since the last call."""
        stragglers, ejected = self._routing.stragglers, self._routing.ejected
        if stragglers != self._stragglers:
            _log.warning("stragglers changed", upstreams=sorted(stragglers))
            self._metrics.count("entry.straggler_changes")
        if ejected != self._ejected:
            _log.warning("ejected upstreams changed", upstreams=sorted(ejected))
            self._metrics.count("entry.ejection_changes")
        self._stragglers, self._ejected = stragglers, ejected
