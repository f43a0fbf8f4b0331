"""The command that checks the configuration of gateways before it is sent; it writes nothing."""

import json
import logging
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import curio
import typer

from bluebellrun.configuration_check import (
    Difference,
    Finding,
    View,
    compare,
    find_faults,
    find_version_fault,
)
from bluebellrun.core import parse_address
from bluebellrun.http import memory_settings
from bluebellrun.management._options import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    EXIT_STORE,
    OutputOption,
)
from bluebellrun.management._session import STORE_TIMEOUT_S, fail
from bluebellrun.platform import (
    ConfigurationError,
    read_configuration_in_force,
    view_configuration,
)
from bluebellrun.store import PlatformError

MEGABYTE = 1_000_000
# A document of 5,000 routes takes about 1 MB; the bound keeps endless files out of memory.
MAX_FILE_BYTES = 16_777_216
MAX_LISTED = 1_000
IN_FORCE = "the configuration in force"


def check(
    file: Annotated[Path, typer.Argument(help="JSON document of the gateways' configuration.")],
    against: Annotated[
        Path | None, typer.Option(help="Earlier document; list what differs from it.")
    ] = None,
    in_force: Annotated[
        bool, typer.Option("--in-force", help="List what differs from the stored configuration.")
    ] = False,
    store: Annotated[
        str,
        typer.Option(envvar="BLUEBELLRUN_STORE", help="IP:PORT of the store, for --in-force."),
    ] = "",
    smallest_memory_mb: Annotated[
        int, typer.Option(min=0, help="Memory of the smallest gateway; 0 checks no body limit.")
    ] = 0,
    output: OutputOption = "text",
) -> None:
    """Check the gateways' configuration before it is sent; write nothing. Exit 1 on findings."""
    if against is not None and in_force:
        raise fail(EXIT_BAD_INPUT, "--against and --in-force exclude each other; pass one")
    view = _view(str(file), _read(file))
    old = None
    if against is not None:
        old = _view(str(against), _read(against))
    elif in_force:
        old = _view(IN_FORCE, _read_store(store))
    findings = find_faults(view, _most_body_bytes(smallest_memory_mb))
    differences: list[Difference] | None = None
    if old is not None and view.deployment is not None:
        if old.deployment is None:
            raise fail(
                EXIT_BAD_INPUT,
                f"{_printable(str(against or IN_FORCE))}: {_printable(old.problems[0].message)}",
            )
        differences = compare(old, view)
        fault = find_version_fault(old, view, differences)
        findings += [] if fault is None else [fault]
    if output == "json":
        sys.stdout.write(json.dumps(_as_json(findings, differences), indent=2) + "\n")
    else:
        lines = render(findings, differences)
        sys.stdout.write("\n".join(lines) + "\n")
    if findings:
        raise typer.Exit(EXIT_FAILED)


def render(findings: Sequence[Finding], differences: Sequence[Difference] | None) -> list[str]:
    """Return findings and differences in lines that an operator can read."""
    lines = [f"{len(findings)} findings" if findings else "nothing found"]
    lines += _first([f"  {item.place or 'document'}: {item.message}" for item in findings])
    if differences is not None:
        lines.append(f"{len(differences)} differences" if differences else "no differences")
        lines += _first(
            [
                f"  {item.effect.value}: {item.part}{f' {item.name}' if item.name else ''}: "
                f"{item.message}"
                for item in differences
            ]
        )
    return [_printable(line) for line in lines]


def _first(lines: list[str]) -> list[str]:
    """Return the first lines where there are many."""
    more = len(lines) - MAX_LISTED
    if more <= 0:
        return lines
    return [*lines[:MAX_LISTED], f"  and {more} more; see them with --output json"]


def _printable(text: str) -> str:
    """Return text without characters that a terminal would act on or cannot show."""
    return "".join(
        letter if letter.isprintable() else letter.encode("unicode_escape").decode()
        for letter in text
    )


def _as_json(
    findings: Sequence[Finding], differences: Sequence[Difference] | None
) -> dict[str, object]:
    """Return findings and differences as JSON values; differences are null without another file."""
    return {
        "clean": not findings,
        "findings": [{"place": item.place, "message": item.message} for item in findings],
        "differences": None
        if differences is None
        else [
            {
                "effect": item.effect.value,
                "part": item.part,
                "name": item.name,
                "message": item.message,
            }
            for item in differences
        ],
    }


def _most_body_bytes(memory_mb: int) -> int:
    """Return how large a body a gateway with some memory holds beside others; 0 is no bound."""
    if not memory_mb:
        return 0
    budget = memory_settings(memory_mb * MEGABYTE)
    return max(1, budget.total_bytes - budget.reserved_bytes)


def _read(path: Path) -> bytes:
    """Return the content of a file; exit if it cannot be read or is too long."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise fail(EXIT_BAD_INPUT, f"{_printable(str(path))}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise fail(EXIT_BAD_INPUT, f"{_printable(str(path))}: over {MAX_FILE_BYTES} bytes")
    return data


def _read_store(store: str) -> bytes:
    """Return the stored configuration; exit if there is none or the store cannot be reached."""
    if not store:
        raise fail(EXIT_BAD_INPUT, "--in-force needs --store IP:PORT or BLUEBELLRUN_STORE")
    logging.getLogger("curio").setLevel(logging.CRITICAL)
    try:
        data = curio.run(read_configuration_in_force, parse_address(store), STORE_TIMEOUT_S)
    except PlatformError as error:
        message = f"the key-value service at {store}: {_printable(str(error))}"
        raise fail(EXIT_STORE, message) from None
    except ValueError as error:
        raise fail(EXIT_BAD_INPUT, _printable(str(error))) from None
    if data is None:
        raise fail(EXIT_BAD_INPUT, f"the key-value service at {store} holds no configuration")
    return data


def _view(name: str, data: bytes) -> View:
    """Return a document with its places; exit if it is not JSON."""
    try:
        return view_configuration(data)
    except ConfigurationError as error:
        raise fail(EXIT_BAD_INPUT, _printable(f"{name}: {error}")) from None
