"""Commands that make plans; each answers with a plan and changes nothing."""

import sys
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Annotated

import typer

from bluebellrun.declarations import DeclarationError, read_folder
from bluebellrun.management._options import (
    DEFAULT_PREFIX,
    EXIT_BAD_INPUT,
    EXIT_NOT_ALLOWED,
    AuthorityOption,
    EntriesOption,
    PlanFormat,
    PlanOutputOption,
    PrefixOption,
    StoreOption,
    TokenOption,
)
from bluebellrun.management._render import render_plan
from bluebellrun.management._session import (
    Session,
    fail,
    make_entry_tls,
    read_addresses,
    run_session,
)
from bluebellrun.plans import (
    Declare,
    Drain,
    Hold,
    Intent,
    Plan,
    Rebalance,
    SetShare,
    Shift,
    Undrain,
)
from bluebellrun.reports import ReportRefusedError, collect_statuses

GIGABYTE = 1_000_000_000

UpstreamsArgument = Annotated[list[str], typer.Argument(help="Names of upstreams.")]
GroupArgument = Annotated[str, typer.Argument(help="Name of the model group.")]


def show_plan(plan: Plan, output: PlanFormat) -> None:
    """Write a plan to standard output."""
    match output:
        case "id":
            text = plan.plan_id
        case "json":
            text = plan.model_dump_json(indent=2)
        case _:
            text = render_plan(plan)
    sys.stdout.write(text + "\n")


def make_plan(
    intent: Intent,
    store: str,
    prefix: str,
    token: str,
    output: PlanFormat,
    entries: list[str] | None = None,
    authority: Path | None = None,
) -> None:
    """Make the plan of an intent and show it."""
    addresses = read_addresses(entries)
    tls = make_entry_tls(authority)

    async def act(session: Session) -> Plan:
        in_progress: Mapping[str, int] | None = None
        if addresses:
            collected = await collect_statuses(addresses, token, tls)
            for reason in collected.missing.values():
                sys.stderr.write(f"no answer: {reason}\n")
            if not collected.missing:
                in_progress = _add_up(status.in_progress for status in collected.answers)
        return await session.repository.make_plan(intent, session.operator, in_progress)

    try:
        made = run_session(store, prefix, token, "planner", act)
    except ReportRefusedError as error:
        raise fail(EXIT_NOT_ALLOWED, str(error)) from None
    show_plan(made, output)


def _add_up(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    """Return the sums of counts by name."""
    total: dict[str, int] = {}
    for item in counts:
        for name, count in item.items():
            total[name] = total.get(name, 0) + count
    return total


def plan(
    store: StoreOption,
    folder: Annotated[Path, typer.Option("--folder", "-f", help="Folder of YAML documents.")],
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    entry: EntriesOption = None,
    authority: AuthorityOption = None,
    output: PlanOutputOption = "text",
) -> None:
    """Say what would change if exactly the declarations in a folder were in force."""
    try:
        wanted = read_folder(folder)
    except DeclarationError as error:
        raise fail(EXIT_BAD_INPUT, str(error)) from None
    intent = Declare(str(folder), tuple(wanted))
    make_plan(intent, store, store_prefix, token, output, entry, authority)


def drain(
    store: StoreOption,
    upstreams: UpstreamsArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    entry: EntriesOption = None,
    authority: AuthorityOption = None,
    output: PlanOutputOption = "text",
) -> None:
    """Plan that upstreams take no new work; what is in progress there ends in peace."""
    make_plan(Drain(tuple(upstreams)), store, store_prefix, token, output, entry, authority)


def undrain(
    store: StoreOption,
    upstreams: UpstreamsArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Plan that drained upstreams take work again."""
    make_plan(Undrain(tuple(upstreams)), store, store_prefix, token, output)


def shift(
    store: StoreOption,
    group: GroupArgument,
    version: Annotated[str, typer.Argument(help="Name of the model-version document.")],
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Plan that a model group moves to another version of its model."""
    make_plan(Shift(group, version), store, store_prefix, token, output)


def share(
    store: StoreOption,
    customer: Annotated[str, typer.Argument(help="Name of the customer.")],
    weight: Annotated[float, typer.Argument(help="Its weight beside other customers.")],
    service: Annotated[str, typer.Option(help="Only on this service.")] = "",
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Plan another share for a customer, in general or on one service."""
    make_plan(SetShare(customer, weight, service), store, store_prefix, token, output)


def rebalance(
    store: StoreOption,
    group: GroupArgument,
    max_moved_gb: Annotated[
        float, typer.Option(min=0, help="Most weights to move, in GB; 0 sets no limit.")
    ] = 0.0,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Plan that a model group places its experts anew."""
    limit = round(max_moved_gb * GIGABYTE)
    make_plan(Rebalance(group, limit), store, store_prefix, token, output)


def pause(
    store: StoreOption,
    group: GroupArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Plan that a model group stops its shift or rebalancing where it stands."""
    make_plan(Hold(group, True), store, store_prefix, token, output)


def resume(
    store: StoreOption,
    group: GroupArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Plan that a paused model group goes on."""
    make_plan(Hold(group, False), store, store_prefix, token, output)
