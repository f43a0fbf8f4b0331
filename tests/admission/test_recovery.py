"""The load after an outage: requests that it delayed come beside new ones."""

import pytest

from bluebellrun.admission import RecoveryLimit, RecoverySettings

SLOTS = 72
TYPICAL_S = 1.2
NEW_PER_S = 32
OUTAGE_S = 4.0
HISTORY_S = 20
TICK_S = 0.01
# New callers should hardly notice that the service recovers.
MAX_REFUSED_FRACTION = 0.05


class Simulation:
    """One entry that has all slots of a service; late requests are tried before new ones."""

    def __init__(self, limited: bool) -> None:
        self.limit = RecoveryLimit(RecoverySettings())
        self.limited = limited
        self.running: list[tuple[float, str]] = []
        self.delayed = int(OUTAGE_S * NEW_PER_S)
        self.late_sent = 0
        self.new_refused = 0
        self.arrived = 0
        for number in range(-HISTORY_S * NEW_PER_S, self.delayed):
            self.limit.record_new(number / NEW_PER_S)

    def run(self, seconds: float) -> None:
        now = OUTAGE_S
        while now < OUTAGE_S + seconds:
            self._finish(now)
            self._send_late(now)
            while self.arrived < (now - OUTAGE_S) * NEW_PER_S:
                self.arrived += 1
                self._receive_new(now)
            now += TICK_S

    def _finish(self, now: float) -> None:
        for ends_at, request in self.running:
            if ends_at <= now:
                self.limit.finish(request)
        self.running = [item for item in self.running if item[0] > now]

    def _send_late(self, now: float) -> None:
        while self.late_sent < self.delayed and len(self.running) < SLOTS:
            if self.limited and self.limit.late >= self.limit.late_slots(SLOTS, TYPICAL_S, now):
                return
            self.late_sent += 1
            self.limit.admit_late(f"late-{self.late_sent}")
            self.running.append((now + TYPICAL_S, f"late-{self.late_sent}"))

    def _receive_new(self, now: float) -> None:
        self.limit.record_new(now)
        if len(self.running) >= SLOTS:
            self.new_refused += 1
            return
        self.running.append((now + TYPICAL_S, f"new-{self.arrived}"))


# Guards: for 4 s after each outage of a group its slots were full of requests that were late
# already; the new ones were refused, came back, and were late in turn.
def test_new_requests_find_slots_after_an_outage_and_delayed_ones_are_served_beside_them():
    unlimited, limited = Simulation(limited=False), Simulation(limited=True)
    unlimited.run(5.0)
    limited.run(5.0)
    assert unlimited.new_refused > 1.0 * NEW_PER_S
    assert limited.new_refused <= MAX_REFUSED_FRACTION * limited.arrived
    assert limited.late_sent == limited.delayed


@pytest.mark.parametrize("new_per_s", [100, 1_000])
def test_late_requests_are_not_starved_by_a_flood_of_new_ones(new_per_s):
    limit = RecoveryLimit(RecoverySettings())
    for number in range(4 * new_per_s):
        limit.record_new(number / new_per_s)
    fraction = RecoverySettings().min_late_fraction
    assert limit.late_slots(SLOTS, TYPICAL_S, 4.0) == fraction * SLOTS
    assert limit.late_slots(2.0, TYPICAL_S, 4.0) == 1.0


def test_late_requests_may_take_all_slots_where_no_new_ones_come():
    limit = RecoveryLimit(RecoverySettings())
    limit.record_new(0.0)
    assert limit.late_slots(SLOTS, TYPICAL_S, 60.0) == pytest.approx(SLOTS)


def test_a_service_recovers_for_some_seconds_after_an_outage():
    limit, seconds = RecoveryLimit(RecoverySettings()), RecoverySettings().duration_s
    assert not limit.recovers(None, 5.0)
    assert limit.recovers(5.0, 5.0 + seconds / 2)
    assert not limit.recovers(5.0, 5.0 + 2 * seconds)


def test_the_record_of_late_requests_does_not_grow():
    limit = RecoveryLimit(RecoverySettings())
    for number in range(1_000):
        limit.admit_late(str(number))
        limit.finish(str(number))
        limit.finish("never admitted")
    assert limit.late == 0
