"""The permits to send to cold upstreams, as the entry that owns an upstream counts them.

The bound on a cold upstream holds in any second. A part of the entries that is too small for a
single request gets no permits. An entry that is not certain that the others count it, as it has
just started or its registration has not been read back yet, counts a small share by itself: after
an outage of all hosts all upstreams are cold and all entries have just started.
"""

import math
from collections.abc import Callable, Collection

from bluebellrun.core import TokenBucket
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._models import Upstream, UpstreamIncarnation
from bluebellrun.routing import ColdBound

# Entries count a new registration at least as soon after it has been read back.
REGISTRATION_READ_S = 1.5
# A permit for which there is no bucket is asked for again after this.
MAX_WAIT_S = 10.0


class ColdPermits:
    """Count the permits of the cold upstreams that this entry owns; times in seconds.

    ``part_of_entries`` returns the part of the registered entries that share permits.
    """

    def __init__(self, cold: ColdUpstreams, part_of_entries: Callable[[], float]) -> None:
        self._cold = cold
        self._part_of_entries = part_of_entries
        self._buckets: dict[UpstreamIncarnation, TokenBucket] = {}
        self._entries = 0
        self._registered_at: float | None = None
        # When permits last could not be counted here, or may have been counted elsewhere.
        self._since = -math.inf

    def record_counted(self, entries: int) -> None:
        """Record the number of registered entries, including this one."""
        self._entries = entries

    def record_registered(self, now: float) -> None:
        """Record that this entry's own registration has been read back from the store."""
        if self._registered_at is None:
            self._registered_at = now
            self._since = max(self._since, now + REGISTRATION_READ_S)

    def is_certain(self, now: float) -> bool:
        """Return whether the other entries count this one, and this one them."""
        at = self._registered_at
        return self._entries > 0 and at is not None and now - at >= REGISTRATION_READ_S

    def counts_alone(self, upstream: Upstream, now: float) -> bool:
        """Return whether this entry has a share of its own, as it has just started."""
        bound = self._cold.bound(upstream, now)
        return bound is not None and self._startup_share(bound, now) is not None

    def try_acquire(self, upstream: Upstream, now: float) -> bool:
        """Take a permit if there is one; an upstream that is not bounded needs none."""
        if self._cold.bound(upstream, now) is None:
            return True
        bucket = self._bucket(upstream, now)
        return bucket is not None and bucket.try_acquire(now)

    def refund(self, upstream: Upstream) -> None:
        """Put back a permit that was not used."""
        bucket = self._buckets.get(upstream.incarnation)
        if bucket is not None:
            bucket.refund()

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the time until a permit may be available, 0 if none is needed."""
        if self._cold.bound(upstream, now) is None:
            return 0.0
        bucket = self._bucket(upstream, now)
        left_s = min(MAX_WAIT_S, self._cold.left_s(upstream, now))
        return left_s if bucket is None else min(left_s, bucket.wait_s(now))

    def forget(self, upstream: UpstreamIncarnation) -> None:
        """Drop the permits of an upstream that another entry owns."""
        self._buckets.pop(upstream, None)

    def clear(self, now: float) -> None:
        """Let all permits accrue anew: other entries may have used the burst."""
        self._buckets.clear()
        self._since = now

    def retain(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Drop the permits of all other upstreams."""
        self._buckets = {key: item for key, item in self._buckets.items() if key in upstreams}

    def _startup_share(self, bound: ColdBound, now: float) -> tuple[float, float] | None:
        """Return the rate and burst of an entry that has just started, none of any other."""
        if self.is_certain(now) or not self._entries:
            return None
        return bound.startup_share(self._entries)

    def _bucket(self, upstream: Upstream, now: float) -> TokenBucket | None:
        """Return a cold upstream's bucket, none if this part of the entries has no permits."""
        bound, key = self._cold.bound(upstream, now), upstream.incarnation
        startup = None if bound is None else self._startup_share(bound, now)
        part = self._part_of_entries() if self.is_certain(now) else 0.0
        share = startup or (None if bound is None else bound.share(part))
        if share is None:
            self.forget(key)
            self._since = now
            return None
        bucket = self._buckets.get(key)
        if bucket is None:
            known_at = self._cold.known_at(upstream)
            since = now if known_at is None else max(self._since, known_at)
            bucket = self._buckets[key] = TokenBucket(*share, since, empty=startup is None)
        bucket.set_rate(*share, now)
        return bucket
