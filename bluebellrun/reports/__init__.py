"""Service-level burn: bounded windows in each process, merged into one report."""

from bluebellrun.reports._client import Collected, collect_snapshots, collect_statuses
from bluebellrun.reports._exceptions import ReportError, ReportRefusedError
from bluebellrun.reports._models import (
    WINDOW_NAMES,
    WINDOWS_S,
    Counts,
    Latency,
    ObjectiveReading,
    Point,
    Row,
    Snapshot,
    Status,
    UpstreamReading,
)
from bluebellrun.reports._recorder import Observation, Recorder, Verdict
from bluebellrun.reports._report import RebalancingCost, Report, make_report

__all__ = [
    "WINDOWS_S",
    "WINDOW_NAMES",
    "Collected",
    "Counts",
    "Latency",
    "ObjectiveReading",
    "Observation",
    "Point",
    "RebalancingCost",
    "Recorder",
    "Report",
    "ReportError",
    "ReportRefusedError",
    "Row",
    "Snapshot",
    "Status",
    "UpstreamReading",
    "Verdict",
    "collect_snapshots",
    "collect_statuses",
    "make_report",
]
