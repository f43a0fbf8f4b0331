"""Background tasks whose exceptions are logged."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bluebellrun.core import InvariantError
from bluebellrun.telemetry import get_logger

_log = get_logger("runtime")


async def spawn_background(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Start a daemon task; return it so that it can be cancelled."""
    return await curio.spawn(_run_logged, function, arguments, daemon=True)


async def _run_logged(function: Callable[..., Awaitable[Any]], arguments: tuple[Any, ...]) -> None:
    """Run the task's function and log its exception.

    An ``InvariantError`` is raised as ``SystemExit`` instead.
    """
    try:
        await function(*arguments)
    except InvariantError:
        raise SystemExit(1) from None
    except Exception:
        _log.exception("background task crashed", task=getattr(function, "__qualname__", "?"))
