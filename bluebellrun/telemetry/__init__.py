"""Structured logs and metrics."""

from typing import TYPE_CHECKING

from bluebellrun.core import load_at_first_use
from bluebellrun.telemetry._logs import configure_logs, get_logger
from bluebellrun.telemetry._serving import BoundedOutput, configure_serving_logs

if TYPE_CHECKING:
    from bluebellrun.telemetry._metrics import Metrics
    from bluebellrun.telemetry._serving_metrics import ServingMetrics

_LOADED_AT_FIRST_USE = {"Metrics": "_metrics", "ServingMetrics": "_serving_metrics"}

__all__ = [
    "BoundedOutput",
    "Metrics",
    "ServingMetrics",
    "configure_logs",
    "configure_serving_logs",
    "get_logger",
]

__getattr__ = load_at_first_use(__name__, _LOADED_AT_FIRST_USE)
