"""The process beside an engine: it passes calls on, and tells the engine's counts."""

from bluebellrun.sidecar._counts import (
    COUNTS_KNOWN,
    COUNTS_PATH,
    RankCountsReport,
    complete_counts,
    counts_since,
)

__all__ = ["COUNTS_KNOWN", "COUNTS_PATH", "RankCountsReport", "complete_counts", "counts_since"]
