"""Load shedding of one service: the state of its slots and passes as the decisions need it."""

import math
from collections.abc import Callable

from bluebellrun.admission import (
    Capacity,
    LoadShedder,
    PassTimeControl,
    PassTimeSettings,
    ReserveSettings,
    Send,
    Shed,
    SheddingRequest,
    SheddingSettings,
    UrgentReserve,
    Wait,
    first_event_s,
    hold_s,
    relative_size,
)
from bluebellrun.deployment import EngineTerms
from bluebellrun.gateway._admission_terms import AdmissionTerms
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.telemetry import get_logger

# Part of its objective that a request may wait for a slot at most, and for which every new one
# counts as timely: the estimate of the time to its first event may be too long.
MAX_WAIT_FRACTION = 0.6
MIN_WAIT_FRACTION = 0.1
# Time for which the state of the slots is reused while nothing is sent; adding them up for each
# waiting request would take too much of a core.
CAPACITY_AGE_S = 0.01

# Streams that an entry may always have while it has seen no passes: others may hold all the slots
# that its cautious assumption allows, and without streams of its own it would learn nothing.
MIN_OBSERVED_STREAMS = 3

_log = get_logger("admission")


class LoadShedding:
    """Decide what is sent to a service whose upstreams work in step, and in which order.

    Times are in seconds of the monotonic clock. ``entries`` returns how many entries share the
    slots. ``group_of`` returns the group of an upstream, empty if the service has one group.
    """

    def __init__(
        self,
        service: str,
        fleet: Fleet,
        engine: EngineTerms,
        entries: Callable[[], int],
        group_of: Callable[[str], str] = lambda instance: "",
    ) -> None:
        self._service = service
        self._fleet = fleet
        self._engine = engine
        self._entries = entries
        self._group_of = group_of
        self._passes = PassTimeControl(PassTimeSettings(), engine)
        self._reserve = UrgentReserve(ReserveSettings())
        self._shedder = LoadShedder(SheddingSettings(), self._reserve.slot_fraction)
        self._refused = self._refused_again = 0
        self._usable_fraction = 1.0
        self._capacity: tuple[float, float | None, Capacity] | None = None

    @property
    def shedder(self) -> LoadShedder:
        """Return the decisions and the requests that wait for them."""
        return self._shedder

    @property
    def refused(self) -> int:
        """Return how many new requests were refused."""
        return self._refused

    @property
    def refused_again(self) -> int:
        """Return how many requests were refused whose callers had come back."""
        return self._refused_again

    @property
    def usable_fraction(self) -> float:
        """Return the fraction of the slots that the last decision allowed to be used."""
        return self._usable_fraction

    def record_arrival(self, terms: AdmissionTerms, now: float) -> None:
        """Record a request that this entry has received."""
        self._reserve.record(terms.urgency, now)
        self._shedder.record_arrival(self._request(terms, now), now)

    def decide(self, terms: AdmissionTerms, now: float) -> Send | Wait | Shed:
        """Decide whether a request is sent now, waits or is refused."""
        if self._shedder.running < MIN_OBSERVED_STREAMS and not self._passes.is_observed(now):
            return self.probe(terms, now)
        capacity = self._current(terms, now)
        decision = self._shedder.decide(self._request(terms, now), capacity, now)
        if isinstance(decision, Send):
            self._capacity = None
        return decision

    def wait(self, terms: AdmissionTerms, now: float) -> Wait:
        """Let a request wait for the end of an outage."""
        return self._shedder.wait(self._request(terms, now))

    def probe(self, terms: AdmissionTerms, now: float) -> Send:
        """Send a request without a decision, to learn the state of the service by it."""
        self._capacity = None
        return self._shedder.send(self._request(terms, now), now)

    def refuse(self, terms: AdmissionTerms, earliest_s: float, now: float) -> float:
        """Record a refusal; return when its caller should come back, not too early."""
        self._refused += not terms.is_retry
        self._refused_again += terms.is_retry
        capacity = self._current(terms, now)
        return self._shedder.retry_after_s(self._request(terms, now), earliest_s, capacity, now)

    def record_pause(self, pause_s: float, max_pause_s: float, now: float, instance: str) -> None:
        """Record the pause between two events of one upstream's stream."""
        group = self._group_of(instance)
        part = self._passes.observe(
            pause_s, max_pause_s, lambda: self._fleet.load(self._service, instance, now), now, group
        )
        if part is not None:
            _log.info(
                "slots limited because of stream pauses" if part < 1.0 else "slot limit lifted",
                service=self._service,
                group=group,
                part=round(part, 2),
                pause_s=round(pause_s, 3),
                load=round(self._load(now), 2),
            )

    def _request(self, terms: AdmissionTerms, now: float) -> SheddingRequest:
        """Return what the decisions need to know of a request."""
        engine, objective_s = self._engine, terms.route.objective_s
        timely_until = terms.send_deadline
        if objective_s > 0:
            first_s = first_event_s(terms.prompt_tokens, engine, self._pass_s(terms, now))
            wait_s = min(MAX_WAIT_FRACTION * objective_s, objective_s - first_s)
            timely_until = terms.received + max(MIN_WAIT_FRACTION * objective_s, wait_s)
        return SheddingRequest(
            terms.request_id,
            terms.urgency,
            terms.is_retry,
            timely_until,
            terms.send_deadline,
            terms.deadline,
            relative_size(terms.prompt_tokens, terms.answer_tokens, engine),
        )

    def _pass_s(self, terms: AdmissionTerms, now: float) -> float:
        """Return how long passes take; longer ones than streams allow are soon shortened."""
        return min(self._passes.pass_s(now), terms.route.longest_pause_s or math.inf)

    def _current(self, terms: AdmissionTerms, now: float) -> Capacity:
        """Return the state of the slots, at most some milliseconds old."""
        max_pause_s = terms.route.longest_pause_s
        if self._capacity is not None:
            at, pause_s, capacity = self._capacity
            if now - at < CAPACITY_AGE_S and pause_s == max_pause_s:
                return capacity
        usage = self._fleet.slot_usage(self._service, now)
        fraction = 1.0
        if max_pause_s and not self._fleet.groups.has_several(self._service):
            # With several groups the slots of each are bounded already in the usage of the service.
            fraction = self._passes.slot_fraction(max_pause_s, now)
        self._usable_fraction = fraction
        held_s = usage.typical_s
        if self._engine.usual_answer_tokens > 0:
            # Known at once, while the typical time of requests follows a change of passes slowly.
            held_s = hold_s(self._engine, self._pass_s(terms, now))
        capacity = Capacity(usage.total, usage.taken, held_s, fraction, self._entries())
        self._capacity = (now, max_pause_s, capacity)
        return capacity

    def _load(self, now: float) -> float:
        """Return the fraction of the service's slots that is occupied."""
        return self._fleet.slot_usage(self._service, now).load
