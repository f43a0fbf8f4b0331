"""The ``bluebellrun-ctl`` program."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, TypeVar

import curio
import typer

from bluebellrun.core import parse_address
from bluebellrun.declarations import DeclarationError, UpstreamDocument, read_folder
from bluebellrun.management._render import render_plan
from bluebellrun.plans import (
    Plan,
    PlanConflictError,
    PlanError,
    PlanRepository,
    compare_documents,
)
from bluebellrun.platform import EtcdStore, PlatformError, StoreTimeouts
from bluebellrun.upstreams import UpstreamState

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_STORE = 4
STORE_TIMEOUT_S = 5.0

ResultT = TypeVar("ResultT")

application = typer.Typer(
    help="Plan and confirm changes of a bluebellrun fleet.", no_args_is_help=True
)

StoreOption = Annotated[
    str,
    typer.Option(
        "--store", envvar="BLUEBELLRUN_STORE", help="IP:PORT of the key-value service's gateway."
    ),
]
PrefixOption = Annotated[
    str,
    typer.Option("--store-prefix", envvar="BLUEBELLRUN_STORE_PREFIX", help="Prefix of all keys."),
]
OutputOption = Annotated[str, typer.Option("--output", "-o", help="text or json.")]


def _fail(status: int, message: str) -> typer.Exit:
    """Write an error and return the exit that carries its status."""
    sys.stderr.write(message + "\n")
    return typer.Exit(status)


def _with_repository(
    store: str, prefix: str, action: Callable[[PlanRepository], Awaitable[ResultT]]
) -> ResultT:
    """Run an action on the plans in the store; turn errors into exit statuses."""

    async def main() -> ResultT:
        client = EtcdStore(parse_address(store), StoreTimeouts(STORE_TIMEOUT_S))
        return await action(PlanRepository(client, prefix))

    try:
        return curio.run(main)
    except PlanConflictError as error:
        raise _fail(EXIT_CONFLICT, str(error)) from None
    except (PlanError, DeclarationError) as error:
        raise _fail(EXIT_FAILED, str(error)) from None
    except PlatformError as error:
        raise _fail(EXIT_STORE, f"the key-value service at {store}: {error}") from None
    except ValueError as error:
        raise _fail(EXIT_BAD_INPUT, str(error)) from None


def _show(plan: Plan, output: str) -> None:
    """Write a plan to standard output."""
    text = plan.model_dump_json(indent=2) if output == "json" else render_plan(plan)
    sys.stdout.write(text + "\n")


@application.command()
def plan(
    store: StoreOption,
    folder: Annotated[Path, typer.Option("--folder", "-f", help="Folder of YAML documents.")],
    store_prefix: PrefixOption = "/bluebellrun",
    output: OutputOption = "text",
) -> None:
    """Say what would change if the declarations in a folder were in force."""
    try:
        wanted = read_folder(folder)
    except DeclarationError as error:
        raise _fail(EXIT_BAD_INPUT, str(error)) from None

    async def act(repository: PlanRepository) -> Plan:
        stored = await repository.read_configuration()
        changes = compare_documents(stored.documents, wanted)
        return await repository.make_plan(f"declare {folder}", changes, stored.revisions, [])

    _show(_with_repository(store, store_prefix, act), output)


@application.command()
def drain(
    store: StoreOption,
    upstream: Annotated[str, typer.Argument(help="Name of the upstream.")],
    store_prefix: PrefixOption = "/bluebellrun",
    output: OutputOption = "text",
) -> None:
    """Plan that an upstream takes no new work; what is in progress there ends in peace."""

    async def act(repository: PlanRepository) -> Plan:
        stored = await repository.read_configuration()
        wanted = []
        found = False
        for document in stored.documents:
            if isinstance(document, UpstreamDocument) and document.name == upstream:
                found = True
                document = document.model_copy(update={"state": UpstreamState.DRAINING})
            wanted.append(document)
        if not found:
            raise PlanError(f"upstream {upstream!r} is not declared")
        changes = compare_documents(stored.documents, wanted)
        return await repository.make_plan(f"drain {upstream}", changes, stored.revisions, [])

    _show(_with_repository(store, store_prefix, act), output)


@application.command()
def confirm(
    store: StoreOption,
    plan_id: Annotated[str, typer.Argument(metavar="PLAN", help="Id of the plan.")],
    store_prefix: PrefixOption = "/bluebellrun",
    output: OutputOption = "text",
) -> None:
    """Put a plan in force; confirming it again has no further effect."""

    async def act(repository: PlanRepository) -> Plan:
        return await repository.confirm(plan_id)

    _show(_with_repository(store, store_prefix, act), output)


def run() -> None:
    """Run the command line."""
    application()


if __name__ == "__main__":
    run()
