"""Guards: a limit that an upstream names is for all entries together (LIMIT)."""

from collections import Counter
from collections.abc import Awaitable, Callable

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellrun.gateway import _limit_permits as module
from bluebellrun.gateway._limit_permits import MIN_RATE_PER_S
from bluebellrun.gateway._peers import EntryStatus, LimitReport, decode_status, encode_status
from bluebellrun.gateway._permit_messages import decode_permit_message
from tests.gateway.entries_with_permits import Entries, bound


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let lost datagrams time out at once: the clock of these tests does not run by itself."""
    monkeypatch.setattr(module, "REPLY_TIMEOUT_S", 0.0)


def play(entries: Entries, check: Callable[[Entries], Awaitable[None]]) -> None:
    async def main() -> None:
        await check(entries)

    curio.run(main)


@pytest.mark.parametrize(("count", "per_s"), [(1, 1.0), (5, 1.0), (14, 0.4), (36, 3.0)])
def test_all_entries_together_keep_a_limit_and_use_it(count, per_s):
    async def check(entries: Entries) -> None:
        await entries.play(3.0, 4.0)
        began = entries.clock.time
        await entries.play(20.0, 8.0)
        for upstream in entries.upstreams:
            assert upstream.most_from_told() <= bound(per_s)
            assert upstream.count(began) >= 0.7 * per_s * 20

    play(Entries(count, 3, per_s), check)


def test_an_entry_that_learns_of_a_limit_late_takes_no_more_than_is_left():
    async def check(entries: Entries) -> None:
        entries.cut = {"e4"}
        await entries.play(8.0, 5.0)
        entries.cut = set()
        await entries.play(10.0, 5.0)
        assert all(u.most_from_told(108.5) <= bound(1.0) for u in entries.upstreams)

    play(Entries(5, 2, 1.0), check)


def test_an_entry_that_is_told_only_by_others_keeps_the_limit():
    async def check(entries: Entries) -> None:
        assert await entries.send_request("e0")
        await entries.play(0.2, 0.0)
        for _ in range(50):
            await entries.send_request("e1")
        assert entries.upstreams[0].count(100.2) <= 2

    play(Entries(3, 1, 1.0), check)


def test_entries_that_restart_in_turn_keep_the_limit():
    async def check(entries: Entries) -> None:
        await entries.play(3.0, 5.0)
        for name in entries.names:
            entries.dead.add(name)
            await entries.play(0.8, 5.0)
            entries.restart(name)
            await entries.play(1.5, 5.0)
        assert all(u.most_from_told() <= bound(1.0) for u in entries.upstreams)
        began = entries.clock.time
        await entries.play(10.0, 5.0)
        assert all(u.count(began) >= 0.7 * 10 for u in entries.upstreams)

    play(Entries(5, 2, 1.0), check)


@pytest.mark.parametrize("cut", [{"e0"}, {"e0", "e1"}, {"e0", "e1", "e2", "e3"}])
def test_entries_that_are_cut_off_use_only_their_part_of_the_rate(cut):
    async def check(entries: Entries) -> None:
        await entries.play(3.0, 5.0)
        entries.cut = cut
        await entries.play(15.0, 5.0)
        assert all(u.most_from_told() <= bound(2.0) for u in entries.upstreams)
        entries.cut = set()
        await entries.play(10.0, 5.0)
        assert all(u.most_from_told() <= bound(2.0) for u in entries.upstreams)

    play(Entries(5, 2, 2.0), check)


def test_an_entry_begins_without_permits():
    async def check(entries: Entries) -> None:
        assert await entries.send_request("e0")
        assert not await entries.send_request("e0")
        await entries.play(1.1, 0.0)
        assert await entries.send_request("e0")
        assert not await entries.send_request("e0")

    play(Entries(1, 1, 1.0), check)


def test_a_dead_owner_of_permits_is_replaced():
    async def check(entries: Entries) -> None:
        await entries.play(3.0, 5.0)
        entries.dead = {"e0", "e1"}
        await entries.play(2.0, 5.0)
        began = entries.clock.time
        await entries.play(10.0, 5.0)
        assert all(u.count(began) >= 0.5 * 10 * 2.0 for u in entries.upstreams)
        assert all(u.most_from_told() <= bound(2.0) for u in entries.upstreams)

    play(Entries(5, 4, 2.0), check)


def test_a_limit_that_changes_is_kept_and_one_that_ends_is_lifted():
    async def check(entries: Entries) -> None:
        (upstream,) = entries.upstreams
        await entries.play(5.0, 10.0)
        upstream.per_s = 0.5
        await entries.play(2.5, 10.0)
        lowered = entries.clock.time
        await entries.play(10.0, 10.0)
        assert upstream.most_from_told(lowered) <= bound(0.5)
        upstream.per_s = 6.0
        await entries.play(3.0, 10.0)
        raised = entries.clock.time
        await entries.play(5.0, 10.0)
        assert upstream.count(raised) >= 0.7 * 6 * 5
        upstream.per_s = None
        await entries.play(1.0, 10.0)
        ended, entries.refused = entries.clock.time, 0
        await entries.play(5.0, 10.0)
        assert entries.refused == 0
        assert upstream.count(ended) >= 0.8 * 5 * 10 * 5

    play(Entries(5, 1, 4.0), check)


def test_a_limit_of_zero_leaves_a_request_now_and_then_that_shows_its_end():
    async def check(entries: Entries) -> None:
        (upstream,) = entries.upstreams
        await entries.play(20.0, 10.0)
        assert upstream.most_from_told() <= bound(0.0)
        assert upstream.count(100.5) >= 2
        upstream.per_s = None
        await entries.play(1.5 / MIN_RATE_PER_S, 10.0)
        assert all(
            permits.limits.limit(upstream.record.incarnation) is None
            for permits in entries.permits.values()
        )

    play(Entries(5, 1, 0.0), check)


def test_entries_of_builds_without_permits_do_not_stop_the_others():
    async def check(entries: Entries) -> None:
        entries.older = {"e0", "e1"}
        await entries.play(3.0, 1.0)
        began = entries.clock.time
        await entries.play(20.0, 1.0)
        own = [
            at
            for upstream in entries.upstreams
            for at, entry in upstream.arrivals
            if entry not in entries.older and at > began
        ]
        assert 0.7 * 20 * 2 * 0.6 <= len(own) <= 1.5 * 20 * 2 * 0.6 + 10

    play(Entries(5, 2, 1.0), check)


def test_a_status_stays_small_and_names_all_limits_in_turn():
    async def check(entries: Entries) -> None:
        for name in ("e0", "e1"):
            await entries.send_request(name)
        now, permits = entries.clock.time, entries.permits["e0"]
        for upstream in entries.upstreams:
            permits.limits.record_named(upstream.record.incarnation, 1.0, now)
        named = [permits.reports(now) for _ in range(20)]
        assert {len(reports) for reports in named} == {module.MAX_REPORTS_PER_MESSAGE}
        counts = Counter(report.instance for reports in named for report in reports)
        assert len(counts) == 200
        assert set(counts.values()) <= {3, 4}

    play(Entries(2, 200, 1.0), check)


# Guards: builds before the limits read the status of this one, and this one theirs.
def test_older_builds_and_this_one_read_each_other():
    status = EntryStatus("e", "i", 1, "10.0.0.1:1", 0.0, {}, limits=[LimitReport("u", 7, 1.5, 0.2)])
    assert decode_status(encode_status(status)) == status
    older = EntryStatus("e", "i", 1, "10.0.0.1:1", 0.0, {"u": 1})
    assert older.limits is None


def test_messages_about_permits_are_no_status():
    request = module.PermitRequest(1, "e", LimitReport("u", 7, 1.5, 0.2))
    reply = module.PermitReply(1, True, 0.0)
    for message in (request, reply):
        data = module.msgspec.msgpack.encode(message)
        assert decode_status(data) is None
        assert decode_permit_message(data) == message
    assert decode_permit_message(b"\xc1 noise") is None


@pytest.mark.parametrize("per_s", [float("nan"), float("inf"), -1.0])
def test_a_report_of_an_impossible_limit_is_ignored(per_s):
    async def check(entries: Entries) -> None:
        permits = entries.permits["e0"]
        permits.apply_reports([LimitReport("u0", 7, per_s, 0.0)], "e1", entries.clock.time)
        assert permits.limits.limited() == []

    play(Entries(2, 1, None), check)


@settings(max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    count=st.integers(2, 12),
    per_s=st.floats(0.0, 8.0),
    lost=st.floats(0.0, 0.3),
)
def test_the_limit_holds_whatever_happens(seed, count, per_s, lost):
    async def check(entries: Entries) -> None:
        entries.lost_datagrams = lost
        await entries.play(1.0, 3.0)
        for _ in range(6):
            name = entries.random.choice(entries.names)
            match entries.random.randrange(4):
                case 0:
                    entries.restart(name)
                case 1:
                    entries.dead = {name}
                case 2:
                    entries.cut = set(entries.random.sample(entries.names, count // 2))
                case _:
                    entries.cut, entries.dead = set(), set()
            await entries.play(entries.random.uniform(0.5, 3.0), 6.0)
        assert all(u.most_from_told() <= bound(per_s) for u in entries.upstreams)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(module, "REPLY_TIMEOUT_S", 0.0)
        play(Entries(count, 2, per_s, seed), check)
