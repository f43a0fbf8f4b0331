"""How many calls one process may make to the key-value service. Pure.

The service's rates belong to the whole fleet. Each process may use its part of them: the
share set aside for ordinary calls divided by the number of processes. The few processes that
watch for others, or own a role or shard, have shares of their own.
"""

from dataclasses import dataclass

from bluebellrun.core import TokenBucket

ORDINARY_SHARE = 0.3
WATCHER_SHARE = 0.2
OWNER_SHARE = 0.4
PROCESSES_PER_WATCHER = 20
LEAST_WATCHERS = 9
BURST_S = 20.0
LEAST_BURST = 6.0


@dataclass(frozen=True, slots=True)
class RateQuota:
    """The part of the service's rates that one user may have, in calls a second."""

    reads_per_s: float
    writes_per_s: float


@dataclass(frozen=True, slots=True)
class StoreRates:
    """What the service takes, in calls a second, and the number of processes that share it."""

    reads_per_s: float = 2_000.0
    writes_per_s: float = 300.0
    processes: int = 100

    @property
    def ordinary_quota(self) -> RateQuota:
        """Return the part of any process."""
        return self._part(ORDINARY_SHARE, self.processes)

    @property
    def watcher_quota(self) -> RateQuota:
        """Return the part of a process that watches for others."""
        watchers = max(LEAST_WATCHERS, self.processes // PROCESSES_PER_WATCHER)
        return self._part(WATCHER_SHARE, watchers)

    def owner_quota(self, owners: int) -> RateQuota:
        """Return the part of one of a number of owners of roles or shards."""
        return self._part(OWNER_SHARE, owners)

    @property
    def start_spread_s(self) -> float:
        """Return the time over which all processes spread their first read, in seconds."""
        return self.processes / (self.reads_per_s * ORDINARY_SHARE)

    def _part(self, share: float, users: int) -> RateQuota:
        """Return a share of the rates divided among users."""
        part = share / max(1, users)
        return RateQuota(self.reads_per_s * part, self.writes_per_s * part)


def _bucket(rate_per_s: float, now: float) -> TokenBucket:
    """Return a bucket whose burst is small beside the fleet's rate."""
    return TokenBucket(rate_per_s, max(LEAST_BURST, rate_per_s * BURST_S), now)


@dataclass(slots=True)
class CallCounts:
    """Calls made so far, by kind, and those refused for being over the budget."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failures: int = 0
    over_budget: int = 0

    @property
    def total(self) -> int:
        """Return the number of calls that were made."""
        return self.reads + self.writes + self.watches


class CallBudget:
    """The two buckets of one process, and its account."""

    def __init__(self, part: RateQuota, now: float) -> None:
        self._reads = _bucket(part.reads_per_s, now)
        self._writes = _bucket(part.writes_per_s, now)
        self.call_counts = CallCounts()

    def bucket(self, write: bool) -> TokenBucket:
        """Return the bucket of reads or of writes."""
        return self._writes if write else self._reads
