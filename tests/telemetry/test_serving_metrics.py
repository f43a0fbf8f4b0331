"""Gauges that are read when the metrics are collected."""

from bluebellrun.telemetry import ServingMetrics


# Guards: a value of a service that is gone stayed in the metrics.
def test_a_gauge_by_service_has_the_present_services_only():
    values = {"model": 1.0, "other": 0.0}
    metrics = ServingMetrics()
    metrics.gauge_by_service("bluebellrun_unavailable_groups", "Groups", lambda: values)
    assert b'bluebellrun_unavailable_groups{service="model"} 1.0' in metrics.text()
    del values["other"]
    assert b"other" not in metrics.text()
