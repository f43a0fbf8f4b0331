"""Structured logs and metrics."""

from typing import TYPE_CHECKING, Any

from bluebellrun.telemetry._logs import configure_logs, get_logger
from bluebellrun.telemetry._serving import BoundedOutput, configure_serving_logs

if TYPE_CHECKING:
    from bluebellrun.telemetry._metrics import Metrics

__all__ = ["BoundedOutput", "Metrics", "configure_logs", "configure_serving_logs", "get_logger"]


def __getattr__(name: str) -> Any:
    """Load the statsd client at its first use."""
    if name != "Metrics":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from bluebellrun.telemetry._metrics import Metrics

    return Metrics
