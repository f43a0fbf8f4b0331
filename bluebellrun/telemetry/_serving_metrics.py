"""Counters and latency histograms of a serving process, in Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

# Dense around the usual objectives for time to first byte, and up to request deadlines.
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class _ServiceGauge(Collector):
    """A gauge with one value for each service, read at each collection."""

    def __init__(self, name: str, help_text: str, read: Callable[[], Mapping[str, float]]) -> None:
        self._name = name
        self._help = help_text
        self._read = read

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Return the present values."""
        family = GaugeMetricFamily(self._name, self._help, labels=["service"])
        for service, value in sorted(self._read().items()):
            family.add_metric([service], value)
        return [family]


class ServingMetrics:
    """Metrics of a gateway. Times are in seconds."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "bluebellrun_requests",
            "Requests by service, by what became of them and by status",
            ["service", "outcome", "status"],
            registry=self._registry,
        )
        self._attempts = Counter(
            "bluebellrun_sends",
            "Sends of requests to upstreams, the first of each and further ones",
            ["service", "order"],
            registry=self._registry,
        )
        self._lost = Counter(
            "bluebellrun_lost_attempts",
            "Attempts whose answer was lost, by service and cause",
            ["service", "cause"],
            registry=self._registry,
        )
        self._permits = Counter(
            "bluebellrun_limit_permits",
            "Permits to send to upstreams that limit their rate, by outcome",
            ["outcome"],
            registry=self._registry,
        )
        self._request_seconds = Histogram(
            "bluebellrun_request_seconds",
            "Seconds from a whole request to the end of its answer",
            ["service", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._first_byte_seconds = Histogram(
            "bluebellrun_first_byte_seconds",
            "Seconds from a whole request to the first byte of its answer's body",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each collection."""
        Gauge(name, help_text, registry=self._registry).set_function(read)

    def gauge_by_service(
        self, name: str, help_text: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Register a gauge whose values by service are read at each collection."""
        self._registry.register(_ServiceGauge(name, help_text, read))

    def record_request(
        self,
        service: str,
        outcome: str,
        status: int,
        attempts: int,
        duration_s: float,
        first_byte_s: float | None,
    ) -> None:
        """Record a finished request; ``attempts`` counts its first attempt and its retries."""
        self._requests.labels(service, outcome, str(status)).inc()
        self._request_seconds.labels(service, outcome).observe(duration_s)
        if attempts:
            self._attempts.labels(service, "first").inc()
        if attempts > 1:
            self._attempts.labels(service, "further").inc(attempts - 1)
        if first_byte_s is not None:
            self._first_byte_seconds.labels(service).observe(first_byte_s)

    def record_loss(self, service: str, cause: str) -> None:
        """Record an attempt whose answer was lost."""
        self._lost.labels(service, cause).inc()

    def record_permit(self, outcome: str) -> None:
        """Record the outcome of a request for a permit."""
        self._permits.labels(outcome).inc()

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return generate_latest(self._registry)
