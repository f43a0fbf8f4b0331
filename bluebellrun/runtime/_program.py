"""Run a program's main task and cancel the tasks that remain when it ends."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bluebellrun.telemetry import get_logger

# A cancelled task may start others, as a listener does for a connection it just accepted; they
# are cancelled in the next round.
MAX_SHUTDOWN_ROUNDS = 10

_log = get_logger("runtime")


def run_program(main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run a program's main task and return its result, or raise what it raises.

    Tasks that still run when it ends are cancelled; tasks that they start meanwhile are no error.
    """
    kernel = curio.Kernel()
    try:
        return kernel.run(main, *arguments)
    finally:
        _cancel_remaining_tasks(kernel)


def _cancel_remaining_tasks(kernel: curio.Kernel) -> None:
    """Cancel tasks until none is left, for at most ``MAX_SHUTDOWN_ROUNDS`` rounds."""
    for _ in range(MAX_SHUTDOWN_ROUNDS):
        try:
            kernel.run(shutdown=True)
        except AssertionError as error:
            _log.info("tasks started during shutdown", reason=str(error))
        else:
            return
    _log.warning("tasks still running after shutdown", rounds=MAX_SHUTDOWN_ROUNDS)
