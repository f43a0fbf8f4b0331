"""The cold upstreams of this entry: what tells of them, and what their services ask for."""

import math
from collections.abc import Callable, Collection, Iterable

from bluebellrun.deployment import Bounds, ServiceTerms
from bluebellrun.gateway._models import Upstream, UpstreamIncarnation
from bluebellrun.gateway._peers import ColdReport
from bluebellrun.routing import ColdBound, ColdSource, ColdStarts
from bluebellrun.telemetry import get_logger

# Incarnations whose registration was seen; a registration that lapsed and is written again is not
# one of a new incarnation. No fleet replaces this many upstreams while one process runs.
MAX_SEEN = 8_192
# Cold upstreams that one status names; the others follow in the next ones.
MAX_REPORTS_PER_MESSAGE = 32
# Work of a request at an upstream that has just started, over that of a warm one. It keeps the
# ranks of a group, which wait for the slowest, from a full share of work on a cold one.
COLD_SLOWNESS = 2.0
# An entry that has just started learns of all cold upstreams within about this time.
WHOLE_REPORT_INTERVAL_S = 1.0
# An upstream's word is ignored beyond this: no start takes longer.
MAX_COLD_S = 600.0

_log = get_logger("cold-upstreams")


class ColdUpstreams:
    """Tell how long upstreams are cold; times in seconds.

    ``terms`` returns the terms of a service. Services that name no cold start are left alone,
    unless a registration says that its upstream is cold.
    """

    def __init__(
        self,
        terms: Callable[[str], ServiceTerms | None] = lambda service: None,
        bounds: Bounds | None = None,
    ) -> None:
        self._terms = terms
        self._bounds = bounds or Bounds()
        self._starts: ColdStarts[UpstreamIncarnation] = ColdStarts()
        self._seen: dict[UpstreamIncarnation, int] = {}
        self._has_traffic = False
        self._next_report = 0
        self._whole_report_at = 0.0

    @property
    def is_empty(self) -> bool:
        """Return whether no upstream is cold; asked for each upstream at each choice."""
        return self._starts.is_empty

    def left_s(self, upstream: Upstream, now: float) -> float:
        """Return how much longer an upstream is cold; infinite until it is reached again."""
        return 0.0 if self._starts.is_empty else self._starts.left_s(upstream.incarnation, now)

    def known_at(self, upstream: Upstream) -> float | None:
        """Return since when this entry takes an upstream for cold, none if it does not."""
        return self._starts.known_at(upstream.incarnation)

    def bound(self, upstream: Upstream, now: float) -> ColdBound | None:
        """Return the bound on an upstream that is cold, or none."""
        if not self.left_s(upstream, now):
            return None
        terms = self._terms(upstream.service)
        if terms is None or terms.cold_per_s <= 0:
            return None
        return ColdBound(terms.cold_per_s, self._bounds.cold_excess, self._bounds.cold_slack)

    def slowness(self, upstream: Upstream, now: float) -> float:
        """Return how much more work a request is at an upstream because it is cold, from 1 on."""
        left_s = self.left_s(upstream, now)
        if not left_s:
            return 1.0
        whole_s = self._cold_s(upstream) or left_s
        return 1.0 + (COLD_SLOWNESS - 1.0) * min(1.0, left_s / whole_s)

    def count(self, now: float) -> int:
        """Return the number of cold upstreams."""
        return len(self._starts.cold(now))

    def record_traffic(self) -> None:
        """Record that this or another entry has requests: what starts from now on is cold."""
        self._has_traffic = True

    def record_registration(
        self, upstream: Upstream, revision: int, now: float, is_first: bool = False
    ) -> None:
        """Record a registration of a revision; ``is_first`` for those found at the start.

        Upstreams that start before the first request of the system are warm when it arrives, unless
        their registration says otherwise.
        """
        key = upstream.incarnation
        is_new = key not in self._seen
        if self._seen.get(key) == revision:
            return
        self._seen[key] = revision
        if len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]
        if upstream.cold_left_s > 0:
            self._record(upstream, upstream.cold_left_s, ColdSource.REGISTRATION, now)
        elif is_new and self._has_traffic and not is_first:
            self._record(upstream, self._cold_s(upstream), ColdSource.NEW_INCARNATION, now)

    def record_evacuation_end(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Record that upstreams get requests again after an evacuation."""
        for upstream in upstreams:
            self._record(upstream, self._cold_s(upstream), ColdSource.EVACUATION_ENDED, now)

    def record_unreachable(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream refused or ended connections: it may restart."""
        if self._has_cold_starts(upstream):
            self._starts.record_unreachable(upstream.incarnation, now)

    def record_answer(self, upstream: Upstream, cold_s: float | None, now: float) -> None:
        """Record an answer of an upstream, which may say how much longer it is cold."""
        if not self._starts.is_empty and self._starts.record_reached(upstream.incarnation):
            self._record(upstream, self._cold_s(upstream), ColdSource.UNREACHABLE, now)
        if cold_s is not None and self._has_cold_starts(upstream):
            self._record(upstream, cold_s, ColdSource.ANSWER, now)

    def apply_report(self, upstream: Upstream, seconds: float, now: float) -> None:
        """Apply what another entry knows of an upstream."""
        self._record(upstream, seconds, ColdSource.OTHER_ENTRY, now)

    def reported_s(self, upstream: Upstream, now: float) -> float:
        """Return how long an upstream is cold, as told to other entries."""
        left_s = self.left_s(upstream, now)
        return left_s if left_s <= MAX_COLD_S else self._cold_s(upstream)

    def reports(self, now: float) -> list[ColdReport]:
        """Return as many cold upstreams as one message has room for, in turn."""
        if self._starts.is_empty:
            return []
        is_whole = now - self._whole_report_at >= WHOLE_REPORT_INTERVAL_S
        if is_whole:
            self._whole_report_at = now
        known = self._starts.reports(now, is_whole)
        start = self._next_report % len(known) if known else 0
        chosen = (known[start:] + known[:start])[:MAX_REPORTS_PER_MESSAGE]
        self._next_report = start + len(chosen)
        return [ColdReport(*key, seconds) for key, seconds in chosen]

    def expire(self, upstreams: Collection[Upstream], store_answers: bool, now: float) -> None:
        """Forget what has ended; ``upstreams`` are registered, if the store still answers."""
        if self._starts.is_empty:
            return
        self._starts.retain_unreachable({item.incarnation for item in upstreams})
        confirmed = upstreams if store_answers else ()
        longest_s = max((self._cold_s(item) for item in confirmed), default=0.0)
        self._starts.expire(now, {item.incarnation for item in confirmed}, longest_s)

    def _cold_s(self, upstream: Upstream) -> float:
        """Return how long an upstream of a service is cold after its start."""
        terms = self._terms(upstream.service)
        return 0.0 if terms is None else terms.cold_s

    def _has_cold_starts(self, upstream: Upstream) -> bool:
        """Return whether the upstreams of a service start cold."""
        terms = self._terms(upstream.service)
        return terms is not None and (terms.cold_s > 0 or terms.cold_per_s > 0)

    def _record(self, upstream: Upstream, seconds: float, source: ColdSource, now: float) -> None:
        """Record and log that an upstream is cold."""
        if math.isnan(seconds):
            return
        seconds = min(seconds, MAX_COLD_S)
        if self._starts.record(upstream.incarnation, seconds, source, now):
            _log.info(
                "upstream is cold",
                upstream=upstream.instance,
                seconds=round(seconds, 3),
                source=source.value,
            )
