"""Logs by structlog, as JSON lines or for a console, on standard error."""

import logging
import os
import sys
from typing import Any

import structlog

from bluebellrun.core import invariants

EXIT_VIOLATED = 4
# What every line goes through first, wherever it is written.
SHARED_PROCESSORS: tuple[Any, ...] = (
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    structlog.processors.format_exc_info,
)
SECRET_FIELDS = frozenset({"authorization", "token", "key", "api_key", "password", "secret"})


def _hide_secrets(_: Any, __: str, event: Any) -> Any:
    """Replace the values of fields that may hold a secret."""
    for name in SECRET_FIELDS.intersection(event):
        event[name] = "[hidden]"
    return event


def _report_violation(name: str, trace: dict[str, object]) -> None:
    """Log a violated invariant with its trace."""
    structlog.get_logger().error("invariant violated", invariant=name, **trace)


def _end_on_violation(name: str, trace: dict[str, object]) -> None:
    """Log a violated invariant and end the process, whichever task found it."""
    _report_violation(name, trace)
    sys.stderr.flush()
    os._exit(EXIT_VIOLATED)


def configure_logs(settings: Any, **fixed: str) -> None:
    """Set the format and level of logs from settings; bind fields to every line.

    ``settings`` has ``log_format`` ("json" or "console"), ``log_level`` and
    ``fatal_invariants``.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if settings.log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            *SHARED_PROCESSORS,
            _hide_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[settings.log_level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**fixed)
    reporter = _end_on_violation if settings.fatal_invariants else _report_violation
    invariants.configure(settings.fatal_invariants, reporter)


def get_logger(name: str) -> Any:
    """Return a logger that names its component on each line."""
    return structlog.get_logger(component=name)
