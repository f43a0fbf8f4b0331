"""The ``bluebellrun-load`` program."""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import curio
import typer

from bluebellrun.core import parse_address
from bluebellrun.load._arrivals import plan_arrivals
from bluebellrun.load._client import run_arrivals
from bluebellrun.load._results import GroupSummary, summarize
from bluebellrun.load._scenario import load_scenario

EXIT_BAD_INPUT = 2


def _text(summary: GroupSummary) -> str:
    """Return a summary in one line."""
    return (
        f"{summary.stream}: {summary.requests} requests, {summary.on_time_share:.1%} on time, "
        f"first byte p50 {summary.first_byte_p50_s:.3f} s, p95 {summary.first_byte_p95_s:.3f} s, "
        f"gap p95 {summary.gap_p95_s * 1000:.0f} ms, outcomes {summary.outcomes}"
    )


def start(
    scenario: Annotated[Path, typer.Argument(help="Scenario file.")],
    entry: Annotated[list[str], typer.Option(help="IP:PORT of an entry; may be repeated.")],
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    output: Annotated[str, typer.Option("--output", "-o", help="text or json.")] = "text",
) -> None:
    """Send the requests of a scenario at their planned times and sum up the answers."""
    try:
        entries = [parse_address(item) for item in entry]
        arrivals = plan_arrivals(load_scenario(scenario), seed)
    except (ValueError, OSError) as error:
        sys.stderr.write(f"{error}\n")
        raise typer.Exit(EXIT_BAD_INPUT) from None
    summaries = summarize(arrivals, curio.run(run_arrivals, arrivals, entries))
    if output == "json":
        sys.stdout.write(json.dumps([asdict(item) for item in summaries], indent=2) + "\n")
        return
    for item in summaries:
        sys.stdout.write(_text(item) + "\n")


def run() -> None:
    """Run the command line."""
    typer.run(start)


if __name__ == "__main__":
    run()
