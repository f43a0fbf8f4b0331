"""The report as tables for a terminal and as JSON."""

import json
from collections.abc import Iterable
from dataclasses import asdict

from rich.console import Console
from rich.table import Table

from bluebellrun.reports._burn import ObjectiveBurn
from bluebellrun.reports._models import WINDOW_NAMES, WINDOWS_S, Counts
from bluebellrun.reports._report import Report

BAD = (("late", "late"), ("refused", "refused"), ("failed", "failed"), ("unknown", "unknown"))
FAST_BURN = 14.4
SLOW_BURN = 1.0


def render_json(report: Report) -> str:
    """Return a report as JSON."""
    return json.dumps(asdict(report), indent=2, default=_plain)


def print_report(report: Report, console: Console) -> None:
    """Write a report as tables."""
    console.print(_heading(report))
    for note in list_gaps(report):
        console.print(f"  note: {note}", highlight=False)
    console.print(_objectives(report))
    console.print(_priorities(report))
    if report.worst_customers:
        console.print(_customers(report))
    _print_measures(report, console)


def list_gaps(report: Report) -> list[str]:
    """Return what the report does not cover, one line each."""
    notes = [f"no answer from {name}" for name in report.missing]
    for item in report.coverage:
        if item.remembered < 1:
            name, share = WINDOW_NAMES[item.window_s], f"{item.remembered:.1%}"
            young = ", ".join(item.short_of_memory)
            notes.append(f"the {name} window is remembered to {share}: {young} started within it")
    if len(report.versions) > 1:
        notes.append(f"processes have different versions in force: {report.versions}")
    if not report.objectives:
        notes.append("no objective is declared; declare documents of kind objective")
    for name, count in sorted(report.violations.items()):
        notes.append(f"runtime invariant violated {count} times: {name}")
    return notes


def explain(counts: Counts) -> str:
    """Return why requests were bad, the commonest reason first."""
    pairs = [(getattr(counts, field), word) for field, word in BAD]
    listed = [f"{word} {count}" for count, word in sorted(pairs, reverse=True) if count]
    return ", ".join(listed) or "nothing"


def _heading(report: Report) -> str:
    """Return the first line."""
    return f"Service-level burn of {len(report.processes)} processes: {', '.join(report.processes)}"


def _objectives(report: Report) -> Table:
    """Return a row for each objective and what it promises."""
    names = [WINDOW_NAMES[window] for window in WINDOWS_S]
    table = Table(
        "objective",
        "promise",
        "target",
        "measured",
        *[f"burn {name}" for name in names],
        "budget left",
        "burnt by",
        title="Burn rates: 1 uses the budget exactly up, over 1 overspends it",
    )
    for item in report.objectives:
        name = item.objective.name
        rates = [window.on_time_rate for window in item.windows]
        row = _objective_row(item, rates, item.objective.on_time, item.windows[-1].on_time)
        table.add_row(name, "on time", *row, _percent(item.on_time_budget_left), _reason(item))
        rates = [window.whole_rate for window in item.windows]
        row = _objective_row(item, rates, item.objective.whole, item.windows[-1].whole)
        table.add_row("", "whole", *row, _percent(item.whole_budget_left), "")
    return table


def _objective_row(
    item: ObjectiveBurn, rates: Iterable[float], target: float, measured: float
) -> list[str]:
    """Return target, measured share and burn rates."""
    seen = [window.requests for window in item.windows]
    shown = [_rate(rate) if count else "-" for rate, count in zip(rates, seen, strict=True)]
    return [f"{target:.2%}", f"{measured:.2%}" if seen[-1] else "-", *shown]


def _rate(rate: float) -> str:
    """Return a burn rate, marked where it is fast."""
    if rate >= FAST_BURN:
        return f"[bold red]{rate:.1f}[/]"
    return f"[yellow]{rate:.1f}[/]" if rate > SLOW_BURN else f"{rate:.1f}"


def _percent(share: float) -> str:
    """Return the share of the budget that is left, or how often it has been spent."""
    return f"[red]spent {1 - share:.1f}x[/]" if share < 0 else f"{share:.0%}"


def _reason(item: ObjectiveBurn) -> str:
    """Return why an objective's budget burns."""
    return explain(item.reasons)


def _priorities(report: Report) -> Table:
    """Return the service of each priority."""
    table = Table(
        "priority",
        "requests",
        "on time",
        "whole",
        "first byte p50",
        "p95",
        "whole p95",
        "bad",
        title="Service by priority, the most urgent first",
    )
    latencies = {item.urgency: item for item in report.latencies}
    for service in report.priorities:
        counts, latency = service.counts, latencies.get(service.urgency)
        times = ["-", "-", "-"]
        if latency is not None:
            times = [f"{latency.first_byte_p50_s:.2f} s", f"{latency.first_byte_p95_s:.2f} s"]
            times.append(f"{latency.whole_answer_p95_s:.2f} s")
        whole = counts.whole / counts.total if counts.total else 1.0
        name = f"{report.priority_name(service.urgency)} (u={service.urgency})"
        shares = [f"{service.on_time:.2%}", f"{whole:.2%}"]
        table.add_row(name, str(counts.total), *shares, *times, explain(counts))
    return table


def _customers(report: Report) -> Table:
    """Return the customers that met with the most bad requests."""
    table = Table("customer", "priority", "bad", "of", "burnt by", title="Worst customers")
    for item in report.worst_customers:
        name = report.priority_name(item.urgency)
        total = str(item.counts.total)
        table.add_row(item.customer, name, str(item.bad), total, explain(item.counts))
    return table


def _print_measures(report: Report, console: Console) -> None:
    """Write the measures that are no table of their own."""
    for line in list_measures(report):
        console.print(line, highlight=False, soft_wrap=True)


def list_measures(report: Report) -> list[str]:
    """Return skew, rebalancing cost, floods and sizes of customers, one line each."""
    lines = []
    for skew in report.skew:
        lines.append(
            f"step-time skew of {skew.group}: {skew.skew:.2f} over {skew.ranks} upstreams, "
            f"slowest {skew.slowest} at {skew.slowest_s * 1000:.1f} ms, idle {skew.idle_share:.1%}"
        )
    if not report.skew:
        lines.append("step-time skew: no two step times of one group or service are known")
    for cost in report.rebalancing:
        moved = cost.weights_moved_bytes / 1e9
        lines.append(
            f"rebalancing of {cost.group}: {cost.activations} maps activated, {moved:.2f} GB moved"
        )
    if not report.rebalancing:
        lines.append("rebalancing: no group has reported any cost")
    for flood in report.floods:
        flooding, other = report.priority_name(flood.flooding), report.priority_name(flood.urgency)
        lines.append(
            f"flood of {flooding}: {other} kept {flood.kept:.0%} of its service, on time "
            f"{flood.on_time_inside:.1%} inside and {flood.on_time_outside:.1%} outside it"
        )
    if not report.floods:
        lines.append("floods: none in the time that is remembered")
    if report.sizes is not None:
        sizes = report.sizes
        lines.append(
            f"small beside large: {len(sizes.small)} small customers {sizes.small_on_time:.1%} "
            f"on time, {len(sizes.large)} large {sizes.large_on_time:.1%}"
        )
    else:
        lines.append("small beside large: no customer asks for over twice the mean")
    return lines


def _plain(value: object) -> object:
    """Return what JSON can hold for a value that it cannot."""
    dump = getattr(value, "model_dump", None)
    return dump(mode="json") if dump is not None else str(value)
