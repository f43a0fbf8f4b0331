"""Run a program's main task, and end what is left beside it."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bluebellrun.telemetry import get_logger

# Tasks that are cancelled may begin others, as a connection that was just accepted does; those
# are cancelled in the next round.
MOST_ROUNDS = 10

_log = get_logger("runtime")


def run_program(main: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run a program's main task and return its result, or raise what it raises.

    Tasks that still run when it ends are cancelled; that they begin others is no error.
    """
    kernel = curio.Kernel()
    try:
        return kernel.run(main, *arguments)
    finally:
        _end_tasks(kernel)


def _end_tasks(kernel: curio.Kernel) -> None:
    """Cancel tasks until none is left."""
    for _ in range(MOST_ROUNDS):
        try:
            kernel.run(shutdown=True)
        except AssertionError as error:
            _log.info("tasks began while others ended", reason=str(error))
        else:
            return
    _log.warning("tasks left at the end", rounds=MOST_ROUNDS)
