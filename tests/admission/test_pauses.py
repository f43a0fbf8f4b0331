"""Load pattern: a lockstep group whose passes get long whenever demand shifts.

A pass takes a fixed time plus one that grows with the streams and the skew of the expert map. After
a shift the skew is high until the map is updated. A stream with one overlong pause is late.
"""

from dataclasses import dataclass, field
from random import Random

import pytest

from bluebellrun.admission import (
    PauseLimit,
    PauseSettings,
    ReserveSettings,
    SlotAdmission,
    SlotAdmissionSettings,
    SlotUsage,
    UrgentReserve,
)

SLOTS, EVENTS = 387, 17
FIXED_S, OWN_S, WRITER_S = 0.047, 0.020, 0.0319
MAX_PAUSE_S, OBJECTIVE_S = 0.15, 0.5
SHIFT_S, MAP_S, SKEWED, EVEN = 3.1, 0.8, 2.7, 1.35
REPORT_AGE_S = 0.2
VALUE = (2.9, 1.5, 0.76)
MIX = (0.45, 0.35, 0.2)
LATE_VALUE = 0.3


@dataclass
class Stream:
    priority: int
    arrived: float
    events: int = 0
    late: bool = False


@dataclass
class Result:
    owed: float = 0.0
    earned: float = 0.0
    refused: list[int] = field(default_factory=lambda: [0, 0, 0])
    asked: list[int] = field(default_factory=lambda: [0, 0, 0])

    @property
    def value(self) -> float:
        return self.earned / self.owed


def pass_s(running: int, now: float, skewed: float) -> float:
    """Return how long a pass takes."""
    skew = skewed if now % SHIFT_S < MAP_S else EVEN
    return FIXED_S + OWN_S * running / SLOTS + WRITER_S * skew * running / SLOTS


def simulate(
    rate: float, limit: PauseLimit | None, skewed: float = SKEWED, end_s: float = 60
) -> Result:
    """Simulate arrivals at a rate per second; late and retried requests earn less."""
    random, result = Random(3), Result()
    reserve = UrgentReserve(ReserveSettings())
    admission = SlotAdmission(SlotAdmissionSettings())
    running: list[Stream] = []
    waiting: list[Stream] = []
    retries: list[tuple[float, int]] = []
    known = [(0.0, 0)]
    now, next_arrival, typical_s = 0.0, 0.0, 1.8
    while now < end_s:
        duration_s = pass_s(len(running), now, skewed)
        now += duration_s
        for stream in running:
            stream.events += 1
            stream.late |= stream.events > 1 and duration_s > MAX_PAUSE_S
            if limit is not None and stream.events > 1:
                load = len(running) / SLOTS
                limit.observe(duration_s, MAX_PAUSE_S, lambda load=load: load, now)
        for stream in (item for item in running if item.events == EVENTS):
            result.earned += VALUE[stream.priority] * (LATE_VALUE if stream.late else 1.0)
        running = [item for item in running if item.events < EVENTS]
        due: list[tuple[int, bool]] = []
        while next_arrival < now:
            next_arrival += random.expovariate(rate)
            due.append((random.choices(range(3), MIX)[0], True))
        due += [(priority, False) for at, priority in retries if at <= now]
        retries = [item for item in retries if item[0] > now]
        taken = next(
            count for at, count in reversed(known) if at <= now - REPORT_AGE_S or at == 0.0
        )
        for priority, first in due:
            if first:
                result.owed += VALUE[priority]
                result.asked[priority] += 1
            slots = SlotUsage(SLOTS, max(taken, len(running) + len(waiting) - 20), typical_s)
            reserve.record(priority, now)
            fraction = (
                1.0
                if limit is None
                else limit.slot_fraction(MAX_PAUSE_S, now) * reserve.slot_fraction(priority)
            )
            if admission.admits(slots, priority, OBJECTIVE_S, fraction):
                waiting.append(Stream(priority, now, late=not first))
            elif first:
                result.refused[priority] += 1
                retries.append((now + admission.retry_after_s(slots), priority))
        waiting.sort(key=lambda item: (item.priority, item.arrived))
        while waiting and len(running) < SLOTS:
            stream = waiting.pop(0)
            stream.late |= now + duration_s - stream.arrived > OBJECTIVE_S
            running.append(stream)
        known.append((now, len(running) + len(waiting)))
    return result


@pytest.mark.parametrize("rate", [190.0, 210.0, 240.0])
def test_streams_stay_in_time_through_shifts_of_demand_in_a_full_group(rate):
    before = simulate(rate, None)
    after = simulate(rate, PauseLimit(PauseSettings(), FIXED_S))
    assert after.value > before.value + 0.1, (before, after)
    assert after.refused[0] / after.asked[0] <= after.refused[2] / after.asked[2]


@pytest.mark.parametrize("rate", [60.0, 120.0])
def test_no_request_is_refused_while_passes_are_short(rate):
    after = simulate(rate, PauseLimit(PauseSettings(), FIXED_S), skewed=1.5)
    assert sum(after.refused) == 0


def test_no_priority_starves():
    result = simulate(260.0, PauseLimit(PauseSettings(), FIXED_S))
    served = [
        1 - refused / asked for refused, asked in zip(result.refused, result.asked, strict=True)
    ]
    assert min(served) > 0.25 * sum(served) / len(served), result


def test_pauses_of_an_outage_set_no_bound():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    for turn in range(50):
        limit.observe(1.5, MAX_PAUSE_S, lambda: 1.0, 0.1 * turn)
    assert limit.slot_fraction(MAX_PAUSE_S, 5.0) == 1.0


def test_a_bound_ends_after_the_retention_time():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    for turn in range(50):
        limit.observe(0.17, MAX_PAUSE_S, lambda: 1.0, 0.1 * turn)
    assert limit.slot_fraction(MAX_PAUSE_S, 5.0) < 0.85
    assert limit.slot_fraction(MAX_PAUSE_S, 13.0) == 1.0


def test_slots_are_never_bound_below_the_min_fraction():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    for turn in range(50):
        limit.observe(0.29, MAX_PAUSE_S, lambda: 0.5, 0.1 * turn)
    assert limit.slot_fraction(MAX_PAUSE_S, 5.0) == PauseSettings().min_fraction


def test_the_start_and_end_of_a_bound_are_reported():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    reported = [limit.observe(0.17, MAX_PAUSE_S, lambda: 1.0, 0.1 * turn) for turn in range(50)]
    reported += [
        limit.observe(0.09, MAX_PAUSE_S, lambda: 1.0, 20 + 0.1 * turn) for turn in range(50)
    ]
    (bound, free) = [fraction for fraction in reported if fraction is not None]
    assert bound < 0.85
    assert free == 1.0
