"""The load tool: open-loop arrivals from a scenario, verified answers, histograms."""

from bluebellrun.load._arrivals import Arrival, plan_arrivals
from bluebellrun.load._client import Sample, run_arrivals
from bluebellrun.load._results import GroupSummary, summarize
from bluebellrun.load._scenario import Phase, Scenario, Stream, load_scenario

__all__ = [
    "Arrival",
    "GroupSummary",
    "Phase",
    "Sample",
    "Scenario",
    "Stream",
    "load_scenario",
    "plan_arrivals",
    "run_arrivals",
    "summarize",
]
