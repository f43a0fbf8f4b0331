"""Follow the effect of a plan: a progress bar on a terminal, JSON lines otherwise."""

import json
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Annotated

import curio
import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskID, TextColumn, TimeElapsedColumn

from bluebellrun.core import Address
from bluebellrun.http import Tls
from bluebellrun.management._confirmation import PlanArgument
from bluebellrun.management._options import (
    DEFAULT_PREFIX,
    EXIT_BAD_INPUT,
    EXIT_NOT_ALLOWED,
    EXIT_NOT_FINISHED,
    AuthorityOption,
    EntriesOption,
    PrefixOption,
    StoreOption,
    TokenOption,
)
from bluebellrun.management._session import (
    Session,
    fail,
    make_entry_tls,
    read_addresses,
    run_session,
)
from bluebellrun.plans import GroupProgress, Plan, read_progress
from bluebellrun.reports import ReportRefusedError, Status, collect_statuses

POLL_S = 0.5


@dataclass(frozen=True, slots=True)
class Stage:
    """One part of a plan's effect: so many of its units are done."""

    name: str
    done: int
    total: int
    note: str = ""

    @property
    def finished(self) -> bool:
        """Return whether nothing is left to do."""
        return self.done >= self.total


def find_stages(
    plan: Plan,
    statuses: Sequence[Status],
    missing: int,
    groups: dict[str, GroupProgress],
    most_seen: dict[str, int],
) -> list[Stage]:
    """Return how far the effect of a plan has come.

    ``most_seen`` remembers the most requests that were in progress at each leaving upstream.
    """
    current = [item for item in statuses if item.version >= plan.confirmed_revision]
    note = f"{missing} gave no answer" if missing else ""
    stages = [Stage("in force", len(current), len(statuses) + missing, note)]
    for change in plan.changes:
        draining = change.after is not None and change.after.get("state") == "draining"
        if change.kind == "upstream" and draining:
            left = sum(item.in_progress.get(change.name, 0) for item in statuses)
            most = most_seen[change.name] = max(left, most_seen.get(change.name, 0))
            stages.append(Stage(f"drain {change.name}", most - left, most, f"{left} in progress"))
        fields = change.changed_fields()
        if (
            change.kind == "model-group"
            and change.before
            and fields.keys()
            & {
                "version",
                "rebalance",
            }
        ):
            stages.append(_group_stage(change.name, fields, groups.get(change.name)))
    return stages


def _group_stage(name: str, wanted: dict[str, object], told: GroupProgress | None) -> Stage:
    """Return how far a group has come."""
    if told is None:
        return Stage(f"group {name}", 0, 1, "its coordinator has told nothing yet")
    current = told.model_dump()
    reached = all(current[key] == value for key, value in wanted.items() if key in current)
    if reached and told.done >= told.total:
        return Stage(f"group {name}", max(1, told.total), max(1, told.total), told.step)
    total = max(1, told.total)
    return Stage(f"group {name}", min(told.done, total - 1), total, told.step)


class _JsonLines:
    """Write a line whenever something has changed."""

    def __init__(self) -> None:
        self._last: list[Stage] = []

    def show(self, stages: list[Stage]) -> None:
        """Write the stages if they are news."""
        if stages == self._last:
            return
        self._last = stages
        done = all(stage.finished for stage in stages)
        line = {"done": done, "stages": [asdict(stage) for stage in stages]}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()


class _Bars:
    """Draw one bar for each stage on a terminal."""

    def __init__(self, progress: Progress) -> None:
        self._progress = progress
        self._tasks: dict[str, TaskID] = {}

    def show(self, stages: list[Stage]) -> None:
        """Draw the stages."""
        for stage in stages:
            if stage.name not in self._tasks:
                self._tasks[stage.name] = self._progress.add_task(stage.name, note="")
            total = stage.total or 1
            done = stage.done if stage.total else 1
            task = self._tasks[stage.name]
            self._progress.update(task, completed=done, total=total, note=stage.note)


def progress(
    store: StoreOption,
    plan_id: PlanArgument,
    entry: EntriesOption = None,
    authority: AuthorityOption = None,
    timeout_s: Annotated[
        float, typer.Option(min=0, help="Longest time to follow, in s; 0 looks once.")
    ] = 600.0,
    store_prefix: PrefixOption = DEFAULT_PREFIX,
    token: TokenOption = "",
) -> None:
    """Follow a confirmed plan until its effect is complete; Ctrl-C stops only the watching.

    Draws bars on a terminal and writes JSON lines otherwise.
    """
    addresses = read_addresses(entry)
    if not addresses:
        raise fail(EXIT_BAD_INPUT, "name the entries to ask with --entry IP:PORT")
    tls = make_entry_tls(authority)
    target = _Target(plan_id, addresses, token, tls, timeout_s)
    try:
        if not sys.stdout.isatty():
            done = _follow(store, store_prefix, target, _JsonLines().show)
        else:
            columns = (TextColumn("{task.description}"), BarColumn())
            notes = TextColumn("{task.fields[note]}")
            with Progress(*columns, notes, TimeElapsedColumn(), console=Console()) as bars:
                done = _follow(store, store_prefix, target, _Bars(bars).show)
    except ReportRefusedError as error:
        raise fail(EXIT_NOT_ALLOWED, str(error)) from None
    except KeyboardInterrupt:
        raise fail(EXIT_NOT_FINISHED, "no longer watched; the plan goes on") from None
    if not done:
        raise fail(EXIT_NOT_FINISHED, f"not complete after {timeout_s:g} s; the plan goes on")


@dataclass(frozen=True, slots=True)
class _Target:
    """The plan to follow, the entries to ask and the longest time, in seconds."""

    plan_id: str
    entries: list[Address]
    token: str
    tls: Tls | None
    timeout_s: float


def _follow(store: str, prefix: str, target: _Target, show: Callable[[list[Stage]], None]) -> bool:
    """Show the stages until all are finished or the time is over; return which."""

    async def act(session: Session) -> bool:
        plan, _ = await session.repository.read_plan(target.plan_id)
        if not plan.confirmed:
            raise fail(EXIT_BAD_INPUT, f"plan {plan.plan_id} is not confirmed; confirm it first")
        most_seen: dict[str, int] = {}
        end = time.monotonic() + target.timeout_s
        while True:
            collected = await collect_statuses(target.entries, target.token, target.tls)
            groups = await read_progress(session.store, session.prefix)
            missing = len(collected.missing)
            stages = find_stages(plan, collected.answers, missing, groups, most_seen)
            show(stages)
            if all(stage.finished for stage in stages):
                return True
            if time.monotonic() >= end:
                return False
            await curio.sleep(POLL_S)

    return run_session(store, prefix, target.token, "viewer", act)
