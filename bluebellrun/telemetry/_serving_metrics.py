"""Counters and latency histograms of a serving process, as text for whoever collects them."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# Bounds in seconds: around the times to a first byte that users ask for, up to their deadlines.
LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class ServingMetrics:
    """What a gateway counts. Times are in seconds."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "bluebellrun_requests",
            "Requests by service, by what became of them and by status",
            ["service", "outcome", "status"],
            registry=self._registry,
        )
        self._sends = Counter(
            "bluebellrun_sends",
            "Sends of requests to upstreams, the first of each and further ones",
            ["service", "order"],
            registry=self._registry,
        )
        self._seconds = Histogram(
            "bluebellrun_request_seconds",
            "Seconds from a whole request to the end of its answer",
            ["service", "outcome"],
            buckets=LATENCY_BOUNDS_S,
            registry=self._registry,
        )
        self._first_byte = Histogram(
            "bluebellrun_first_byte_seconds",
            "Seconds from a whole request to the first byte of its answer's body",
            ["service"],
            buckets=LATENCY_BOUNDS_S,
            registry=self._registry,
        )

    def gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Show a value that is read whenever the metrics are."""
        Gauge(name, help_text, registry=self._registry).set_function(read)

    def record_request(
        self,
        service: str,
        outcome: str,
        status: int,
        sends: int,
        seconds: float,
        first_byte_s: float | None,
    ) -> None:
        """Count a request that ended."""
        self._requests.labels(service, outcome, str(status)).inc()
        self._seconds.labels(service, outcome).observe(seconds)
        if sends:
            self._sends.labels(service, "first").inc()
        if sends > 1:
            self._sends.labels(service, "further").inc(sends - 1)
        if first_byte_s is not None:
            self._first_byte.labels(service).observe(first_byte_s)

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)
