"""Structured logs on standard error, as JSON lines or formatted for a console."""

import logging
import os
import sys
from typing import Any

import structlog

from bluebellrun.core import invariants

EXIT_INVARIANT_VIOLATED = 4
# Processors that run first on every line, for all outputs.
SHARED_PROCESSORS: tuple[Any, ...] = (
    structlog.contextvars.merge_contextvars,
    structlog.processors.add_log_level,
    structlog.processors.TimeStamper(fmt="iso", utc=True),
    structlog.processors.format_exc_info,
)
SECRET_FIELDS = frozenset({"authorization", "token", "key", "api_key", "password", "secret"})


def _redact_secrets(_: Any, __: str, event: Any) -> Any:
    """Redact the values of fields that may hold a secret."""
    for name in SECRET_FIELDS.intersection(event):
        event[name] = "[hidden]"
    return event


def _log_violation(name: str, trace: dict[str, object]) -> None:
    """Log a violated invariant with its trace."""
    structlog.get_logger().error("invariant violated", invariant=name, **trace)


def _exit_on_violation(name: str, trace: dict[str, object]) -> None:
    """Log a violated invariant and exit the process, whichever task detected it."""
    _log_violation(name, trace)
    sys.stderr.flush()
    os._exit(EXIT_INVARIANT_VIOLATED)


def configure_logs(settings: Any, **bound_fields: str) -> None:
    """Configure the format and level of logs from settings; bind fields to every line.

    ``settings`` has ``log_format`` ("json" or "console"), ``log_level`` and
    ``fatal_invariants``.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if settings.log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            *SHARED_PROCESSORS,
            _redact_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[settings.log_level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**bound_fields)
    reporter = _exit_on_violation if settings.fatal_invariants else _log_violation
    invariants.configure(settings.fatal_invariants, reporter)


def get_logger(name: str) -> Any:
    """Return a logger that adds its component to each line."""
    return structlog.get_logger(component=name)
