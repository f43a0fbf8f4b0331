"""Background tasks whose crash is logged and counted, never silent."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bluebellrun.core import InvariantError
from bluebellrun.telemetry import get_logger

_log = get_logger("runtime")


async def spawn_background(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Start a task that nobody joins; return it so that it can be cancelled."""
    return await curio.spawn(_run, function, arguments, daemon=True)


async def _run(function: Callable[..., Awaitable[Any]], arguments: tuple[Any, ...]) -> None:
    """Run the task's function and log what it raises."""
    try:
        await function(*arguments)
    except InvariantError:
        raise SystemExit(1) from None
    except Exception:
        _log.exception("background task crashed", task=getattr(function, "__qualname__", "?"))
