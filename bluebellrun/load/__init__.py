"""The load tool: open-loop arrivals from a scenario, verified answers, histograms."""

from bluebellrun.load._arrivals import Arrival, plan_arrivals
from bluebellrun.load._client import Sample, run_arrivals
from bluebellrun.load._comparison import (
    Change,
    Run,
    StreamComparison,
    compare_runs,
    load_run,
    save_run,
)
from bluebellrun.load._results import GroupSummary, summarize
from bluebellrun.load._scenario import Phase, Scenario, Stream, load_scenario

__all__ = [
    "Arrival",
    "Change",
    "GroupSummary",
    "Phase",
    "Run",
    "Sample",
    "Scenario",
    "Stream",
    "StreamComparison",
    "compare_runs",
    "load_run",
    "load_scenario",
    "plan_arrivals",
    "run_arrivals",
    "save_run",
    "summarize",
]
