"""The ``bluebellrun-report`` program."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Literal

import curio
import typer
from pydantic import TypeAdapter, ValidationError
from rich.console import Console

from bluebellrun.core import Address, parse_address
from bluebellrun.http import Tls, TlsError, TlsFiles
from bluebellrun.reports._client import Collected, collect_snapshots
from bluebellrun.reports._exceptions import ReportError
from bluebellrun.reports._models import Snapshot
from bluebellrun.reports._plot import save_plot
from bluebellrun.reports._rebalancing import read_rebalancing
from bluebellrun.reports._render import print_report, render_json
from bluebellrun.reports._report import RebalancingCost, Report, make_report
from bluebellrun.store import EtcdStore, KeyValueStore, PlatformError, StoreTimeouts

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_STORE = 4
EXIT_NOT_ALLOWED = 6
STORE_TIMEOUT_S = 5.0
TABLE_WIDTH = 150

application = typer.Typer(help="Report how service-level objectives burn their error budgets.")
_snapshots = TypeAdapter(list[Snapshot])


def _fail(status: int, message: str) -> typer.Exit:
    """Write an error and return the exit that carries its status."""
    sys.stderr.write(message + "\n")
    return typer.Exit(status)


def _ask(entries: Sequence[Address], token: str, authority: Path | None) -> Collected[Snapshot]:
    """Ask entries for their snapshots."""
    try:
        tls = None if authority is None else Tls(TlsFiles(authority=authority))
        return curio.run(collect_snapshots, entries, token, tls)
    except ReportError as error:
        raise _fail(EXIT_NOT_ALLOWED, str(error)) from None
    except TlsError as error:
        raise _fail(EXIT_BAD_INPUT, str(error)) from None


def _read_costs(store: str, prefix: str) -> list[RebalancingCost]:
    """Return what rebalancing has cost, from the key-value service."""

    async def main() -> list[RebalancingCost]:
        client: KeyValueStore = EtcdStore(parse_address(store), StoreTimeouts(STORE_TIMEOUT_S))
        return await read_rebalancing(client, prefix)

    try:
        return curio.run(main)
    except PlatformError as error:
        raise _fail(EXIT_STORE, f"the key-value service at {store}: {error}") from None
    except ValueError as error:
        raise _fail(EXIT_BAD_INPUT, str(error)) from None


def _read_file(path: Path) -> Collected[Snapshot]:
    """Return the snapshots that were saved in a file."""
    try:
        saved = _snapshots.validate_json(path.read_bytes())
    except (OSError, ValidationError) as error:
        raise _fail(EXIT_BAD_INPUT, f"{path}: {error}; save one with --save") from None
    return Collected(tuple(saved), {})


def _write(report: Report, output: str) -> None:
    """Write a report to standard output."""
    if output == "json":
        sys.stdout.write(render_json(report) + "\n")
        return
    wide = sys.stdout.isatty()
    print_report(report, Console(width=None if wide else TABLE_WIDTH))


@application.command()
def report(
    entry: Annotated[
        list[str] | None,
        typer.Option(
            "--entry",
            envvar="BLUEBELLRUN_ENTRIES",
            help="IP:PORT of an entry; may be repeated, or separated by spaces in the variable.",
        ),
    ] = None,
    token: Annotated[
        str,
        typer.Option(
            "--token",
            envvar="BLUEBELLRUN_OPERATOR_TOKEN",
            help="Operator's token; better in the variable than as a flag.",
            show_default=False,
        ),
    ] = "",
    authority: Annotated[
        Path | None,
        typer.Option(
            "--authority",
            envvar="BLUEBELLRUN_CALLERS_AUTHORITY",
            help="PEM file of the authority of entries that serve TLS.",
        ),
    ] = None,
    store: Annotated[
        str,
        typer.Option(
            "--store",
            envvar="BLUEBELLRUN_STORE",
            help="IP:PORT of the key-value service, which keeps the cost of rebalancing.",
        ),
    ] = "",
    store_prefix: Annotated[
        str, typer.Option("--store-prefix", envvar="BLUEBELLRUN_STORE_PREFIX")
    ] = "/bluebellrun",
    saved: Annotated[
        Path | None, typer.Option("--from", help="Read snapshots saved by --save; ask nobody.")
    ] = None,
    save: Annotated[
        Path | None, typer.Option("--save", help="Save the snapshots to a JSON file.")
    ] = None,
    plot: Annotated[
        Path | None, typer.Option("--plot", help="Write a plot to a file, .png or .svg.")
    ] = None,
    output: Annotated[
        Literal["text", "json"], typer.Option("--output", "-o", help="text or json.")
    ] = "text",
) -> None:
    """Merge what entries tell into one report; exit 1 when no entry answered."""
    if saved is None and not entry:
        raise _fail(EXIT_BAD_INPUT, "name an entry with --entry IP:PORT, or a file with --from")
    try:
        entries = [parse_address(item) for item in entry or []]
    except ValueError as error:
        raise _fail(EXIT_BAD_INPUT, str(error)) from None
    collected = _ask(entries, token, authority) if saved is None else _read_file(saved)
    for reason in collected.missing.values():
        sys.stderr.write(f"no answer: {reason}\n")
    if not collected.answers:
        raise _fail(EXIT_FAILED, "no entry answered; there is nothing to report")
    costs = _read_costs(store, store_prefix) if store else []
    made = make_report(collected.answers, list(collected.missing), costs)
    if save is not None:
        save.write_bytes(_snapshots.dump_json(list(collected.answers)))
    _write(made, output)
    if plot is not None:
        try:
            save_plot(made, plot)
        except (ValueError, OSError) as error:
            raise _fail(EXIT_BAD_INPUT, str(error)) from None


def run() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    run()
