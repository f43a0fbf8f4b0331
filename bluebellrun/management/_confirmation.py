"""Commands on plans that were made: confirm, show, plans, withdraw, undo."""

import sys
from typing import Annotated

import typer

from bluebellrun.management._intents import show_plan
from bluebellrun.management._options import (
    DEFAULT_PREFIX,
    EXIT_CONFLICT,
    OutputOption,
    PlanOutputOption,
    PrefixOption,
    StoreOption,
    TokenOption,
)
from bluebellrun.management._render import plans_json, render_plans
from bluebellrun.management._session import Session, run_session
from bluebellrun.plans import Plan, PlanConflictError

PlanArgument = Annotated[str, typer.Argument(metavar="PLAN", help="Id of the plan.")]


def confirm(
    store: StoreOption,
    plan_id: PlanArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Put a plan in force if what it rests on still holds; again has no further effect.

    When another operator was first, nothing is changed: the difference goes to standard error,
    a new plan to standard output, and the exit status is 3.
    """

    async def act(session: Session) -> tuple[Plan, PlanConflictError | None]:
        try:
            return await session.repository.confirm(plan_id, session.operator), None
        except PlanConflictError as conflict:
            return await session.repository.renew(plan_id, session.operator), conflict

    shown, conflict = run_session(store, store_prefix, token, "confirmer", act)
    if conflict is not None:
        sys.stderr.write(f"{conflict}\n")
    show_plan(shown, output)
    if conflict is not None:
        raise typer.Exit(EXIT_CONFLICT)


def show(
    store: StoreOption,
    plan_id: PlanArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Show a plan and what became of it."""

    async def act(session: Session) -> Plan:
        return (await session.repository.read_plan(plan_id))[0]

    show_plan(run_session(store, store_prefix, token, "viewer", act), output)


def plans(
    store: StoreOption,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: OutputOption = "text",
) -> None:
    """List the plans of the last week."""

    async def act(session: Session) -> list[Plan]:
        return await session.repository.list_plans()

    found = run_session(store, store_prefix, token, "viewer", act)
    text = plans_json(found) if output == "json" else render_plans(found)
    sys.stdout.write(text + "\n")


def withdraw(
    store: StoreOption,
    plan_id: PlanArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Make sure that a plan which is not in force never will be."""

    async def act(session: Session) -> Plan:
        return await session.repository.withdraw(plan_id)

    show_plan(run_session(store, store_prefix, token, "planner", act), output)


def undo(
    store: StoreOption,
    plan_id: PlanArgument,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
    output: PlanOutputOption = "text",
) -> None:
    """Plan to take back what a plan in force changed, and nothing else."""

    async def act(session: Session) -> Plan:
        return await session.repository.undo(plan_id, session.operator)

    show_plan(run_session(store, store_prefix, token, "planner", act), output)
