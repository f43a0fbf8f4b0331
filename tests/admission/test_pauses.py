"""Load pattern: a group in lock-step whose passes turn long each time that demand shifts.

A pass takes a fixed time and one that grows with the streams and with the skew of the map. After a
shift the skew is high until the map follows. A stream of which one pause is too long is late.
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

PLACES, EVENTS = 387, 17
FIXED_S, OWN_S, WRITER_S = 0.047, 0.020, 0.0319
LONGEST_S, OBJECTIVE_S = 0.15, 0.5
SHIFT_S, MAP_S, SKEWED, EVEN = 3.1, 0.8, 2.7, 1.35
NEWS_S = 0.2
WORTH = (2.9, 1.5, 0.76)
MIX = (0.45, 0.35, 0.2)
LATE = 0.3


@dataclass
class Stream:
    priority: int
    arrived: float
    events: int = 0
    late: bool = False


@dataclass
class Day:
    owed: float = 0.0
    earned: float = 0.0
    refused: list[int] = field(default_factory=lambda: [0, 0, 0])
    asked: list[int] = field(default_factory=lambda: [0, 0, 0])

    @property
    def worth(self) -> float:
        return self.earned / self.owed


def pass_s(running: int, now: float, skewed: float) -> float:
    """Return how long a pass takes."""
    skew = skewed if now % SHIFT_S < MAP_S else EVEN
    return FIXED_S + OWN_S * running / PLACES + WRITER_S * skew * running / PLACES


def play(rate: float, limit: PauseLimit | None, skewed: float = SKEWED, until_s: float = 60) -> Day:
    """Play arrivals of some requests a second; late ones and those that come back earn less."""
    random, day = Random(3), Day()
    reserve = UrgentReserve(ReserveSettings())
    admission = SlotAdmission(SlotAdmissionSettings())
    running: list[Stream] = []
    waiting: list[Stream] = []
    back: list[tuple[float, int]] = []
    known = [(0.0, 0)]
    now, next_arrival, usual_s = 0.0, 0.0, 1.8
    while now < until_s:
        lasts = pass_s(len(running), now, skewed)
        now += lasts
        for stream in running:
            stream.events += 1
            stream.late |= stream.events > 1 and lasts > LONGEST_S
            if limit is not None and stream.events > 1:
                load = len(running) / PLACES
                limit.observe(lasts, LONGEST_S, lambda load=load: load, now)
        for stream in (item for item in running if item.events == EVENTS):
            day.earned += WORTH[stream.priority] * (LATE if stream.late else 1.0)
        running = [item for item in running if item.events < EVENTS]
        due: list[tuple[int, bool]] = []
        while next_arrival < now:
            next_arrival += random.expovariate(rate)
            due.append((random.choices(range(3), MIX)[0], True))
        due += [(priority, False) for at, priority in back if at <= now]
        back = [item for item in back if item[0] > now]
        taken = next(count for at, count in reversed(known) if at <= now - NEWS_S or at == 0.0)
        for priority, first in due:
            if first:
                day.owed += WORTH[priority]
                day.asked[priority] += 1
            places = SlotUsage(PLACES, max(taken, len(running) + len(waiting) - 20), usual_s)
            reserve.record(priority, now)
            part = (
                1.0
                if limit is None
                else limit.slot_fraction(LONGEST_S, now) * reserve.slot_fraction(priority)
            )
            if admission.admits(places, priority, OBJECTIVE_S, part):
                waiting.append(Stream(priority, now, late=not first))
            elif first:
                day.refused[priority] += 1
                back.append((now + admission.retry_after_s(places), priority))
        waiting.sort(key=lambda item: (item.priority, item.arrived))
        while waiting and len(running) < PLACES:
            stream = waiting.pop(0)
            stream.late |= now + lasts - stream.arrived > OBJECTIVE_S
            running.append(stream)
        known.append((now, len(running) + len(waiting)))
    return day


@pytest.mark.parametrize("rate", [190.0, 210.0, 240.0])
def test_streams_stay_in_time_through_shifts_of_demand_in_a_full_group(rate):
    before = play(rate, None)
    after = play(rate, PauseLimit(PauseSettings(), FIXED_S))
    assert after.worth > before.worth + 0.1, (before, after)
    assert after.refused[0] / after.asked[0] <= after.refused[2] / after.asked[2]


@pytest.mark.parametrize("rate", [60.0, 120.0])
def test_nobody_is_refused_while_passes_are_short(rate):
    after = play(rate, PauseLimit(PauseSettings(), FIXED_S), skewed=1.5)
    assert sum(after.refused) == 0


def test_no_priority_starves():
    day = play(260.0, PauseLimit(PauseSettings(), FIXED_S))
    served = [1 - refused / asked for refused, asked in zip(day.refused, day.asked, strict=True)]
    assert min(served) > 0.25 * sum(served) / len(served), day


def test_pauses_of_an_outage_bound_nothing():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    for turn in range(50):
        limit.observe(1.5, LONGEST_S, lambda: 1.0, 0.1 * turn)
    assert limit.slot_fraction(LONGEST_S, 5.0) == 1.0


def test_a_bound_ends_when_its_cause_is_long_past():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    for turn in range(50):
        limit.observe(0.17, LONGEST_S, lambda: 1.0, 0.1 * turn)
    assert limit.slot_fraction(LONGEST_S, 5.0) < 0.85
    assert limit.slot_fraction(LONGEST_S, 13.0) == 1.0


def test_places_are_never_bound_below_the_least_part():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    for turn in range(50):
        limit.observe(0.29, LONGEST_S, lambda: 0.5, 0.1 * turn)
    assert limit.slot_fraction(LONGEST_S, 5.0) == PauseSettings().min_fraction


def test_a_bound_is_told_when_it_comes_and_when_it_goes():
    limit = PauseLimit(PauseSettings(), FIXED_S)
    told = [limit.observe(0.17, LONGEST_S, lambda: 1.0, 0.1 * turn) for turn in range(50)]
    told += [limit.observe(0.09, LONGEST_S, lambda: 1.0, 20 + 0.1 * turn) for turn in range(50)]
    (bound, free) = [part for part in told if part is not None]
    assert bound < 0.85
    assert free == 1.0
