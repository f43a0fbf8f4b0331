"""Structured logs and metrics."""

import importlib
from typing import TYPE_CHECKING, Any

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


def __getattr__(name: str) -> Any:
    """Load the clients of metrics at their first use: not every process has them."""
    module = _LOADED_AT_FIRST_USE.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)
