"""The ``bluebellrun-load`` program."""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Literal

import curio
import typer

from bluebellrun.core import parse_address
from bluebellrun.load._arrivals import plan_arrivals
from bluebellrun.load._client import run_arrivals
from bluebellrun.load._comparison import (
    Run,
    compare_runs,
    load_run,
    missing_streams,
    save_run,
    widest_difference,
)
from bluebellrun.load._render import (
    render_comparison,
    render_details,
    render_histogram,
    render_summary,
)
from bluebellrun.load._results import summarize
from bluebellrun.load._scenario import load_scenario

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2

OutputOption = Annotated[
    Literal["text", "json"], typer.Option("--output", "-o", help="text or json.")
]

application = typer.Typer(help="Send open-loop load and compare runs.", no_args_is_help=True)


def _bad_input(error: Exception) -> typer.Exit:
    """Write an error and return the exit for bad input."""
    sys.stderr.write(f"{error}\n")
    return typer.Exit(EXIT_BAD_INPUT)


@application.command("run")
def send(
    scenario: Annotated[Path, typer.Argument(help="Scenario file.")],
    entry: Annotated[
        list[str],
        typer.Option(envvar="BLUEBELLRUN_ENTRIES", help="IP:PORT of an entry; may be repeated."),
    ],
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    verify: Annotated[bool, typer.Option(help="Check answers against their digests.")] = True,
    histogram: Annotated[bool, typer.Option(help="Show percentiles as bars.")] = False,
    save: Annotated[Path | None, typer.Option(help="Write the run to a JSON file.")] = None,
    output: OutputOption = "text",
) -> None:
    """Send a scenario's requests at their planned times; exit 1 if an answer was wrong."""
    try:
        entries = [parse_address(item) for item in entry]
        planned = load_scenario(scenario)
        arrivals = plan_arrivals(planned, seed)
    except (ValueError, OSError) as error:
        raise _bad_input(error) from None
    samples = curio.run(run_arrivals, arrivals, entries, 90.0, verify)
    run = Run(planned.name, seed, summarize(arrivals, samples))
    if save is not None:
        save_run(run, save)
    if output == "json":
        text = json.dumps([asdict(item) for item in run.summaries], indent=2)
        sys.stdout.write(text + "\n")
    else:
        for item in run.summaries:
            lines = [render_summary(item), *render_details(item)]
            lines += render_histogram(item) if histogram else []
            sys.stdout.write("\n".join(lines) + "\n")
    if any(item.wrong for item in run.summaries):
        raise typer.Exit(EXIT_FAILED)


@application.command()
def compare(
    older: Annotated[Path, typer.Argument(help="A run written by --save.")],
    newer: Annotated[Path, typer.Argument(help="Another run of the same scenario.")],
    allowed_loss: Annotated[
        float, typer.Option(min=0, max=1, help="Loss of on-time share that is not a failure.")
    ] = 0.0,
    output: OutputOption = "text",
) -> None:
    """Compare two runs; exit 1 if a stream lost more than is allowed, beyond chance."""
    try:
        first, second = load_run(older), load_run(newer)
    except (ValueError, OSError) as error:
        raise _bad_input(error) from None
    comparisons = compare_runs(first, second)
    for name in missing_streams(first, second):
        sys.stderr.write(f"only one run has the stream {name}\n")
    if (first.scenario, first.seed) != (second.scenario, second.seed):
        sys.stderr.write("the runs are of different scenarios or seeds\n")
    if output == "json":
        rows = [asdict(item) | {"change": item.change} for item in comparisons]
        sys.stdout.write(json.dumps(rows, indent=2) + "\n")
    else:
        sys.stdout.write("\n".join(render_comparison(comparisons)) + "\n")
    if widest_difference(comparisons) > allowed_loss:
        raise typer.Exit(EXIT_FAILED)


def run() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    run()
