"""What this process knows of an upstream from its own requests."""

from collections.abc import Collection
from dataclasses import dataclass

# Weight of the previous value in the moving averages of durations and failures.
SMOOTHING = 0.9


@dataclass(slots=True)
class UpstreamStats:
    """This process's work in flight at one upstream and its results; times in seconds."""

    running: int = 0
    unread_tokens: int = 0
    typical_s: float = 0.0
    failure_rate: float = 0.0

    def record_result(self, failed: bool, seconds: float) -> None:
        """Record the duration of a request and whether it failed."""
        self.failure_rate = SMOOTHING * self.failure_rate + (1 - SMOOTHING) * failed
        if failed:
            return
        if self.typical_s == 0.0:
            self.typical_s = seconds
        self.typical_s = SMOOTHING * self.typical_s + (1 - SMOOTHING) * seconds


def average_stats(stats: Collection[UpstreamStats]) -> tuple[float, float]:
    """Return the mean duration and failure rate of the upstreams that have served."""
    served = [item for item in stats if item.typical_s > 0]
    if not served:
        return 0.0, 0.0
    typical_s = sum(item.typical_s for item in served) / len(served)
    return typical_s, sum(item.failure_rate for item in served) / len(served)
