"""The process beside an engine: it passes calls on, and tells the engine's counts."""

from bluebellrun.sidecar._counts import (
    COUNTS_KNOWN,
    COUNTS_PATH,
    RankCountsTold,
    counts_since,
    whole_counts,
)

__all__ = ["COUNTS_KNOWN", "COUNTS_PATH", "RankCountsTold", "counts_since", "whole_counts"]
