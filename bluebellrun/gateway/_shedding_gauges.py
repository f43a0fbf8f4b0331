"""Metrics of load shedding, over all services of the process."""

from bluebellrun.gateway._gateway import Gateway
from bluebellrun.telemetry import ServingMetrics


def register_shedding_gauges(metrics: ServingMetrics, gateway: Gateway) -> None:
    """Register the gauges of load shedding; they are 0, or 1 for fractions, where it is off."""
    metrics.gauge(
        "bluebellrun_waiting_requests",
        "Requests that wait for a slot or for the end of an outage",
        lambda: sum(item.shedder.waiting for item in gateway.load_shedding),
    )
    metrics.gauge(
        "bluebellrun_late_requests",
        "Requests in progress that were sent too late to be on time",
        lambda: sum(item.shedder.late for item in gateway.load_shedding),
    )
    metrics.gauge(
        "bluebellrun_refused_new_requests",
        "New requests refused for want of slots, since the start",
        lambda: sum(item.refused for item in gateway.load_shedding),
    )
    metrics.gauge(
        "bluebellrun_refused_returned_requests",
        "Requests refused although their callers had come back, since the start",
        lambda: sum(item.refused_again for item in gateway.load_shedding),
    )
    metrics.gauge(
        "bluebellrun_usable_slots_fraction",
        "The lowest fraction of slots that passes allow to be used, over all services",
        lambda: min((item.usable_fraction for item in gateway.load_shedding), default=1.0),
    )
