"""Load patterns of admission: a full service, an outage, and retries of refused requests."""

import time
from functools import partial
from random import Random
from typing import Any

import curio
import pytest

from bluebellrun.admission import (
    GateSettings,
    GroupGates,
    RecoverySettings,
    SlotAdmission,
    SlotAdmissionSettings,
)
from bluebellrun.core import Address
from bluebellrun.deployment import Repeat, Route, Share
from bluebellrun.gateway import Fleet, Refused, Upstream, UpstreamDirectory
from bluebellrun.gateway._admission_control import MAX_RETRY_SPREAD, AdmissionControl
from bluebellrun.gateway._admission_terms import RETRY_ESCALATION_S, AdmissionTerms
from bluebellrun.gateway._load_shedding import MIN_OBSERVED_STREAMS, LoadShedding
from tests.gateway.shedding_world import ENGINE

SLOTS = 4
TYPICAL_S = 1.0
WAIT_S = 0.6
ROUTE = Route("r", "h", "/", Repeat.IDEMPOTENT, (Share("s", 1),), 8.0, 0.4)


class Service:
    """One upstream with a settable number of occupied slots, and its admission control."""

    def __init__(self, taken: int = 0, sheds: bool = False) -> None:
        directory = UpstreamDirectory()
        self.upstream = Upstream("u", "s", Address("127.0.0.1", 1), "a", SLOTS)
        directory.put(self.upstream)
        self.fleet = Fleet(directory, "a", Random(1))
        self.gate = GroupGates(GateSettings())
        self.shedding = LoadShedding("s", self.fleet, ENGINE, lambda: 1) if sheds else None
        self.admission_control = AdmissionControl(
            "s",
            self.fleet,
            self.gate,
            SlotAdmission(SlotAdmissionSettings()),
            None,
            lambda: 1,
            Random(1),
            self.shedding,
        )
        self.fleet.stats("u").typical_s = TYPICAL_S
        self.set_taken(taken)

    def set_taken(self, taken: int) -> None:
        self.fleet.stats("u").running = taken

    def out_of_order(self) -> None:
        for _ in range(GateSettings().refusals):
            self.gate.record_refusal(time.monotonic())

    async def request(
        self, is_retry: bool, urgency: int = 0, wait_s: float = WAIT_S
    ) -> tuple[Refused | None, float]:
        """Return the refusal, if any, and how long the request waited for the decision."""
        started = time.monotonic()
        terms = AdmissionTerms(
            "r1", ROUTE, urgency, started + wait_s, is_retry, started, started + ROUTE.timeout_s
        )
        refused = await self.admission_control.admit(terms)
        return refused, time.monotonic() - started


def test_a_new_caller_is_refused_at_once_by_a_full_service():
    async def main() -> None:
        refused, took_s = await Service(taken=40).request(is_retry=False)
        assert refused is not None and refused.retry_after_s
        assert took_s < 0.05

    curio.run(main)


@pytest.mark.parametrize(("taken", "is_retry"), [(40, True), (0, True), (0, False)])
def test_retries_wait_for_a_slot_and_all_requests_for_the_end_of_an_outage(taken, is_retry):
    async def main() -> None:
        service = Service(taken)
        if not taken:
            service.out_of_order()
            service.gate.admits(time.monotonic())
        waiting = await curio.spawn(service.request, is_retry)
        await curio.sleep(0.1)
        service.set_taken(0)
        service.gate.record_accepted(time.monotonic())
        refused, took_s = await waiting.join()
        assert refused is None
        assert 0.1 <= took_s < WAIT_S

    curio.run(main)


def test_a_retry_is_refused_when_its_caller_would_give_up():
    async def main() -> None:
        refused, took_s = await Service(taken=40).request(is_retry=True)
        assert refused is not None
        assert took_s < WAIT_S + 0.1

    curio.run(main)


def test_a_retry_that_cannot_be_served_in_time_behind_others_is_refused_at_once():
    async def main() -> None:
        service = Service(taken=40)
        ahead = [await curio.spawn(service.request, True, 0) for _ in range(SLOTS)]
        await curio.sleep(0)
        refused, took_s = await service.request(is_retry=True, urgency=1)
        assert refused is not None
        assert took_s < 0.05
        for task in ahead:
            await task.cancel()

    curio.run(main)


def test_a_retry_ranks_behind_new_requests_until_its_deadline_is_near():
    terms = AdmissionTerms("r1", ROUTE, 1, 10.0, is_retry=True)
    assert terms.urgency_at(0.0) > 1 > terms.urgency_at(9.9)
    assert AdmissionTerms("r1", ROUTE, 1, 10.0).urgency_at(9.9) == 1


def test_queued_requests_are_sent_in_the_order_of_their_urgency():
    async def main() -> None:
        service, order = Service(taken=40), []

        async def request(urgency: int) -> None:
            await service.request(is_retry=True, urgency=urgency)
            order.append(urgency)
            service.set_taken(40)
            await curio.sleep(0.05)
            service.set_taken(0)

        tasks: list[Any] = [await curio.spawn(request, urgency) for urgency in (1, 0)]
        await curio.sleep(0.1)
        service.set_taken(0)
        for task in tasks:
            await task.join()
        assert order == [0, 1]

    curio.run(main)


def test_when_all_upstreams_back_off_the_refusal_says_when_the_first_accepts_again():
    service = Service()
    service.fleet.record_backoff(service.upstream, 10.0, time.monotonic())
    retry_after = [
        service.admission_control.refusal("none").retry_after_s or 0.0 for _ in range(20)
    ]
    assert all(9.9 < seconds <= 10.0 * MAX_RETRY_SPREAD for seconds in retry_after)
    assert max(retry_after) - min(retry_after) > 2.0


# Guards: after an outage delayed requests filled all slots, and new callers were refused.
def test_after_an_outage_retries_leave_the_slots_that_new_requests_need():
    async def main() -> None:
        service = Service()
        needed_slots = SLOTS - 0.5
        for _ in range(round(needed_slots / TYPICAL_S * RecoverySettings().rate_window_s)):
            assert (await service.request(is_retry=False))[0] is None
        service.out_of_order()
        service.gate.record_accepted(time.monotonic())
        wait_s = RETRY_ESCALATION_S + 0.5
        assert (await service.request(is_retry=True, wait_s=wait_s))[0] is None
        delayed = await curio.spawn(partial(service.request, is_retry=True, wait_s=wait_s))
        await curio.sleep(0.1)
        refused, waited_s = await service.request(is_retry=False)
        assert refused is None and waited_s < 0.05
        refused, waited_s = await delayed.join()
        # Its caller would be gone before a slot is left over: it is sent all the same.
        assert refused is None and waited_s >= wait_s - RETRY_ESCALATION_S

    curio.run(main)


# Guards: callers who were all told the same time came back together, and most were refused again.
def test_in_an_outage_callers_are_told_to_come_back_one_after_the_other():
    service = Service()
    service.out_of_order()
    times = [service.admission_control.refusal("none").retry_after_s or 0.0 for _ in range(6)]
    assert times == sorted(times)
    assert times[-1] - times[0] > TYPICAL_S / SLOTS * 4
    assert times[-1] - times[0] <= RecoverySettings().max_spread_s + 0.1
    final = service.admission_control.refusal("none", is_retry=True).retry_after_s or 0.0
    assert final <= times[0]


# Guards: with load shedding on, a refusal or the end of an outage did not reach the caller.
def test_with_load_shedding_new_callers_are_refused_at_once_and_outages_are_waited_for():
    async def main() -> None:
        service = Service(taken=40, sheds=True)
        for _ in range(MIN_OBSERVED_STREAMS):
            assert (await service.request(is_retry=False))[0] is None
        refused, took_s = await service.request(is_retry=False)
        assert refused is not None and refused.retry_after_s
        assert "40 requests for" in refused.reason
        assert took_s < 0.05
        assert service.shedding is not None and service.shedding.shedder.waiting == 0
        service.set_taken(0)
        service.out_of_order()
        service.gate.admits(time.monotonic())
        waiting = await curio.spawn(service.request, False)
        await curio.sleep(0.1)
        service.gate.record_accepted(time.monotonic())
        refused, took_s = await waiting.join()
        assert refused is None
        assert 0.1 <= took_s < 0.3
        assert service.shedding.shedder.late == 1
        service.admission_control.finish(AdmissionTerms("r1", ROUTE, 0, 0.0))
        assert service.shedding.shedder.late == 0

    curio.run(main)
