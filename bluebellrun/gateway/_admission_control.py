"""Admission of the requests of one service: send now, queue or refuse.

A new request is refused immediately if it could not be answered in time; the refusal says when to
retry. Most callers retry only once, so refusing a retry fails the request. A retry is therefore
queued for a free slot while it can still be answered. It is late already, so new requests take
precedence until its deadline is near; then it takes precedence over them. Outages of a service
whose upstreams work in step are short, so requests that arrive during one are queued for as long as
their callers wait. For some seconds after it, late requests take only the slots that new requests
leave, except retries that would soon fail for good.

With load shedding, ``LoadShedding`` decides all this but the outages themselves.
"""

import time
from collections.abc import Callable
from random import Random

import curio

from bluebellrun.admission import (
    GroupGates,
    GroupPauses,
    RecoveryLimit,
    RecoverySettings,
    ReserveSettings,
    Send,
    Shed,
    SlotAdmission,
    SlotUsage,
    Ticket,
    UrgentReserve,
    Wait,
    WaitingQueue,
)
from bluebellrun.deployment import Route
from bluebellrun.gateway._admission_terms import AdmissionTerms
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._load_shedding import LoadShedding
from bluebellrun.gateway._models import Refused
from bluebellrun.telemetry import get_logger

UNAVAILABLE = 503
# Interval at which queued requests check for a slot; one becomes free every few milliseconds.
QUEUE_INTERVAL_S = 0.04
# A new request that has waited for this fraction of its objective is late.
MAX_TIMELY_WAIT_FRACTION = 0.5
# Retry-After where a service is evacuated: no entry knows when the operator ends that.
EVACUATED_RETRY_S = 1.0
# Upper factor of the random spread of retry times when all upstreams have asked for a backoff.
MAX_RETRY_SPREAD = 1.5

_log = get_logger("admission")


class AdmissionControl:
    """Admission control of one service; times in seconds of the monotonic clock.

    ``pauses`` is none for a service whose upstreams don't work in step. ``entries`` returns how
    many entries compete for the slots that become free. ``shedding`` is none where load shedding is
    off.
    """

    def __init__(
        self,
        service: str,
        fleet: Fleet,
        gate: GroupGates,
        admission: SlotAdmission,
        pauses: GroupPauses | None,
        entries: Callable[[], int],
        random: Random,
        shedding: LoadShedding | None = None,
    ) -> None:
        self._shedding = shedding
        self._service = service
        self._fleet = fleet
        self._gate = gate
        self._admission = admission
        self._pauses = pauses
        self._entries = entries
        self._random = random
        self._queue = WaitingQueue()
        self._reserve = UrgentReserve(ReserveSettings())
        self._recovery = RecoveryLimit(RecoverySettings())

    @property
    def shedding(self) -> LoadShedding | None:
        """Return the service's load shedding, none where it is off."""
        return self._shedding

    @property
    def gate(self) -> GroupGates:
        """Return the gates that track the outages of the service and its groups."""
        return self._gate

    async def admit(self, terms: AdmissionTerms, attempted: bool = False) -> Refused | None:
        """Wait until a request may be sent and return none, or return its refusal.

        One that was ``attempted`` waits for the end of the outage that refused it.
        """
        if self._is_evacuated():
            return self._evacuation_refusal()
        if self._shedding is not None:
            return await self._admit_or_shed(self._shedding, terms, attempted)
        if attempted:
            refused: Refused | None = self._outage_refusal()
        else:
            self._record_arrival(terms)
            refused = self._refusal_now(terms, is_late=terms.is_retry, waits=terms.is_retry)
        if refused is not None:
            refused = await self._wait(terms, refused, attempted)
        if refused is not None and refused.retry_after_s is None:
            return self.refusal(refused.reason, terms.is_retry)
        return refused

    def _record_arrival(self, terms: AdmissionTerms) -> None:
        """Record a request that this entry has received."""
        now = time.monotonic()
        self._reserve.record(terms.urgency, now)
        if not terms.is_retry:
            self._recovery.record_new(now)

    def finish(self, terms: AdmissionTerms) -> None:
        """Record that an admitted request has ended."""
        self._recovery.finish(terms.request_id)
        if self._shedding is not None:
            self._shedding.shedder.finish(terms.request_id)

    def refusal(self, reason: str, is_retry: bool = False) -> Refused:
        """Return a refusal with a time to retry after.

        If all upstreams have asked for a backoff, this is when the first backoff ends, with a
        random spread so that callers do not all retry at the same moment. In an outage the callers
        that have a retry left are told to come back one after the other.
        """
        now = time.monotonic()
        spread = self._random.uniform(1.0, MAX_RETRY_SPREAD)
        wait_s = self._fleet.available_in_s(self._service, now) * spread
        retry_after_s = max(wait_s, self._gate.retry_after_s(now))
        if (self._gate.is_unavailable(now) or self._recovers(now)) and not is_retry:
            usage = self._slot_usage()
            share = self._share_of_slots(usage)
            retry_after_s = self._recovery.retry_after_s(retry_after_s, share, usage.typical_s, now)
        return Refused(UNAVAILABLE, reason, retry_after_s)

    def refusal_of(self, terms: AdmissionTerms, reason: str) -> Refused:
        """Return the refusal of a request with the time to retry after that suits it."""
        if self._shedding is None:
            return self.refusal(reason, terms.is_retry)
        now = time.monotonic()
        wait_s = self._fleet.available_in_s(self._service, now)
        earliest_s = max(wait_s, self._gate.retry_after_s(now))
        return Refused(UNAVAILABLE, reason, self._shedding.refuse(terms, earliest_s, now))

    def record_pause(
        self,
        pause_s: float,
        max_pause_s: float | None,
        now: float,
        instance: str | None = None,
    ) -> None:
        """Record the pause between two events of one upstream's stream."""
        if self._pauses is None or not max_pause_s:
            return

        def load() -> float:
            return self._fleet.load(self._service, instance, time.monotonic())

        if self._shedding is not None:
            self._shedding.record_pause(pause_s, max_pause_s, now, instance or "")
            if not self._fleet.groups.has_several(self._service):
                return
        part = self._pauses.observe(pause_s, max_pause_s, load, now, instance)
        if part is not None:
            _log.info(
                "slots limited because of stream pauses" if part < 1.0 else "slot limit lifted",
                service=self._service,
                part=round(part, 2),
                pause_s=round(pause_s, 3),
                load=round(load(), 2),
                **self._fleet.groups.log_fields(self._service, instance),
            )

    async def _admit_or_shed(
        self, shedding: LoadShedding, terms: AdmissionTerms, attempted: bool
    ) -> Refused | None:
        """Wait until a request may be sent and return none, or return its refusal."""
        started = time.monotonic()
        if not attempted:
            shedding.record_arrival(terms, started)
        waits = attempted or terms.is_retry
        try:
            while not self._is_evacuated():
                decision = self._shed_decision(shedding, terms, attempted, waits)
                if isinstance(decision, Send):
                    if waits or decision.late:
                        self._log_wait(terms, started, "sent late" if decision.late else "sent")
                    return None
                if isinstance(decision, Shed):
                    if time.monotonic() - started > QUEUE_INTERVAL_S:
                        self._log_wait(terms, started, "refused")
                    return self.refusal_of(terms, decision.reason)
                waits = True
                await curio.sleep(QUEUE_INTERVAL_S)
        finally:
            shedding.shedder.leave(terms.request_id)
        return self._evacuation_refusal()

    def _shed_decision(
        self, shedding: LoadShedding, terms: AdmissionTerms, attempted: bool, waits: bool
    ) -> Send | Wait | Shed:
        """Decide for a request: in an outage it is a probe, or waits as long as its caller."""
        now = time.monotonic()
        if (attempted and self._gate.is_unavailable(now)) or not self._gate.admits(now, waits):
            if now + QUEUE_INTERVAL_S < terms.send_deadline:
                return shedding.wait(terms, now)
            return Shed(self._outage_refusal().reason)
        if self._gate.is_unavailable(now):
            return shedding.probe(terms, now)
        return shedding.decide(terms, now)

    async def _wait(
        self, terms: AdmissionTerms, refused: Refused, attempted: bool
    ) -> Refused | None:
        """Queue a request; return none once it may be sent, or its refusal."""
        started = time.monotonic()
        ticket = self._queue.join(terms.urgency)
        try:
            while self._may_wait(terms, ticket):
                await curio.sleep(QUEUE_INTERVAL_S)
                if self._is_evacuated():
                    refused = self._evacuation_refusal()
                    break
                is_late = _is_late(terms, started)
                if is_late and self._queue.ahead_of(ticket):
                    continue
                if attempted and self._gate.is_unavailable(time.monotonic()):
                    continue
                now_refused = self._refusal_now(terms, is_late, waits=True)
                if now_refused is None:
                    self._log_wait(terms, started, "sent")
                    return None
                refused = now_refused
        finally:
            self._queue.leave(ticket)
        if time.monotonic() - started > QUEUE_INTERVAL_S:
            self._log_wait(terms, started, "refused")
        return refused

    def _may_wait(self, terms: AdmissionTerms, ticket: Ticket) -> bool:
        """Return whether a request may stay queued and is likely to be sent in time."""
        now = time.monotonic()
        if not (terms.is_retry or self._gate.is_unavailable(now) or self._recovers(now)):
            return False
        return now + self._expected_wait_s(self._queue.ahead_of(ticket)) < terms.send_deadline

    def _log_wait(self, terms: AdmissionTerms, started: float, outcome: str) -> None:
        """Log how long a request was queued and the outcome."""
        waited_s = round(time.monotonic() - started, 3)
        _log.info(
            "request left queue", request=terms.request_id, waited_s=waited_s, outcome=outcome
        )

    def _expected_wait_s(self, ahead: int) -> float:
        """Return the expected wait behind ``ahead`` requests, as entries share the free slots."""
        usage = self._slot_usage()
        if not usage.total or self._gate.is_unavailable(time.monotonic()):
            return 0.0
        waiting = ahead * self._entries() - max(0, usage.total - usage.taken)
        return max(0, waiting) * usage.typical_s / usage.total

    def _recovers(self, now: float) -> bool:
        """Return whether the service recovers from an outage."""
        return self._recovery.recovers(self._gate.outage_ended, now)

    def _has_late_slot(self, usage: SlotUsage) -> bool:
        """Return whether a late request may take a slot."""
        now = time.monotonic()
        if usage.total <= 0 or not self._recovers(now):
            return True
        share = self._share_of_slots(usage)
        return self._recovery.late < self._recovery.late_slots(share, usage.typical_s, now)

    def _share_of_slots(self, usage: SlotUsage) -> float:
        """Return this entry's share of the service's slots."""
        return usage.total / max(1, self._entries())

    def _refusal_now(
        self, terms: AdmissionTerms, is_late: bool, waits: bool = False
    ) -> Refused | None:
        """Return none if a request may be sent now, else its refusal.

        In and after an outage the refusal has no time to retry after yet.

        A request that ``waits`` in the queue does not probe an unavailable service while new
        requests do: if the probe were refused, sending it again would cost a retry.
        """
        if not self._gate.admits(time.monotonic(), waits):
            return self._outage_refusal()
        now = time.monotonic()
        urgency = terms.urgency_at(now)
        usage, part = self._slot_usage(), self._admission_fraction(terms.route, urgency)
        if is_late and not (terms.is_last_chance_at(now) or self._has_late_slot(usage)):
            reason = "the slots are left to new requests until the service has recovered"
            return Refused(UNAVAILABLE, reason)
        if is_late:
            admitted = usage.has_free(part)
        else:
            admitted = self._admission.admits(usage, urgency, terms.route.objective_s, part)
        if admitted:
            if is_late:
                self._recovery.admit_late(terms.request_id)
            return None
        reason = (
            f"{usage.taken} requests for {usage.total} places, of which {part:.2f} may be "
            "taken: it would be late"
        )
        return Refused(UNAVAILABLE, reason, self._admission.retry_after_s(usage))

    def _outage_refusal(self) -> Refused:
        """Return the refusal of a request in an outage, without a time to retry after."""
        return Refused(UNAVAILABLE, f"service {self._service!r} is out of order")

    def _is_evacuated(self) -> bool:
        """Return whether all upstreams of the service are in evacuated failure domains."""
        return self._fleet.directory.is_evacuated(self._service)

    def _evacuation_refusal(self) -> Refused:
        """Return the refusal of a request while the service is evacuated."""
        reason = f"all upstreams of service {self._service!r} are evacuated"
        return Refused(UNAVAILABLE, reason, EVACUATED_RETRY_S)

    def _admission_fraction(self, route: Route, urgency: int) -> float:
        """Return the fraction of slots that may be occupied when a request is admitted."""
        part = self._reserve.slot_fraction(urgency)
        if self._pauses is None or not route.longest_pause_s:
            return part
        return part * self._pauses.slot_fraction(route.longest_pause_s, time.monotonic())

    def _slot_usage(self) -> SlotUsage:
        """Return the slots of the service and how many are occupied."""
        return self._fleet.slot_usage(self._service, time.monotonic())


def _is_late(terms: AdmissionTerms, queued_at: float) -> bool:
    """Return whether a queued request can hardly be answered within its objective."""
    waited_s = time.monotonic() - queued_at
    return terms.is_retry or waited_s > MAX_TIMELY_WAIT_FRACTION * terms.route.objective_s
