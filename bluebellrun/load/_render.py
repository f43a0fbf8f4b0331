"""Runs and comparisons as text."""

from collections.abc import Sequence

from bluebellrun.load._comparison import StreamComparison
from bluebellrun.load._results import GroupSummary

BAR_WIDTH = 40


def render_summary(summary: GroupSummary) -> str:
    """Return a summary in one line."""
    checked = f"{summary.verified} verified"
    if summary.wrong:
        checked += f", {summary.wrong} WRONG"
    return (
        f"{summary.stream}: {summary.requests} requests, {summary.on_time_share:.1%} on time, "
        f"first byte p50 {summary.first_byte_p50_s:.3f} s, p95 {summary.first_byte_p95_s:.3f} s, "
        f"gap p95 {summary.gap_p95_s * 1000:.0f} ms, {checked}, outcomes {summary.outcomes}"
    )


def render_details(summary: GroupSummary) -> list[str]:
    """Return the commonest reasons why answers were not whole, one line each."""
    return [f"  {count} times: {detail}" for detail, count in summary.details.items()]


def render_histogram(summary: GroupSummary) -> list[str]:
    """Return the percentiles of the first byte and the whole answer as bars."""
    lines = []
    rows = (
        ("first byte", summary.first_byte_percentiles),
        ("whole answer", summary.total_percentiles),
    )
    for title, values in rows:
        longest = max(values.values(), default=0.0)
        for percent, seconds in values.items():
            bar = "#" * round(BAR_WIDTH * seconds / longest) if longest else ""
            lines.append(f"  {title:<12} p{percent:<5} {seconds:8.3f} s {bar}")
    return lines


def render_comparison(comparisons: Sequence[StreamComparison]) -> list[str]:
    """Return each stream's difference in one line."""
    return [
        f"{item.stream}: on time {item.older.on_time_share:.1%} -> {item.newer.on_time_share:.1%} "
        f"({item.difference:+.1%}, give or take {item.margin:.1%}: {item.change}), "
        f"first byte p95 {item.older.first_byte_p95_s:.3f} -> {item.newer.first_byte_p95_s:.3f} s"
        for item in comparisons
    ]
