"""A program returns its main task's result even if tasks start others during shutdown."""

import curio
import pytest

from bluebellrun.runtime import run_program


async def sleeps() -> None:
    await curio.sleep(60)


async def starts_another_when_cancelled(rounds: int) -> None:
    try:
        await curio.sleep(60)
    finally:
        if rounds:
            await curio.spawn(starts_another_when_cancelled, rounds - 1, daemon=True)


async def main(rounds: int) -> int:
    await curio.spawn(starts_another_when_cancelled, rounds, daemon=True)
    await curio.sleep(0)
    return 7


def test_kernel_shutdown_fails_when_tasks_start_others():
    kernel = curio.Kernel()
    assert kernel.run(main, 1) == 7
    with pytest.raises(AssertionError):
        kernel.run(shutdown=True)
    kernel.run(shutdown=True)


@pytest.mark.parametrize("rounds", [0, 1, 3])
def test_tasks_started_during_shutdown_do_not_change_the_result(rounds):
    assert run_program(main, rounds) == 7


def test_exception_of_the_main_task_is_raised():
    async def fails() -> None:
        await curio.spawn(sleeps, daemon=True)
        raise ValueError("bad")

    with pytest.raises(ValueError, match="bad"):
        run_program(fails)
