"""Structured logs and metrics."""

from bluebellrun.telemetry._logs import configure_logs, get_logger
from bluebellrun.telemetry._metrics import Metrics

__all__ = ["Metrics", "configure_logs", "get_logger"]
