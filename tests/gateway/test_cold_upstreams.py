"""Guards: entries, also divided ones, together keep the bound on cold upstreams (FAILBACK)."""

from dataclasses import replace
from random import Random

import curio
import msgspec
import pytest

from bluebellrun.core import Address
from bluebellrun.deployment import ServiceTerms
from bluebellrun.gateway import Fleet, Upstream, UpstreamDirectory
from bluebellrun.gateway import _limit_permits as module
from bluebellrun.gateway._cold_permits import REGISTRATION_READ_S
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._limit_permits import PERMIT_VALID_S, LimitPermits
from bluebellrun.gateway._peers import (
    EntryStatus,
    LimitReport,
    PeerTable,
    decode_status,
    encode_status,
)
from bluebellrun.gateway._permit_messages import PermitRequest, decode_permit_message
from bluebellrun.routing import ColdBound
from tests.gateway.entries_with_permits import Entries

COLD_S = 8.0
PER_S = 2.0
BOUND = PER_S * 1.5 + 5.0
UPSTREAM = Upstream("u0", "s", Address("10.0.0.1", 80), "a", 5, False, 7)


def terms(per_s: float = PER_S) -> ServiceTerms:
    return ServiceTerms("s", "", 5, None, (), COLD_S, per_s)


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let lost datagrams time out at once: the clock of these tests does not run by itself."""
    monkeypatch.setattr(module, "REPLY_TIMEOUT_S", 0.0)


class ColdEntries(Entries):
    """Entries in front of upstreams that name no limit; ``side`` divides them."""

    def __init__(self, count: int, upstreams: int, seed: int = 1) -> None:
        self.side: dict[str, int] = {}
        super().__init__(count, upstreams, None, seed)
        for permits in self.permits.values():
            permits.record_registered(0.0)

    def cold_of(self, name: str) -> ColdUpstreams:
        cold = ColdUpstreams(lambda service: terms())
        cold.record_traffic()
        return cold

    def reaches(self, one: str, other: str) -> bool:
        return super().reaches(one, other) and self.side.get(one, 0) == self.side.get(other, 0)

    def start_cold(self, *, told: list[str] | None = None) -> None:
        """Let all upstreams become cold, as the entries learn from their registrations."""
        for name in self.names if told is None else told:
            for upstream in self.upstreams:
                record = replace(upstream.record, cold_left_s=30.0)
                revision = int(self.clock.time * 1000)
                self.permits[name].cold.record_registration(record, revision, self.clock.time)

    def most_in_a_second(self, since: float = 0.0) -> int:
        return max(
            sum(0 <= at - start < 1.0 for at, _ in upstream.arrivals)
            for upstream in self.upstreams
            for start, _ in upstream.arrivals
            if start >= since
        )


def play(entries: ColdEntries, *steps: object) -> None:
    async def main() -> None:
        for step in steps:
            if isinstance(step, tuple):
                await entries.play(*step)
            elif callable(step):
                step()

    curio.run(main)


@pytest.mark.parametrize("count", [1, 5, 12, 24])
def test_a_domain_that_comes_back_cold_at_once_is_kept_to_its_bound_and_used(count):
    entries = ColdEntries(count, 6)
    play(entries, (3.0, 0.0), entries.start_cold, (10.0, 400.0 / count))
    assert entries.most_in_a_second() <= BOUND
    assert all(item.count(103.0) >= 0.7 * PER_S * 10 for item in entries.upstreams)


# Guards: requests in the seconds before an upstream turned cold do not count against it.
def test_an_upstream_that_becomes_cold_amid_work_is_kept_to_its_bound_from_then_on():
    entries = ColdEntries(12, 3)
    play(entries, (3.0, 3.0))
    cold_at = entries.clock.time
    play(entries, entries.start_cold, (5.0, 20.0))
    assert entries.most_in_a_second(cold_at) <= BOUND


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_divided_entries_keep_the_bound_when_the_store_forgets_the_other_side(seed):
    entries = ColdEntries(12, 3, seed)

    def divide() -> None:
        entries.side = {name: number % 3 for number, name in enumerate(entries.names)}

    def forget() -> None:
        # The side with the store counts itself alone once the others' registrations have lapsed.
        for number, name in enumerate(entries.names):
            if number % 3 == 0:
                entries.permits[name].set_registered(4)

    def unite() -> None:
        entries.side = {}

    before = (3.0, 0.0), entries.start_cold, (2.0, 20.0)
    play(entries, *before, divide, (4.0, 20.0), forget, (4.0, 20.0), unite, (4.0, 20.0))
    assert entries.most_in_a_second() <= BOUND
    began = [item.count(105.0) for item in entries.upstreams]
    assert all(count > 0 for count in began)


def test_single_entries_that_hear_nobody_send_nothing_to_cold_upstreams():
    entries = ColdEntries(12, 3)

    def divide() -> None:
        entries.side = {name: number for number, name in enumerate(entries.names)}

    play(entries, (3.0, 0.0), divide, (3.0, 0.0), entries.start_cold, (5.0, 20.0))
    assert all(item.count(0.0) == 0 for item in entries.upstreams)


# Guards: an entry that had just started took itself for the only one, and used the whole rate.
def test_entries_that_start_together_send_nothing_until_they_are_counted():
    entries = ColdEntries(12, 3)

    def restart() -> None:
        for name in entries.names:
            entries.restart(name)
            entries.permits[name].set_registered(1)
            entries.permits[name].record_registered(entries.clock.time)

    def count() -> None:
        for permits in entries.permits.values():
            permits.set_registered(12)

    entries.side = {name: number for number, name in enumerate(entries.names)}
    play(entries, restart, entries.start_cold, (0.9 * REGISTRATION_READ_S, 20.0))
    assert all(item.count(0.0) == 0 for item in entries.upstreams)
    entries.side = {}
    play(entries, count, (5.0, 20.0))
    assert entries.most_in_a_second() <= BOUND
    assert all(item.count(0.0) >= 5 for item in entries.upstreams)


# Guards: after an outage of all hosts every request was refused until the entries were counted.
def test_entries_that_start_together_share_a_bound_that_suffices_for_all():
    bound = ColdBound(32.0, 1.5, 5.0)
    assert bound.startup_share(1) == bound.startup_share(16) is not None
    assert bound.startup_share(17) is None
    rate, burst = bound.startup_share(16) or (0.0, 0.0)
    counted = sum(bound.share(1.0) or ())
    assert 16 * (rate + burst) + counted <= 32.0 * 1.5 + 5.0
    assert ColdBound(PER_S, 1.5, 5.0).startup_share(1) is None


# Guards: an owner that had not heard that an upstream is cold granted every request.
def test_an_owner_that_does_not_know_that_an_upstream_is_cold_is_told_by_the_request():
    entries = ColdEntries(12, 3)
    told = entries.names[:6]
    play(entries, (3.0, 0.0), lambda: entries.start_cold(told=told))

    async def main() -> None:
        for _ in range(100):
            entries.clock.time += 0.01
            for name in told:
                await entries.send_request(name)

    curio.run(main)
    assert entries.most_in_a_second() <= BOUND


def test_lost_datagrams_and_restarts_in_turn_keep_the_bound():
    entries = ColdEntries(5, 2)
    entries.lost_datagrams = 0.2
    play(entries, (3.0, 0.0), entries.start_cold, (2.0, 20.0))
    for name in entries.names:
        entries.dead.add(name)
        play(entries, (0.8, 20.0))
        entries.restart(name)
        entries.start_cold(told=[name])
        entries.permits[name].record_registered(entries.clock.time)
        play(entries, (1.5, 20.0))
    assert entries.most_in_a_second() <= BOUND


# Guards: an owner that lost an upstream and got it back had the burst of the time between.
def test_permits_accrue_anew_when_the_owners_change():
    entries = ColdEntries(1, 1)
    clock, permits, table = entries.clock, entries.permits["e0"], entries.tables["e0"]
    permits.cold.record_answer(UPSTREAM, 9.0, clock.time)
    permits.wait_s(UPSTREAM, clock.time)
    clock.time += 3.0
    assert permits.wait_s(UPSTREAM, clock.time) == 0.0
    table.record(EntryStatus("x", "i", 1, "10.0.0.1:9", 0.0, {}, limits=[]), clock.time)
    table.expire(clock.time + 60.0)
    assert permits.wait_s(UPSTREAM, clock.time) > 0.0


def cold_upstreams(per_s: float = PER_S) -> ColdUpstreams:
    return ColdUpstreams(lambda service: terms(per_s))


def test_upstreams_of_the_first_start_are_warm_and_those_during_traffic_cold():
    cold = cold_upstreams()
    cold.record_registration(UPSTREAM, 1, 100.0, is_first=True)
    later = replace(UPSTREAM, instance="u1")
    cold.record_registration(later, 2, 101.0)
    assert not cold.left_s(UPSTREAM, 101.0)
    assert not cold.left_s(later, 101.0)
    cold.record_traffic()
    restarted = replace(UPSTREAM, started_ms=9)
    cold.record_registration(restarted, 3, 200.0)
    assert cold.left_s(restarted, 200.0) == COLD_S
    # A registration that lapsed and is written again is none of a new incarnation.
    cold.record_registration(UPSTREAM, 4, 300.0)
    assert not cold.left_s(UPSTREAM, 300.0)


def test_a_snapshot_that_repeats_a_registration_does_not_prolong_the_start():
    cold = cold_upstreams()
    upstream = replace(UPSTREAM, cold_left_s=6.0)
    cold.record_registration(upstream, 5, 100.0, is_first=True)
    cold.record_registration(upstream, 5, 104.0)
    assert cold.left_s(upstream, 106.0) == 0.0
    cold.record_registration(upstream, 8, 110.0)
    assert cold.left_s(upstream, 110.0) == 6.0


def test_an_unreachable_upstream_is_cold_from_its_first_answer_on():
    cold = cold_upstreams()
    cold.record_answer(UPSTREAM, None, 99.0)
    assert not cold.left_s(UPSTREAM, 99.0)
    cold.record_unreachable(UPSTREAM, 100.0)
    assert cold.bound(UPSTREAM, 150.0) is not None
    cold.record_answer(UPSTREAM, None, 150.0)
    assert cold.left_s(UPSTREAM, 150.0) == COLD_S
    assert cold.slowness(UPSTREAM, 150.0) == 2.0
    assert cold.slowness(UPSTREAM, 154.0) == 1.5


def test_a_service_without_a_cold_rate_has_no_bound_and_none_without_a_cold_time_nothing():
    unbounded = cold_upstreams(0.0)
    unbounded.record_answer(UPSTREAM, 5.0, 100.0)
    assert unbounded.bound(UPSTREAM, 100.0) is None
    assert unbounded.slowness(UPSTREAM, 100.0) > 1.0
    plain = ColdUpstreams(lambda service: ServiceTerms("s", "", 5))
    plain.record_traffic()
    plain.record_registration(UPSTREAM, 1, 100.0)
    plain.record_answer(UPSTREAM, 5.0, 100.0)
    plain.record_unreachable(UPSTREAM, 100.0)
    plain.record_evacuation_end([UPSTREAM], 100.0)
    assert plain.left_s(UPSTREAM, 100.0) == 0.0
    assert plain.reports(100.0) == []


def test_a_permit_is_used_soon_or_asked_for_again():
    cold = cold_upstreams()
    entries = ColdEntries(1, 1)
    permits = LimitPermits(PeerTable("e"), clock=entries.clock, cold=cold)
    now = entries.clock.time
    assert permits.may_still_send(UPSTREAM, had_permit=False, chosen_at=now - 60.0)
    cold.record_answer(UPSTREAM, 5.0, now)
    assert not permits.may_still_send(UPSTREAM, had_permit=False, chosen_at=now)
    assert permits.may_still_send(UPSTREAM, had_permit=True, chosen_at=now)
    assert not permits.may_still_send(UPSTREAM, True, now - 2 * PERMIT_VALID_S)


def test_a_cold_upstream_gets_fewer_of_the_requests():
    directory, cold = UpstreamDirectory(), cold_upstreams(0.0)
    for name in ("u0", "u1"):
        directory.put(replace(UPSTREAM, instance=name, address=Address("10.0.0.1", ord(name[1]))))
    fleet = Fleet(directory, "b", Random(1), permits=LimitPermits(PeerTable("e"), cold=cold))
    cold.record_answer(UPSTREAM, 5.0, 100.0)
    for name in ("u0", "u1"):
        fleet.stats(name).running = 1
    chosen = [fleet.choose("s", (), 100.0) for _ in range(20)]
    assert {item.instance for item in chosen if item is not None} == {"u1"}


def test_all_that_an_entry_found_itself_is_told_once_a_second():
    cold = cold_upstreams()
    assert cold.reports(100.0) == []
    cold.record_evacuation_end([UPSTREAM], 100.0)
    told = [cold.reports(100.0 + step / 10) for step in range(30)]
    assert sum(map(len, told)) == 3
    other = cold_upstreams()
    other.apply_report(UPSTREAM, told[0][0].left_s, 50.0)
    assert other.left_s(UPSTREAM, 50.0) == COLD_S
    assert other.reports(60.0) == []


def test_older_and_newer_builds_read_each_others_messages():
    class OlderRequest(msgspec.Struct, array_like=True, tag="permit-request"):
        number: int
        entry: str
        limit: LimitReport

    limit = LimitReport("u0", 7, 1.0, 0.5)
    older = msgspec.msgpack.encode(OlderRequest(1, "e", limit))
    assert decode_permit_message(older) == PermitRequest(1, "e", limit, 0.0)
    newer = msgspec.msgpack.encode(PermitRequest(1, "e", limit, 4.0))
    assert msgspec.msgpack.decode(newer, type=OlderRequest).limit == limit
    status = EntryStatus("e", "i", 1, "10.0.0.1:1", 0.0, {}, limits=[], era=1, revision=2)
    fields = msgspec.msgpack.decode(encode_status(status))
    assert decode_status(msgspec.msgpack.encode(fields[:-1])) == status
