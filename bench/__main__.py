"""Run scenarios: ``python -m bench [SCENARIO ...] [--seed N] [--ours]``."""

import os
import sys
from typing import Annotated

import typer

from bench._fleet import ONLY_OURS
from bench._registry import SCENARIOS
from bench._results import Measure, print_table, write_results

EXIT_BAD_INPUT = 2


def start(
    scenarios: Annotated[list[str] | None, typer.Argument(help="Scenarios; all if none.")] = None,
    seed: Annotated[int, typer.Option(help="Seed of the scenarios.")] = 1,
    ours: Annotated[bool, typer.Option("--ours", help="Leave the baselines out.")] = False,
) -> None:
    """Measure scenarios and print a table; exit 0 when all were measured, met or not."""
    names = scenarios or sorted(SCENARIOS)
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        known = ", ".join(sorted(SCENARIOS))
        sys.stderr.write(f"scenario {unknown[0]!r} is not known; use one of {known}\n")
        raise typer.Exit(EXIT_BAD_INPUT)
    if ours:
        os.environ[ONLY_OURS] = "1"
    measures: list[Measure] = []
    for name in names:
        measures += SCENARIOS[name](seed)
    print_table(measures)
    write_results(measures)


if __name__ == "__main__":
    typer.run(start)
