"""Decide which requests are sent, wait or are refused when the slots do not suffice. Pure.

New requests that can still be on time take precedence, the most urgent first. Late ones take the
slots that these leave, and a small share of their own, so that a caller that was refused once and
comes back is served. Refusals come at once, and their times to retry are spread by the rate at
which slots for late requests become free.
"""

import math
from bisect import bisect_left
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate

from bluebellrun.admission._arrival_rate import ArrivalRate
from bluebellrun.admission._request_costs import CostSettings, RequestCosts, SheddingRequest

# The rank of a waiting request; lower ones go first: what a refusal costs, negative, then the kind,
# then what orders requests of one kind, then the time at which it is too late.
Rank = tuple[float, int, float, float]
# Kinds of rank: late requests within their own share of the slots, new ones, other last chances.
OWN_SHARE, NEW, LAST_CHANCE, LATE = range(4)
# The first element of the rank of late requests that have time left: after all others.
LEFTOVER = 0.0


@dataclass(frozen=True, slots=True)
class SheddingSettings:
    """Times in seconds; fractions of the slots that may be used.

    Late requests may always hold ``min_late_fraction``. A late one is a last chance from
    ``last_chance_s`` before its end on. Callers that come back are spread over ``max_spread_s``,
    and asked for at most ``max_retry_fraction`` of their remaining time, as they honour no more.
    The rate of new requests is averaged over ``rate_window_s``.

    Slots that become free are known only after some tenths of a second. If passes bound nothing,
    new requests may therefore exceed the slots by as many as become free within ``overfill_s``,
    ``max_overfill_fraction`` at most.
    Where passes bound the slots, that bound may fall at any moment and leave none free; less urgent
    requests then take their part of the slots to the power of ``limited_reserve_exponent``.
    What other entries have sent is known after ``report_age_s``. A late request that has no retry
    left is refused at once if the expected wait is over ``hopeless_factor`` times the time that it
    has, as estimates are rough, else it waits for that time; one with a retry left is refused at
    once. Waiting requests are ranked again after ``ranking_s``.
    """

    min_late_fraction: float = 0.15
    last_chance_s: float = 0.7
    max_spread_s: float = 2.0
    max_retry_fraction: float = 0.3
    rate_window_s: float = 2.0
    min_rate_age_s: float = 0.3
    overfill_s: float = 0.06
    max_overfill_fraction: float = 0.1
    report_age_s: float = 0.12
    hopeless_factor: float = 4.0
    limited_reserve_exponent: float = 2.0
    ranking_s: float = 0.02


@dataclass(frozen=True, slots=True)
class Capacity:
    """The slots of a service as one entry sees them, of which it has about one in ``entries``.

    ``taken`` counts the requests of all entries as far as they are known; a usual request holds a
    slot for ``hold_s``. ``fraction`` of the slots may be used if passes are to be short enough.
    """

    total: int
    taken: int
    hold_s: float
    fraction: float
    entries: int

    @property
    def usable(self) -> float:
        """Return how many slots may be used."""
        return self.total * self.fraction

    @property
    def own_share(self) -> float:
        """Return this entry's share of the slots that may be used."""
        return self.usable / max(1, self.entries)

    @property
    def freed_per_s(self) -> float:
        """Return how many slots become free in a second if all that may be used are."""
        return self.usable / max(self.hold_s, 0.001)


@dataclass(frozen=True, slots=True)
class Send:
    """The request is sent now; ``late`` if its answer is not expected on time."""

    late: bool


@dataclass(frozen=True, slots=True)
class Wait:
    """The request waits; it is decided again some hundredths of a second later."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The request is refused now."""

    reason: str


ShedDecision = Send | Wait | Shed


class LoadShedder:
    """Decide for the requests that one entry has for a service; times in seconds.

    ``slot_fraction`` returns the fraction of the usable slots that an urgency may take.
    """

    def __init__(self, settings: SheddingSettings, slot_fraction: Callable[[int], float]) -> None:
        self._settings = settings
        self._slot_fraction = slot_fraction
        self._costs = RequestCosts(CostSettings())
        self._arrivals: dict[int, ArrivalRate] = {}
        self._waiting: dict[str, SheddingRequest] = {}
        self._late: set[str] = set()
        self._running = 0
        self._sent: deque[float] = deque()
        self._ranks: list[Rank] = []
        # Up to each rank, how many of the waiting ones are within the share of late requests, and
        # how many are late.
        self._in_share = [0]
        self._late_ranks = [0]
        self._ranked_at = -math.inf
        self._promised_until = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return the number of requests that were sent and have not ended."""
        return self._running

    @property
    def late(self) -> int:
        """Return the number of late requests that hold slots."""
        return len(self._late)

    def record_arrival(self, request: SheddingRequest, now: float) -> None:
        """Record a request that this entry has received."""
        if request.is_retry:
            return
        rate = self._arrivals.get(request.urgency)
        if rate is None:
            rate = ArrivalRate(self._settings.rate_window_s, self._settings.min_rate_age_s, now)
            self._arrivals[request.urgency] = rate
        rate.record(now)

    def finish(self, request_id: str) -> None:
        """Record that a request that was sent has ended."""
        self._running -= 1
        self._late.discard(request_id)

    def leave(self, request_id: str) -> None:
        """Record that a request no longer waits."""
        if self._waiting.pop(request_id, None) is not None:
            self._ranked_at = -math.inf

    def wait(self, request: SheddingRequest) -> Wait:
        """Let a request wait for a reason other than the slots."""
        self._waiting[request.id] = request
        return Wait()

    def send(self, request: SheddingRequest, now: float) -> Send:
        """Record that a request is sent, for whatever reason."""
        self._drop_reported(now)
        self._sent.append(now)
        self._running += 1
        late = not request.is_timely_at(now)
        if late:
            self._late.add(request.id)
        self.leave(request.id)
        return Send(late)

    def decide(self, request: SheddingRequest, capacity: Capacity, now: float) -> ShedDecision:
        """Decide whether a request is sent now, waits or is refused."""
        if capacity.total <= 0:
            return self.send(request, now)
        is_timely = request.is_timely_at(now)
        rank = self._rank(request, capacity, now)
        missing = self._missing(request, rank, capacity, now)
        may_be_late = is_timely or self.late < self._late_slots(rank, capacity, now)
        if may_be_late and missing <= 0:
            return self.send(request, now)
        wait_s = max(1.0, missing) / self._freed_for(request.urgency, capacity, now)
        if is_timely and now + wait_s <= request.timely_until:
            return self.wait(request)
        return self._decide_late(request, capacity, now)

    def retry_after_s(
        self, request: SheddingRequest, earliest_s: float, capacity: Capacity, now: float
    ) -> float:
        """Return when a caller should come back: when a slot for it is expected to be free.

        It is ``earliest_s`` or later. Each caller with a retry left is told a later time than the
        one before, as slots for late requests become free one after the other.
        """
        settings = self._settings
        remaining_s = max(0.0, request.deadline - now)
        latest = now + max(earliest_s, settings.max_retry_fraction * remaining_s)
        earliest = min(now + earliest_s, latest)
        if request.is_retry:
            return earliest - now
        start = max(earliest, self._promised_until)
        if start > min(latest, earliest + settings.max_spread_s):
            # More callers than slots: they come back evenly spread, not all at the latest time.
            start = earliest
        late_slots = self._late_slots((LEFTOVER, LATE, 0.0, 0.0), capacity, now)
        held_s = capacity.hold_s * self._costs.size_factor(request.size)
        self._promised_until = start + held_s / late_slots
        return start - now

    def _decide_late(
        self, request: SheddingRequest, capacity: Capacity, now: float
    ) -> ShedDecision:
        """Decide for a request that is late if it waits for a slot.

        What counts is its last rank: a late request is sent at its last chance, if not before.
        """
        rank = self._last_chance_rank(request)
        late_slots = self._late_slots(rank, capacity, now)
        late_before = self._late_ahead(rank) + (self.late >= late_slots)
        missing = max(1.0, self._missing(request, rank, capacity, now))
        wait_s = missing / self._freed_for(request.urgency, capacity, now)
        wait_s = max(wait_s, late_before * capacity.hold_s / late_slots)
        left_s = request.send_deadline - now
        is_hopeless = wait_s > self._settings.hopeless_factor * left_s
        if request.is_retry and left_s > 0 and (request.id in self._waiting or not is_hopeless):
            return self.wait(request)
        self.leave(request.id)
        return Shed(
            f"{capacity.taken} requests for {capacity.usable:.0f} usable of {capacity.total} "
            f"slots: a slot in {wait_s:.2f} s, on time for {request.timely_until - now:.2f} s, "
            f"{left_s:.2f} s left"
        )

    def _missing(
        self, request: SheddingRequest, rank: Rank, capacity: Capacity, now: float
    ) -> float:
        """Return how many slots have to become free first, 0 or less if the request has one."""
        ahead = self._ahead(rank, capacity, now) * max(1, capacity.entries)
        limit = self._limit(request, rank[1] == NEW, capacity)
        return capacity.taken + self._unreported(capacity, now) + ahead + 1 - limit

    def _rank(self, request: SheddingRequest, capacity: Capacity, now: float) -> Rank:
        """Return a request's rank among those that wait.

        It follows from what a refusal costs. Within the share of late requests, one that soon fails
        for good goes before new ones of its urgency, but never before more urgent ones.
        """
        if request.is_timely_at(now):
            loss = self._costs.loss_per_slot_time(request, now)
            return (-loss, NEW, 0.0, request.timely_until)
        rank = self._late_rank(request, now)
        if rank[1] == LAST_CHANCE and self._late_room(capacity):
            return (-self._costs.loss_of_new(request.urgency), OWN_SHARE, *rank[2:])
        return rank

    def _late_rank(self, request: SheddingRequest, now: float) -> Rank:
        """Return a request's rank if it is late: those that soon fail for good go first."""
        if now < request.send_deadline - self._settings.last_chance_s:
            loss = self._costs.loss_per_slot_time(request, now)
            return (LEFTOVER, LATE, -loss, request.send_deadline)
        return self._last_chance_rank(request)

    def _last_chance_rank(self, request: SheddingRequest) -> Rank:
        """Return a late request's rank once it soon fails for good."""
        loss = self._costs.loss_per_slot_time(request, request.send_deadline)
        return (-loss, LAST_CHANCE, 0.0, request.send_deadline)

    def _late_room(self, capacity: Capacity) -> int:
        """Return how many more late requests fit into their own share of the slots."""
        own = max(1.0, self._settings.min_late_fraction * capacity.own_share)
        return max(0, math.ceil(own) - self.late)

    def _ahead(self, rank: Rank, capacity: Capacity, now: float) -> int:
        """Return how many waiting requests go before one of this rank.

        Of the late ones within their own share of the slots, as many count as fit into it.
        """
        if now - self._ranked_at > self._settings.ranking_s:
            ranks = (self._rank(item, capacity, now) for item in self._waiting.values())
            self._ranks = sorted(ranks)
            self._in_share = [0, *accumulate(item[1] == OWN_SHARE for item in self._ranks)]
            self._late_ranks = [0, *accumulate(item[1] != NEW for item in self._ranks)]
            self._ranked_at = now
        ahead = bisect_left(self._ranks, rank)
        in_share = self._in_share[ahead]
        return ahead - in_share + min(in_share, self._late_room(capacity))

    def _late_ahead(self, rank: Rank) -> int:
        """Return how many waiting late requests go before one of this rank."""
        return self._late_ranks[bisect_left(self._ranks, rank)]

    def _limit(self, request: SheddingRequest, is_timely: bool, capacity: Capacity) -> float:
        """Return how many slots may be taken after a request is sent."""
        part = self._slot_fraction(request.urgency)
        if capacity.fraction < 1.0:
            return max(1.0, capacity.usable * part**self._settings.limited_reserve_exponent)
        limit = capacity.usable * part
        if is_timely:
            overfill = self._settings.overfill_s * capacity.freed_per_s
            limit += min(overfill, self._settings.max_overfill_fraction * capacity.usable)
        return max(1.0, limit)

    def _late_slots(self, rank: Rank, capacity: Capacity, now: float) -> float:
        """Return how many slots of this entry late requests of a rank and before may hold.

        They leave those that the new requests need whose refusal would cost more.
        """
        rate = sum(
            rate.per_s(now)
            for urgency, rate in self._arrivals.items()
            if -self._costs.loss_of_new(urgency) < rank[0]
        )
        share = capacity.own_share
        return max(share - rate * capacity.hold_s, self._settings.min_late_fraction * share, 1.0)

    def _freed_for(self, urgency: int, capacity: Capacity, now: float) -> float:
        """Return the slots that become free in a second and are left by more urgent requests."""
        more_urgent = sum(
            rate.per_s(now) for other, rate in self._arrivals.items() if other < urgency
        )
        freed = capacity.freed_per_s
        return max(freed - capacity.entries * more_urgent, 0.02 * freed, 0.001)

    def _unreported(self, capacity: Capacity, now: float) -> float:
        """Estimate what other entries have sent and not reported: as much as this one each."""
        age_s = self._settings.report_age_s
        self._drop_reported(now)
        own = sum(1.0 - (now - at) / age_s for at in self._sent)
        return own * max(0, capacity.entries - 1)

    def _drop_reported(self, now: float) -> None:
        """Drop what was sent so long ago that the other entries know of it."""
        while self._sent and now - self._sent[0] > self._settings.report_age_s:
            self._sent.popleft()
