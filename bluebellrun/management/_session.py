"""What each command does around its work: connect, check the operator, turn errors into exits."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import curio
import typer

from bluebellrun.core import Address, parse_address
from bluebellrun.declarations import Configuration, DeclarationError, build_configuration
from bluebellrun.http import Tls, TlsError, TlsFiles
from bluebellrun.management._options import (
    EXIT_BAD_INPUT,
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_NOT_ALLOWED,
    EXIT_STORE,
    EXIT_UNKNOWN,
)
from bluebellrun.plans import PlanConflictError, PlanError, PlanRepository, PlanUnknownError
from bluebellrun.store import EtcdStore, KeyValueStore, PlatformError, StoreTimeouts

STORE_TIMEOUT_S = 5.0

ResultT = TypeVar("ResultT")


class NotAllowedError(Exception):
    """The operator may not do this."""


@dataclass(frozen=True, slots=True)
class Session:
    """The store and its plans, and who the operator is; empty where none is declared."""

    store: KeyValueStore
    repository: PlanRepository
    prefix: str
    operator: str


def fail(status: int, message: str) -> typer.Exit:
    """Write an error and return the exit that carries its status."""
    sys.stderr.write(message + "\n")
    return typer.Exit(status)


def read_addresses(texts: list[str] | None) -> list[Address]:
    """Return addresses given as text; exit when one is wrong."""
    try:
        return [parse_address(text) for text in texts or []]
    except ValueError as error:
        raise fail(EXIT_BAD_INPUT, str(error)) from None


def make_entry_tls(authority: Path | None) -> Tls | None:
    """Return the TLS to ask entries with, or none; exit when the file cannot be used."""
    if authority is None:
        return None
    try:
        return Tls(TlsFiles(authority=authority))
    except TlsError as error:
        raise fail(EXIT_BAD_INPUT, str(error)) from None


def check_role(configuration: Configuration, token: str, role: str) -> str:
    """Return the operator's name; raise ``NotAllowedError`` when it may not act in a role.

    Anyone may act while no operator is declared.
    """
    if not configuration.operators:
        return ""
    if not token:
        raise NotAllowedError("operators are declared: set BLUEBELLRUN_OPERATOR_TOKEN to a token")
    operator = configuration.find_operator(token)
    if operator is None:
        raise NotAllowedError("the token is not known; ask for one whose hash is declared")
    if role not in operator.roles:
        roles = ", ".join(sorted(operator.roles)) or "none"
        raise NotAllowedError(f"operator {operator.name} needs the role {role}; it has: {roles}")
    return operator.name


def run_session(
    store: str,
    prefix: str,
    token: str,
    role: str,
    action: Callable[[Session], Awaitable[ResultT]],
) -> ResultT:
    """Run an action as the operator of a token; turn errors into exit statuses."""

    async def main() -> ResultT:
        client = EtcdStore(parse_address(store), StoreTimeouts(STORE_TIMEOUT_S))
        try:
            repository = PlanRepository(client, prefix)
            stored = await repository.read_configuration()
            configuration = build_configuration(0, stored.documents)
            operator = check_role(configuration, token, role)
            return await action(Session(client, repository, prefix, operator))
        finally:
            await client.close()

    try:
        return curio.run(main)
    except NotAllowedError as error:
        raise fail(EXIT_NOT_ALLOWED, str(error)) from None
    except PlanConflictError as error:
        raise fail(EXIT_CONFLICT, str(error)) from None
    except PlanUnknownError as error:
        raise fail(EXIT_UNKNOWN, str(error)) from None
    except (PlanError, DeclarationError) as error:
        raise fail(EXIT_FAILED, str(error)) from None
    except PlatformError as error:
        raise fail(EXIT_STORE, f"the key-value service at {store}: {error}") from None
    except ValueError as error:
        raise fail(EXIT_BAD_INPUT, str(error)) from None
