"""Which requests of one service are sent now, which are queued, and which are refused.

A new request is refused at once if it could not be answered in time: its caller is told when to
retry. Most callers retry once only, so a second refusal is for good. A retry is queued for a free
place, as long as it may still be answered. It is late already, so new requests go first until its
time runs out; then it goes before them. Outages of a service that works in step are short:
requests that come then are queued for a moment.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import curio

from bluebellrun.admission import (
    PauseLimit,
    Places,
    PlacesAdmission,
    ReserveSettings,
    ServiceGate,
    Ticket,
    UrgentReserve,
    WaitingQueue,
)
from bluebellrun.deployment import Route
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._models import Refused
from bluebellrun.telemetry import get_logger

UNAVAILABLE = 503
# Queued requests look for a place this often; one becomes free every few milliseconds.
QUEUE_INTERVAL_S = 0.04
# Steps of urgency by which a retry gives way to new requests at first, and by which it goes before
# them in the last part of its time.
RETRY_STEPS_BEHIND = 1
RETRY_STEPS_AHEAD = 1
RETRY_LAST_PART_S = 0.7
# A group whose ranks are all there forms again in some tenths of a second.
OUTAGE_WAIT_S = 1.0
# Callers that all upstreams turn away come back up to so many times later than the first may.
LATEST_RETURN = 1.5

_log = get_logger("admission")


@dataclass(frozen=True, slots=True)
class AdmissionTerms:
    """What decides on the admission of one request.

    Sent later than ``latest_send``, a reading of the monotonic clock in seconds, it would not be
    answered any more. ``is_retry`` tells that its caller was refused or cut off before.
    """

    request_id: str
    route: Route
    urgency: int
    latest_send: float
    is_retry: bool = False

    def urgency_at(self, now: float) -> int:
        """Return how urgent the request is beside new ones."""
        if not self.is_retry:
            return self.urgency
        if now < self.latest_send - RETRY_LAST_PART_S:
            return self.urgency + RETRY_STEPS_BEHIND
        return self.urgency - RETRY_STEPS_AHEAD


class AdmissionControl:
    """Decide on the requests of one service; times in seconds of the monotonic clock.

    ``pauses`` is none for a service whose upstreams don't work in step. ``entries`` tells how many
    entries take the places that become free.
    """

    def __init__(
        self,
        service: str,
        fleet: Fleet,
        gate: ServiceGate,
        admission: PlacesAdmission,
        pauses: PauseLimit | None,
        entries: Callable[[], int],
        random: Random,
    ) -> None:
        self._service = service
        self._fleet = fleet
        self._gate = gate
        self._admission = admission
        self._pauses = pauses
        self._entries = entries
        self._random = random
        self._queue = WaitingQueue()
        self._reserve = UrgentReserve(ReserveSettings())

    @property
    def gate(self) -> ServiceGate:
        """Return what is known of the service's outages."""
        return self._gate

    async def admit(self, terms: AdmissionTerms) -> Refused | None:
        """Return none once a request may be sent, or its refusal."""
        self._reserve.note(terms.urgency, time.monotonic())
        refused = self._refusal_now(terms, waits=terms.is_retry)
        if refused is None:
            return None
        until = terms.latest_send
        if not terms.is_retry:
            until = min(until, time.monotonic() + OUTAGE_WAIT_S)
        return await self._wait(terms, until, refused)

    def refusal(self, reason: str) -> Refused:
        """Return a refusal that tells when to come back.

        Where all upstreams want nothing it is when the first one takes requests again, and a
        while later for some, so that not all callers come back at that moment.
        """
        now = time.monotonic()
        spread = self._random.uniform(1.0, LATEST_RETURN)
        wait_s = self._fleet.available_in_s(self._service, now) * spread
        return Refused(UNAVAILABLE, reason, max(wait_s, self._gate.retry_after_s(now)))

    def note_pause(self, pause_s: float, longest_s: float | None, now: float) -> None:
        """Take note of the pause between two events of one upstream's stream."""
        if self._pauses is None or not longest_s:
            return
        part = self._pauses.observe(pause_s, longest_s, self._load, now)
        if part is not None:
            _log.info(
                "places bound by pauses" if part < 1.0 else "places no longer bound",
                service=self._service,
                part=round(part, 2),
                pause_s=round(pause_s, 3),
                load=round(self._load(), 2),
            )

    async def _wait(self, terms: AdmissionTerms, until: float, refused: Refused) -> Refused | None:
        """Queue a request; return none once it may be sent."""
        began = time.monotonic()
        ticket = self._queue.join(terms.urgency)
        try:
            while self._may_wait(terms, ticket, until):
                await curio.sleep(QUEUE_INTERVAL_S)
                if self._queue.ahead_of(ticket):
                    continue
                now_refused = self._refusal_now(terms, waits=True)
                if now_refused is None:
                    self._log_wait(terms, began, "sent")
                    return None
                refused = now_refused
        finally:
            self._queue.leave(ticket)
        if time.monotonic() - began > QUEUE_INTERVAL_S:
            self._log_wait(terms, began, "refused")
        return refused

    def _may_wait(self, terms: AdmissionTerms, ticket: Ticket, until: float) -> bool:
        """Return whether a request may wait on and is likely to be sent in time."""
        now = time.monotonic()
        if not terms.is_retry and not self._gate.out_of_order(now):
            return False
        return now + self._expected_wait_s(self._queue.ahead_of(ticket)) < until

    def _log_wait(self, terms: AdmissionTerms, began: float, outcome: str) -> None:
        """Log that a request waited in queue."""
        waited_s = round(time.monotonic() - began, 3)
        _log.info("waited in queue", request=terms.request_id, waited_s=waited_s, outcome=outcome)

    def _expected_wait_s(self, ahead: int) -> float:
        """Return how long those ahead take, as each entry gets its part of the free places."""
        places = self._places()
        if not places.total or self._gate.out_of_order(time.monotonic()):
            return 0.0
        waiting = ahead * self._entries() - max(0, places.total - places.taken)
        return max(0, waiting) * places.usual_s / places.total

    def _refusal_now(self, terms: AdmissionTerms, waits: bool = False) -> Refused | None:
        """Return none if a request may be sent now, else its refusal.

        One that ``waits`` in the queue is not sent as a trial of a service that is out of order as
        long as new ones are: should it be refused, sending it again costs a further send.
        """
        if not self._gate.admits(time.monotonic(), waits):
            return self.refusal(f"service {self._service!r} is out of order")
        urgency = terms.urgency_at(time.monotonic())
        places, part = self._places(), self._part_of_places(terms.route, urgency)
        if terms.is_retry:
            admitted = places.has_free(part)
        else:
            admitted = self._admission.admits(places, urgency, terms.route.objective_s, part)
        if admitted:
            return None
        reason = (
            f"{places.taken} requests for {places.total} places, of which {part:.2f} may be "
            "taken: it would be late"
        )
        return Refused(UNAVAILABLE, reason, self._admission.retry_after_s(places))

    def _part_of_places(self, route: Route, urgency: int) -> float:
        """Return the part of the places that a request may find taken."""
        part = self._reserve.part(urgency)
        if self._pauses is None or not route.longest_pause_s:
            return part
        return part * self._pauses.part(route.longest_pause_s, time.monotonic())

    def _places(self) -> Places:
        """Return the places of the service."""
        return self._fleet.slot_usage(self._service, time.monotonic())

    def _load(self) -> float:
        """Return the part of the service's places that is taken."""
        return self._places().load
