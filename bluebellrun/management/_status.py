"""The command that says which version each process has in force."""

import json
import logging
import sys
from collections.abc import Mapping
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, TypeVar

import curio
import typer

from bluebellrun.core import Address, parse_address
from bluebellrun.distribution import FleetSurvey, survey_fleet
from bluebellrun.http import (
    Tls,
    TlsError,
    TlsFiles,
    link_security,
)
from bluebellrun.management._options import (
    DEFAULT_PREFIX,
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    EXIT_NOT_FINISHED,
    OutputOption,
    PrefixOption,
    StoreOption,
)
from bluebellrun.management._session import fail, read_addresses
from bluebellrun.store import EtcdStore, StoreTimeouts
from bluebellrun.transport import LinkTiming

STORE_TIMEOUT_S = 2.0
MAX_LISTED = 20

FileOption = Path | None
ItemT = TypeVar("ItemT")


def status(
    store: StoreOption,
    peer: Annotated[
        list[str] | None,
        typer.Option(help="IP:PORT of a process's links, for when the store is down."),
    ] = None,
    check: Annotated[bool, typer.Option(help="Exit 7 unless all have the newest version.")] = False,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    link_certificate: Annotated[
        FileOption,
        typer.Option(envvar="BLUEBELLRUN_LINK_CERTIFICATE", help="PEM file, where links use TLS."),
    ] = None,
    link_key: Annotated[
        FileOption,
        typer.Option(envvar="BLUEBELLRUN_LINK_KEY", help="PEM file of the certificate's key."),
    ] = None,
    link_authority: Annotated[
        FileOption,
        typer.Option(envvar="BLUEBELLRUN_LINK_AUTHORITY", help="PEM file of the links' authority."),
    ] = None,
    output: OutputOption = "text",
) -> None:
    """Say how many processes have the newest version in force, and which do not."""
    seeds = read_addresses(peer)
    _use_tls(TlsFiles(link_certificate, link_key, link_authority))
    logging.getLogger("curio").setLevel(logging.CRITICAL)
    try:
        survey = curio.run(_survey, parse_address(store), store_prefix, seeds)
    except ValueError as error:
        raise fail(EXIT_BAD_INPUT, str(error)) from None
    if not survey.processes:
        raise fail(EXIT_FAILED, "no process answered; name some with --peer IP:PORT")
    if output == "json":
        sys.stdout.write(json.dumps(_as_json(survey), indent=2) + "\n")
    else:
        sys.stdout.write("\n".join(render_survey(survey)) + "\n")
    if check and survey.up_to_date < survey.processes:
        raise typer.Exit(EXIT_NOT_FINISHED)


def render_survey(survey: FleetSurvey) -> list[str]:
    """Return a survey in lines, the behind and the unhealthy by name."""
    current = f"{survey.up_to_date} of {survey.processes} processes"
    lines = [f"version {survey.newest} is in force on {current}"]
    for domain in survey.domains:
        name = domain.failure_domain or "(no failure domain)"
        members = ", ".join(f"{count} {state}" for state, count in sorted(domain.members.items()))
        lines.append(f"{name}: {members}; versions {_versions(domain.versions)}")
        if domain.silent:
            lines.append(f"  {domain.silent} live processes are in no report yet")
        lines += [f"  behind: {who} has {version}" for who, version in _some(domain.behind)]
        lines += [f"  {state}: {who}" for who, state in _some(domain.unhealthy)]
    lines += [f"no answer from {address}" for address in survey.unreachable[:MAX_LISTED]]
    return lines


def _versions(versions: dict[int, int]) -> str:
    """Return how many processes have each version, the newest first."""
    return ", ".join(f"{version} on {count}" for version, count in sorted(versions.items())[::-1])


def _some(items: Mapping[str, ItemT]) -> list[tuple[str, ItemT]]:
    """Return the first items by name."""
    return sorted(items.items(), key=lambda item: item[0])[:MAX_LISTED]


def _as_json(survey: FleetSurvey) -> dict[str, object]:
    """Return a survey as JSON can hold it."""
    return {
        "newest": survey.newest,
        "processes": survey.processes,
        "up_to_date": survey.up_to_date,
        "domains": [asdict(domain) for domain in survey.domains],
        "unreachable": list(survey.unreachable),
    }


def _use_tls(files: TlsFiles) -> None:
    """Let the links to the fleet use TLS where files are given."""
    if files.authority is None:
        return
    try:
        link_security.configure(Tls(files))
    except TlsError as error:
        raise fail(EXIT_BAD_INPUT, str(error)) from None


async def _survey(store: Address, prefix: str, seeds: list[Address]) -> FleetSurvey:
    """Ask the fleet."""
    client = EtcdStore(store, StoreTimeouts(STORE_TIMEOUT_S))
    try:
        return await survey_fleet(client, prefix, seeds, LinkTiming())
    finally:
        await client.close()
