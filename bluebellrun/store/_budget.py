"""Rate limits of one process for calls to the key-value service. Performs no I/O.

The service's rate limits apply to the whole fleet. The share reserved for ordinary calls is
divided evenly among all processes. Watchers, and owners of roles or shards, are few and divide
separate shares.
"""

from dataclasses import dataclass

from bluebellrun.core import TokenBucket

ORDINARY_SHARE = 0.3
WATCHER_SHARE = 0.2
OWNER_SHARE = 0.4
PROCESSES_PER_WATCHER = 20
MIN_WATCHERS = 9
BURST_S = 20.0
MIN_BURST = 6.0


@dataclass(frozen=True, slots=True)
class RateQuota:
    """The rates that one client of the service may use, in calls per second."""

    reads_per_s: float
    writes_per_s: float


@dataclass(frozen=True, slots=True)
class StoreRates:
    """The service's rate limits in calls per second, and the number of processes sharing them."""

    reads_per_s: float = 2_000.0
    writes_per_s: float = 300.0
    processes: int = 100

    @property
    def ordinary_quota(self) -> RateQuota:
        """Return the quota that every process has."""
        return self._quota(ORDINARY_SHARE, self.processes)

    @property
    def watcher_quota(self) -> RateQuota:
        """Return the quota for watching the store on behalf of other processes."""
        watchers = max(MIN_WATCHERS, self.processes // PROCESSES_PER_WATCHER)
        return self._quota(WATCHER_SHARE, watchers)

    def owner_quota(self, owners: int) -> RateQuota:
        """Return the quota of each of ``owners`` owners of roles or shards."""
        return self._quota(OWNER_SHARE, owners)

    @property
    def start_spread_s(self) -> float:
        """Return the time in seconds over which the processes spread their first reads."""
        return self.processes / (self.reads_per_s * ORDINARY_SHARE)

    def _quota(self, share: float, clients: int) -> RateQuota:
        """Divide a share of the rates evenly among clients."""
        fraction = share / max(1, clients)
        return RateQuota(self.reads_per_s * fraction, self.writes_per_s * fraction)


def _bucket(rate_per_s: float, now: float) -> TokenBucket:
    """Return a bucket whose burst is small compared with the rate of the whole fleet."""
    return TokenBucket(rate_per_s, max(MIN_BURST, rate_per_s * BURST_S), now)


@dataclass(slots=True)
class CallCounts:
    """Calls made so far by kind, their failures, and calls rejected for exceeding the budget."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    failures: int = 0
    over_budget: int = 0

    @property
    def total(self) -> int:
        """Return the number of calls made."""
        return self.reads + self.writes + self.watches


class CallBudget:
    """The read and write buckets of one process, and its call counts."""

    def __init__(self, quota: RateQuota, now: float) -> None:
        self._reads = _bucket(quota.reads_per_s, now)
        self._writes = _bucket(quota.writes_per_s, now)
        self.call_counts = CallCounts()

    def bucket(self, write: bool) -> TokenBucket:
        """Return the bucket for writes or for reads."""
        return self._writes if write else self._reads
