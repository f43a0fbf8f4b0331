"""The report as a plot: burn, what burns, the course of time, small beside large."""

from pathlib import Path
from typing import Any

from matplotlib import colormaps
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure
from matplotlib.ticker import FuncFormatter

from bluebellrun.reports._models import WINDOW_NAMES, WINDOWS_S
from bluebellrun.reports._report import Report

SIZE_INCHES = (13.0, 9.0)
DOTS_PER_INCH = 110
LEGEND_BELOW = -0.13
LEGEND_COLUMNS = 5
MAX_OBJECTIVES = 8
MAX_CUSTOMERS = 8
LEAST_RATE = 0.01
FAST_BURN = 14.4
FORMATS = frozenset({".png", ".svg"})
REASONS = (
    ("late", "late", "#e6a01e"),
    ("refused", "refused (not run)", "#5b8fc9"),
    ("failed", "failed (cut off)", "#c0392b"),
    ("unknown", "unknown", "#7f8c8d"),
)
WINDOW_COLOURS = ("#17365c", "#2f6db3", "#7fb0e0", "#c9def2")


def save_plot(report: Report, path: Path) -> None:
    """Write a report as PNG or SVG; raise ``ValueError`` for another ending."""
    if path.suffix.lower() not in FORMATS:
        raise ValueError(f"{path} ends in {path.suffix!r}; name a file that ends in .png or .svg")
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.subplots(2, 2)
    figure.suptitle(_title(report), fontsize=13)
    _plot_burn(report, axes[0][0])
    _plot_reasons(report, axes[0][1])
    _plot_course(report, axes[1][0])
    _plot_customers(report, axes[1][1])
    figure.savefig(path, dpi=DOTS_PER_INCH)


def _title(report: Report) -> str:
    """Return the title with what is missing."""
    title = f"Service-level burn, {len(report.processes)} processes"
    short = [
        f"{WINDOW_NAMES[item.window_s]} window {item.remembered:.0%} remembered"
        for item in report.coverage
        if item.remembered < 1
    ]
    if report.missing:
        short.append(f"{len(report.missing)} gave no answer")
    return title + ("\n" + ", ".join(short) if short else "")


def _plot_burn(report: Report, axes: Any) -> None:
    """Plot burn rates of the on-time promise, a group of bars for each objective."""
    axes.set_title("Burn rate of the on-time budget")
    shown = report.objectives[:MAX_OBJECTIVES]
    if not shown:
        _say_nothing(axes, "no objective is declared")
        return
    height = 0.8 / len(WINDOWS_S)
    for index, window_s in enumerate(WINDOWS_S):
        places = [row + (index - 1.5) * height for row in range(len(shown))]
        rates = [max(item.windows[index].on_time_rate, LEAST_RATE) for item in shown]
        label = WINDOW_NAMES[window_s]
        axes.barh(places, rates, height, label=label, color=WINDOW_COLOURS[index], zorder=2)
    axes.axvline(1, color="#444444", linewidth=1.2, linestyle="--", zorder=3)
    axes.axvline(FAST_BURN, color="#c0392b", linewidth=1.2, linestyle=":", zorder=3)
    axes.set_xscale("log")
    highest = max(max(window.on_time_rate for window in item.windows) for item in shown)
    axes.set_xlim(LEAST_RATE, max(30.0, highest * 1.5))
    axes.set_yticks(range(len(shown)), [_objective_label(item) for item in shown])
    axes.invert_yaxis()
    axes.set_xlabel("times the rate that uses the budget exactly up (dashed: 1, dotted: 14.4)")
    axes.xaxis.set_major_formatter(FuncFormatter(lambda value, _: f"{value:g}"))
    _legend_below(axes)
    axes.grid(axis="x", alpha=0.3, zorder=0)


def _objective_label(item: Any) -> str:
    """Return an objective's name with its target and the budget left."""
    left = item.on_time_budget_left
    budget = f"{left:.0%} left" if left >= 0 else f"overspent {1 - left:.0f}x"
    if not item.windows[-1].requests:
        budget = "no requests"
    return f"{item.objective.name}\n{item.objective.on_time:.1%}, {budget}"


def _plot_reasons(report: Report, axes: Any) -> None:
    """Plot the shares of bad requests of each priority by reason."""
    axes.set_title("Requests that were not whole and on time")
    shown = [item for item in report.priorities if item.counts.total]
    if not shown:
        _say_nothing(axes, "no request has ended")
        return
    left = [0.0] * len(shown)
    for field, label, colour in REASONS:
        shares = [100 * getattr(item.counts, field) / item.counts.total for item in shown]
        axes.barh(range(len(shown)), shares, 0.6, left=left, label=label, color=colour, zorder=2)
        left = [total + share for total, share in zip(left, shares, strict=True)]
    names = [f"{report.priority_name(i.urgency)}\n{i.counts.total} requests" for i in shown]
    axes.set_yticks(range(len(shown)), names)
    axes.invert_yaxis()
    axes.set_xlim(0, max(1.0, max(left) * 1.25))
    for place, total in enumerate(left):
        axes.text(total, place, f" {total:.1f}%", va="center", fontsize=9)
    axes.set_xlabel("% of the priority's requests")
    _legend_below(axes)
    axes.grid(axis="x", alpha=0.3, zorder=0)


def _plot_course(report: Report, axes: Any) -> None:
    """Plot goodput over time by priority, with floods shaded."""
    axes.set_title("Answers whole and on time, and what was asked (thin)")
    if not report.series:
        _say_nothing(axes, "no request has ended")
        return
    width_s = report.series[0].width_s
    newest = max(point.start for point in report.series)
    starts = list(range(min(p.start for p in report.series), newest + width_s, width_s))
    unit_s, unit = (60, "minutes") if newest - starts[0] > 600 else (1, "seconds")
    times = [(start - newest) / unit_s for start in starts]
    colours = colormaps["tab10"]
    for index, urgency in enumerate(sorted({p.urgency for p in report.series})):
        counts = {p.start: p.counts for p in report.series if p.urgency == urgency}
        good = [counts[s].good / width_s if s in counts else 0 for s in starts]
        asked = [counts[s].total / width_s if s in counts else 0 for s in starts]
        name = report.priority_name(urgency)
        axes.plot(times, good, color=colours(index), linewidth=2, label=name, marker="o", ms=3)
        axes.plot(times, asked, color=colours(index), linewidth=0.8, alpha=0.8)
    for index, flooded in enumerate(sorted({s for v in report.flood_starts.values() for s in v})):
        middle, half = (flooded - newest) / unit_s, width_s / unit_s / 2
        label = "flood" if index == 0 else None
        axes.axvspan(middle - half, middle + half, color="#f4d9a8", alpha=0.6, label=label)
    axes.set_xlabel(f"{unit} before the newest span of {width_s} s, by arrival")
    axes.set_ylabel("requests a second")
    axes.set_ylim(bottom=0)
    _legend_below(axes)
    axes.grid(alpha=0.3)


def _plot_customers(report: Report, axes: Any) -> None:
    """Plot the worst customers, and how small ones fare beside large ones."""
    axes.set_title("Worst customers")
    worst = report.worst_customers[:MAX_CUSTOMERS]
    if report.sizes is not None:
        small, large = report.sizes.small_on_time, report.sizes.large_on_time
        axes.set_title(
            f"Worst customers (on time: {len(report.sizes.small)} small {small:.1%}, "
            f"{len(report.sizes.large)} large {large:.1%})"
        )
    if not worst:
        _say_nothing(axes, "every request was whole and on time")
        return
    left = [0] * len(worst)
    for field, label, colour in REASONS:
        counts = [getattr(item.counts, field) for item in worst]
        axes.barh(range(len(worst)), counts, 0.6, left=left, label=label, color=colour, zorder=2)
        left = [total + count for total, count in zip(left, counts, strict=True)]
    names = [f"{i.customer}\n{report.priority_name(i.urgency)}" for i in worst]
    axes.set_yticks(range(len(worst)), names, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlim(0, max(left) * 1.25)
    for place, item in enumerate(worst):
        axes.text(
            left[place], place, f" {item.bad} of {item.counts.total}", va="center", fontsize=8
        )
    axes.set_xlabel("requests that were not whole and on time")
    _legend_below(axes)
    axes.grid(axis="x", alpha=0.3, zorder=0)


def _legend_below(axes: Any) -> None:
    """Put the legend under the plot, where it hides nothing."""
    axes.legend(
        fontsize=8.5,
        loc="upper center",
        bbox_to_anchor=(0.5, LEGEND_BELOW),
        ncols=LEGEND_COLUMNS,
        frameon=False,
    )


def _say_nothing(axes: Any, text: str) -> None:
    """Say in place of a plot why there is nothing to see."""
    axes.text(0.5, 0.5, text, ha="center", va="center", transform=axes.transAxes)
    axes.set_axis_off()
