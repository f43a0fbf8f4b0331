"""Permits to send to upstreams that limit their rate, shared by all entries.

Each limited upstream belongs to one entry, by rendezvous hashing over the entries that hear each
other. Its owner counts all permits of the upstream; the others request one by a datagram before
they send. An owner that does not answer grants nothing, so a lost datagram or a dead entry costs
the use of the upstream for a moment and never exceeds its limit. Entries that hear only a part of
the registered ones use that part of the rate, as the others may do the same with theirs.

Cold upstreams have a limit too, which their owner counts apart (``ColdPermits``).
"""

import itertools
from collections.abc import Awaitable, Callable, Collection

import curio
import msgspec

from bluebellrun.core import (
    Address,
    Clock,
    MonotonicClock,
    TokenBucket,
    parse_address,
)
from bluebellrun.gateway._cold_permits import ColdPermits
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._models import (
    LimitNotice,
    NamedLimit,
    NoLimit,
    UnreadableLimit,
    Upstream,
    UpstreamIncarnation,
)
from bluebellrun.gateway._peers import LimitReport, PeerTable
from bluebellrun.gateway._permit_messages import PermitOutcome, PermitReply, PermitRequest
from bluebellrun.membership import rank_by_weight
from bluebellrun.routing import RequestedLimits
from bluebellrun.telemetry import get_logger

# An upstream with a lower limit still gets a request now and then, as only an answer shows that the
# limit has ended.
MIN_RATE_PER_S = 0.2
# Permits that were not used accumulate up to this many seconds' worth.
BURST_S = 1.0
# Limits that one status names; the others follow in the next ones.
MAX_REPORTS_PER_MESSAGE = 32
# At MIN_RATE_PER_S of the least part of the entries a permit takes longer; it is asked for again.
MAX_WAIT_S = 10.0
# An owner answers within a few milliseconds.
REPLY_TIMEOUT_S = 0.1
# An owner that did not answer is asked again after this, or as soon as it is replaced.
UNANSWERED_PAUSE_S = 0.5
# A request with a permit for a cold upstream is sent within this time, or needs another one.
PERMIT_VALID_S = 0.25
# An entry that is asked and does not own the upstream: the entries disagree for a moment.
NOT_OWNER_PAUSE_S = 0.1

_log = get_logger("limits")


# Sends a datagram to another entry.
SendDatagram = Callable[[bytes, Address], Awaitable[None]]


class LimitPermits:
    """The limits of upstreams, and the permits to send to them; times in seconds.

    ``count`` is called with the outcome of each request for a permit.
    """

    def __init__(
        self,
        peers: PeerTable,
        count: Callable[[PermitOutcome], None] = lambda outcome: None,
        clock: Clock | None = None,
        cold: ColdUpstreams | None = None,
    ) -> None:
        self._peers = peers
        self._clock = clock or MonotonicClock()
        self._count = count
        self._limits: RequestedLimits[UpstreamIncarnation] = RequestedLimits()
        self._buckets: dict[UpstreamIncarnation, TokenBucket] = {}
        self._blocked_until: dict[UpstreamIncarnation, float] = {}
        self._owners: dict[UpstreamIncarnation, str] = {}
        self._owners_membership = -1
        self._cold = cold or ColdUpstreams()
        self._cold_permits = ColdPermits(self._cold, self._part_of_entries)
        self._cold_denials = 0
        self._registered = 1
        self._next_report = 0
        self._send: SendDatagram | None = None
        self._numbers = itertools.count(1)
        self._replies: dict[int, PermitReply] = {}
        self._pending: dict[int, curio.Event] = {}

    @property
    def limits(self) -> RequestedLimits[UpstreamIncarnation]:
        """Return the rate limits that upstreams have named."""
        return self._limits

    @property
    def cold(self) -> ColdUpstreams:
        """Return the cold upstreams."""
        return self._cold

    @property
    def cold_denials(self) -> int:
        """Return how many permits were denied because an upstream is cold."""
        return self._cold_denials

    def set_registered(self, entries: int) -> None:
        """Set the number of registered entries, including this one."""
        self._registered = entries
        self._cold_permits.record_counted(entries)

    def record_registered(self, now: float) -> None:
        """Record that this entry's own registration has been read back from the store."""
        self._cold_permits.record_registered(now)

    def connect(self, send: SendDatagram) -> None:
        """Send the requests to other entries from now on."""
        self._send = send

    def rate(self, upstream: Upstream) -> float | None:
        """Return how many requests a second all entries may send to an upstream, or none."""
        per_s = self._limits.limit(upstream.incarnation)
        if per_s is not None:
            per_s = max(MIN_RATE_PER_S, per_s)
        if self._cold.is_empty:
            return per_s
        bound = self._cold.bound(upstream, self._clock.now())
        if bound is None:
            return per_s
        return bound.per_s if per_s is None else min(bound.per_s, per_s)

    def is_cold(self, upstream: Upstream) -> bool:
        """Return whether an upstream is bounded because it is cold."""
        return self._cold.bound(upstream, self._clock.now()) is not None

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the known time until a permit may be available, 0 if it may be now."""
        if self.rate(upstream) is None:
            return 0.0
        key = upstream.incarnation
        if self._owner(key) == self._peers.entry or self._cold_permits.counts_alone(upstream, now):
            return self._wait_s(upstream, now)
        return max(0.0, self._blocked_until.get(key, now) - now)

    def record(self, upstream: Upstream, notice: LimitNotice, sent_at: float, now: float) -> None:
        """Record what an answer to a request sent at ``sent_at`` says of an upstream's limit."""
        key = upstream.incarnation
        match notice:
            case NamedLimit(per_s):
                if self._limits.record_named(key, per_s, now):
                    _log.info("upstream named a limit", upstream=upstream.instance, per_s=per_s)
                    self._begin_counting(key, now)
            case NoLimit():
                if self._limits.record_absent(key, sent_at, now):
                    _log.info("upstream lifted its limit", upstream=upstream.instance)
            case UnreadableLimit(text):
                _log.warning("upstream limit ignored", upstream=upstream.instance, value=text)

    def may_still_send(self, upstream: Upstream, had_permit: bool, chosen_at: float) -> bool:
        """Return whether a request may be sent now to an upstream that it chose before.

        ``had_permit`` tells that the upstream was known to be cold then.
        """
        if not self.is_cold(upstream):
            return True
        return had_permit and self._clock.now() - chosen_at <= PERMIT_VALID_S

    async def acquire(self, upstream: Upstream) -> bool:
        """Return whether one request may be sent to an upstream now."""
        now = self._clock.now()
        if self.rate(upstream) is None:
            return True
        key = upstream.incarnation
        owner = self._owner(key)
        is_cold = self.is_cold(upstream)
        if owner == self._peers.entry or self._cold_permits.counts_alone(upstream, now):
            granted = self._try_acquire(upstream, now)
            outcome = PermitOutcome.GRANTED if granted else PermitOutcome.DENIED
        else:
            self._forget_bucket(key)
            outcome = await self._request(upstream, owner)
        self._count(outcome)
        self._cold_denials += is_cold and outcome is not PermitOutcome.GRANTED
        return outcome is PermitOutcome.GRANTED

    def answer(self, request: PermitRequest, find: Callable[[str], Upstream | None]) -> PermitReply:
        """Return the reply to another entry's request; ``find`` returns a registered upstream."""
        now = self._clock.now()
        report = request.limit
        self.apply_reports([report], request.entry, now)
        key, upstream = report.incarnation, find(report.instance)
        if upstream is None or upstream.incarnation != key:
            return PermitReply(request.number, False, NOT_OWNER_PAUSE_S)
        if self._owner(key) != self._peers.entry:
            self._forget_bucket(key)
            return PermitReply(request.number, False, NOT_OWNER_PAUSE_S)
        if request.cold_left_s > 0:
            if not self._cold_permits.is_certain(now):
                return PermitReply(request.number, False, NOT_OWNER_PAUSE_S)
            self._cold.apply_report(upstream, request.cold_left_s, now)
        if self.rate(upstream) is None:
            return PermitReply(request.number, True, 0.0)
        granted = self._try_acquire(upstream, now)
        return PermitReply(request.number, granted, self._wait_s(upstream, now))

    async def receive(self, reply: PermitReply) -> None:
        """Pass on a reply to the request that waits for it, if it still does."""
        pending = self._pending.get(reply.number)
        if pending is not None:
            self._replies[reply.number] = reply
            await pending.set()

    def reports(self, now: float) -> list[LimitReport]:
        """Return as many limits as one message has room for, in turn."""
        known = self._limits.reports(now)
        start = self._next_report % len(known) if known else 0
        chosen = (known[start:] + known[:start])[:MAX_REPORTS_PER_MESSAGE]
        self._next_report = start + len(chosen)
        return [
            LimitReport(instance, started_ms, observed.per_s, now - observed.at)
            for (instance, started_ms), observed in chosen
        ]

    def apply_reports(self, reports: Collection[LimitReport], entry: str, now: float) -> None:
        """Apply the limits that another entry reports."""
        for report in reports:
            if not report.is_valid:
                _log.warning("limit report ignored", entry=entry, upstream=report.instance)
            elif self._limits.apply_peer(report.incarnation, report.per_s, report.age_s, now):
                _log.info(
                    "upstream limit reported",
                    upstream=report.instance,
                    per_s=report.per_s,
                    age_s=round(report.age_s, 3),
                    reported_by=entry,
                )
                if report.per_s is not None:
                    self._begin_counting(report.incarnation, now)

    def retain(self, upstreams: Collection[UpstreamIncarnation]) -> None:
        """Forget all other upstreams, and the permits of those that name no limit."""
        self._limits.retain(upstreams)
        limited = set(self._limits.limited())
        self._buckets = {key: item for key, item in self._buckets.items() if key in limited}
        self._blocked_until = {
            key: until for key, until in self._blocked_until.items() if key in upstreams
        }
        self._cold_permits.retain(upstreams)

    async def _request(self, upstream: Upstream, owner: str) -> PermitOutcome:
        """Ask the owner of an upstream for a permit."""
        number, key = next(self._numbers), upstream.incarnation
        now = self._clock.now()
        report = LimitReport(*key, self._limits.limit(key), self._limits.age_s(key, now))
        cold_left_s = self._cold.reported_s(upstream, now) if self.is_cold(upstream) else 0.0
        message = PermitRequest(number, self._peers.entry, report, cold_left_s)
        replied = self._pending[number] = curio.Event()
        try:
            if self._send is not None:
                address = parse_address(self._peers.address(owner))
                await self._send(msgspec.msgpack.encode(message), address)
                await curio.ignore_after(REPLY_TIMEOUT_S, replied.wait)
        except (ValueError, OSError) as error:
            _log.info("permit not requested", owner=owner, reason=str(error))
        finally:
            del self._pending[number]
            reply = self._replies.pop(number, None)
        now = self._clock.now()
        if reply is None:
            self._blocked_until[key] = now + UNANSWERED_PAUSE_S
            _log.info("permit request unanswered", owner=owner, upstream=upstream.instance)
            return PermitOutcome.UNANSWERED
        self._blocked_until[key] = now + min(MAX_WAIT_S, max(0.0, reply.wait_s))
        return PermitOutcome.GRANTED if reply.granted else PermitOutcome.DENIED

    def _try_acquire(self, upstream: Upstream, now: float) -> bool:
        """Take a permit of an upstream that this entry owns, if there is one."""
        key = upstream.incarnation
        if not self._cold_permits.try_acquire(upstream, now):
            return False
        if self._limits.limit(key) is None or self._bucket(key, now).try_acquire(now):
            return True
        self._cold_permits.refund(upstream)
        return False

    def _wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the time until a permit of an upstream that this entry owns may be available."""
        key, cold_s = upstream.incarnation, self._cold_permits.wait_s(upstream, now)
        if self._limits.limit(key) is None:
            return cold_s
        return max(cold_s, self._bucket(key, now).wait_s(now))

    def _forget_bucket(self, key: UpstreamIncarnation) -> None:
        """Drop the permits of an upstream that another entry owns."""
        self._buckets.pop(key, None)
        self._cold_permits.forget(key)

    def _bucket(self, key: UpstreamIncarnation, now: float) -> TokenBucket:
        """Return the bucket of an upstream that this entry owns, at the rate it may use."""
        rate = max(MIN_RATE_PER_S, self._limits.limit(key) or 0.0) * self._part_of_entries()
        burst = max(1.0, rate * BURST_S)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = TokenBucket(rate, burst, now, empty=True)
        bucket.set_rate(rate, burst, now)
        return bucket

    def _begin_counting(self, key: UpstreamIncarnation, now: float) -> None:
        """Let permits accrue from now on if this entry owns an upstream."""
        if self._owner(key) == self._peers.entry:
            self._bucket(key, now)

    def _part_of_entries(self) -> float:
        """Return the part of the registered entries that share permits with this one."""
        sharing = 1 + self._peers.sharing_count
        return sharing / max(sharing, self._registered)

    def _owner(self, upstream: UpstreamIncarnation) -> str:
        """Return the entry that counts an upstream's permits."""
        if self._owners_membership != self._peers.membership:
            self._owners.clear()
            if self._owners_membership >= 0:
                # An entry that owned an upstream until now may have used its burst.
                self._cold_permits.clear(self._clock.now())
            self._owners_membership = self._peers.membership
        owner = self._owners.get(upstream)
        if owner is None:
            names = [self._peers.entry, *self._peers.sharing]
            owner = rank_by_weight(f"{upstream[0]}/{upstream[1]}", names)[0]
            self._owners[upstream] = owner
        return owner
