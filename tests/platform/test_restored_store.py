"""A store that comes back from a copy some seconds old: revisions are given out again."""

from copy import deepcopy
from dataclasses import replace
from random import Random
from typing import Any

import curio
import msgspec
import pytest

from bluebellrun.core import Address, ManualClock, MonotonicClock
from bluebellrun.expert_maps._map_versions import VERSIONS_PER_HOLDER
from bluebellrun.gateway import RecordWritten, StoreView
from bluebellrun.gateway._catch_up import _Key, _StoreCopy
from bluebellrun.leases import RoleHolder
from bluebellrun.platform import PlatformStore
from bluebellrun.platform._configuration import read_configuration
from bluebellrun.quarantine import CrashReport
from bluebellrun.store import (
    KeyValue,
    PrefixFollower,
    Put,
    Snapshot,
    StorePosition,
    StoreTimeouts,
    StoreUnavailableError,
    WatchEvent,
)
from standins.platform import DirectStore
from standins.users_platform import FakeStore
from tests.gateway.test_gossip import gossip
from tests.platform.test_view import Watched, configuration, registration, run_check
from tests.platform.upstreams import CONFIGURATION, GatewayBench


def view_of(watched: Watched) -> StoreView:
    assert watched.view is not None
    return watched.view


# Guards: the watch went on from the known revision and never saw the new configuration (CONFIG).
def test_changes_after_a_restore_are_applied_though_revisions_are_given_out_again():
    async def check(watched: Watched) -> None:
        watched.fake.put("op/config", configuration(3))
        watched.fake.put("servers/stays", registration())
        copy = watched.fake.copy()
        for number in range(8):
            watched.fake.put("servers/lost", registration(seq=number))
        await watched.start()
        await watched.until(lambda: watched.usable() == ["lost", "stays"])
        watched.fake.restore(copy)
        for number in range(6):
            watched.fake.put(f"servers/new{number}", registration(addr=f"10.0.1.{number}:80"))
        watched.fake.put("op/config", configuration(11))
        for number in range(6):
            watched.fake.put("servers/stays", registration(seq=number))
        await watched.until(lambda: 11 in watched.versions)
        new = [f"new{number}" for number in range(6)]
        await watched.until(lambda: watched.usable() == [*new, "stays"])

    run_check(check)


# Guards: a quiet watch was compared with the store by revisions of two histories.
def test_the_check_of_a_quiet_watch_sees_a_restore():
    class QuietWatch:
        async def next(self) -> list[WatchEvent]:
            await curio.sleep(30)
            return []

        async def close(self) -> None:
            return

    class QuietStore(DirectStore):
        async def watch(self, prefix: str, from_revision: int) -> Any:
            return QuietWatch()

    async def main() -> None:
        store = QuietStore(MonotonicClock())
        older = deepcopy(store.memory)
        await store.transact([], [Put("/c/x", b"1"), Put("/c/y", b"1")])
        read: list[Snapshot] = []

        async def on_snapshot(snapshot: Snapshot) -> None:
            read.append(snapshot)

        async def on_events(events: list[WatchEvent]) -> None:
            return

        follower = PrefixFollower(
            store, "/c/", on_snapshot, on_events, MonotonicClock(), Random(1), check_interval_s=0.1
        )
        await curio.spawn(follower.run, daemon=True)
        await curio.sleep(0.05)
        store.restore(older)
        await store.transact([], [Put("/c/x", b"2")])
        async with curio.timeout_after(3):
            while len(read) < 2:
                await curio.sleep(0.01)
        assert [item.value for item in read[-1].items] == [b"2"]
        assert follower.position == StorePosition(2, read[-1].revision)

    curio.run(main)


# Guards: a peer's copy from before the restore counted as newer than the truth.
def test_a_copy_of_before_the_restore_is_older_than_any_of_after():
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/stays", registration())
        copy = watched.fake.copy()
        for number in range(20):
            watched.fake.put("servers/lost", registration(seq=number))
        await watched.start()
        await watched.until(lambda: watched.usable() == ["lost", "stays"])
        view = view_of(watched)
        before = Snapshot(tuple(view.shared), view.position.revision, view.position.era)
        of_older_build = Snapshot(tuple(view.shared), view.position.revision)
        watched.fake.restore(copy)
        watched.fake.put("servers/new", registration(addr="10.0.0.9:80"))
        await watched.until(lambda: view.position.era == 2)
        await watched.until(lambda: watched.usable() == ["new", "stays"])
        assert not view.apply_peer_snapshot(before)
        assert not view.apply_peer_snapshot(of_older_build)
        assert watched.usable() == ["new", "stays"]

    run_check(check)


def test_an_entry_that_is_cut_off_learns_of_the_restore_by_a_copy():
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/stays", registration())
        for number in range(20):
            watched.fake.put("servers/stays", registration(seq=number))
        await watched.start()
        await watched.until(lambda: watched.usable() == ["stays"])
        view = view_of(watched)
        item = KeyValue("op/config", configuration(7), 3)
        assert view.apply_peer_snapshot(Snapshot((*view.shared, item), 3, view.position.era + 1))
        assert watched.versions[-1] == 7
        assert view.position == StorePosition(2, 3)

    run_check(check)


def test_copies_of_older_builds_count_by_revision_until_a_restore():
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/stays", registration())
        await watched.start()
        await watched.until(lambda: watched.usable() == ["stays"])
        view = view_of(watched)
        newer = Snapshot((KeyValue("op/config", configuration(4), 90),), 90)
        assert view.apply_peer_snapshot(newer)
        assert not view.apply_peer_snapshot(Snapshot((), 89))

    run_check(check)


class _CopyOf1f3674f(msgspec.Struct, frozen=True, array_like=True):
    """The copy of the store as builds before the eras send and read it."""

    revision: int
    keys: list[_Key]


def test_older_builds_and_this_one_read_each_other_s_copies():
    keys = [_Key("op/config", b"{}", 3)]
    ours = msgspec.msgpack.encode(_StoreCopy(9, keys, 2))
    assert msgspec.msgpack.decode(ours, type=_CopyOf1f3674f) == _CopyOf1f3674f(9, keys)
    theirs = msgspec.msgpack.encode(_CopyOf1f3674f(9, keys))
    assert msgspec.msgpack.decode(theirs, type=_StoreCopy) == _StoreCopy(9, keys, 0)


# Guards: a configuration that had been in force came back older.
def test_an_older_copy_of_the_store_brings_back_no_older_configuration():
    gateway = GatewayBench().gateway
    first = read_configuration(CONFIGURATION, 5)
    assert gateway.apply_deployment(replace(first, version=11, revision=40))
    assert not gateway.apply_deployment(replace(first, version=9, revision=41))
    assert gateway.apply_deployment(replace(first, version=12, revision=38))


# Guards: an answer that was delayed over the restore told of a state that is gone.
def test_a_late_answer_of_an_earlier_era_is_no_answer():
    async def main() -> None:
        fake = FakeStore()
        fake.put("k", b"v")
        store = PlatformStore(await fake.start(), StoreTimeouts(0.5))
        fake.era = 2
        assert (await store.get("k")).era == 2
        fake.era = 1
        with pytest.raises(StoreUnavailableError, match="era 1"):
            await store.get("k")
        assert store.era == 2

    curio.run(main)


@pytest.mark.parametrize("era", ["", "-1", "two", "1.5", "9" * 40])
def test_an_era_that_is_no_number_is_ignored(era):
    async def main() -> None:
        fake = FakeStore()
        fake.put("k", b"v")
        fake.era = era
        store = PlatformStore(await fake.start(), StoreTimeouts(0.5))
        assert (await store.get("k")).get("k") is not None
        assert store.era == 0

    curio.run(main)


def test_a_store_that_names_no_era_is_followed_as_before():
    async def check(watched: Watched) -> None:
        watched.fake.has_era = False
        watched.fake.put("op/config", configuration(3))
        await watched.start()
        await watched.until(lambda: watched.versions == [3])
        watched.fake.put("op/config", configuration(4))
        await watched.until(lambda: watched.versions == [3, 4])

    run_check(check)


# Guards: an entry renewed a lease whose id another process had been granted after the restore, and
# stayed out of the register.
def test_an_entry_registers_again_though_its_lease_id_was_granted_anew():
    async def main() -> None:
        fake = FakeStore()
        copy = fake.copy()
        store = PlatformStore(await fake.start(), StoreTimeouts(0.5))
        subject = gossip(store)
        await curio.spawn(subject.keep_registered, daemon=True)
        async with curio.timeout_after(5):
            while "e/me" not in fake.items:
                await curio.sleep(0.02)
            fake.restore(copy)
            other = PlatformStore(fake.server.address, StoreTimeouts(0.5))
            assert await other.grant_lease(60) == subject._lease
            await store.get("anything")
            while "e/me" not in fake.items:
                await curio.sleep(0.02)

    curio.run(main)


# Guards: what an entry had reported of a crash in the lost seconds was gone for entries that start.
def test_a_crash_report_that_the_store_lost_is_written_again():
    async def main() -> None:
        fake = FakeStore()
        copy = fake.copy()
        store = PlatformStore(await fake.start(), StoreTimeouts(0.5))
        exchange = gossip(store)._crashes
        exchange._quarantine.record_crash("s", ("u", 1), ["dead"], beginning=True, now=0.0)
        await exchange._write_own()
        key = "c/u-1/me"
        assert key in fake.items
        fake.restore(copy)
        await store.get("anything")
        await exchange._write_own()
        assert key in fake.items

    curio.run(main)


# Guards: a report that got the revision of a lost one was taken for that one.
def test_a_crash_report_with_the_revision_of_a_lost_one_is_read():
    exchange = gossip(PlatformStore(Address("127.0.0.1", 1), StoreTimeouts(0.5)))._crashes
    for era, instance in ((1, "u1"), (2, "u2")):
        report = CrashReport("s", instance, 1, 0.0, [f"dead{instance}"], [], [])
        value = msgspec.msgpack.encode(report)
        exchange._view._records = {"c/x": RecordWritten("c/x", value, 7, era=era)}
        exchange._read_stored()
    assert exchange._quarantine.suspect_count() == 2


# Guards: after a restore the numbers of the role's holders were lower than what ranks had seen.
def test_fencing_numbers_and_map_versions_grow_over_a_restore():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        older = deepcopy(store.memory)
        for _ in range(50):
            await store.transact([], [Put("x", b"")])
        first = RoleHolder(store, "/t", "placement", "a", 2, clock, Random(1))
        before = await first.acquire()
        store.restore(older)
        second = RoleHolder(store, "/t", "placement", "b", 2, clock, Random(2))
        after = await second.acquire()
        assert before is not None and after is not None
        assert after.number > before.number
        assert after.number * VERSIONS_PER_HOLDER > (before.number + 1) * VERSIONS_PER_HOLDER
        assert after.number * VERSIONS_PER_HOLDER < 2**53
        assert await first.renew() is None

    curio.run(main)


def test_until_the_first_restore_fencing_numbers_are_revisions_as_in_older_builds():
    assert StorePosition(0, 41).number == StorePosition(1, 41).number == 41
    assert StorePosition(2, 1).number > StorePosition(1, 10_000_000).number


# Guards: the former holder renewed a lease whose id was granted to another process.
def test_a_holder_whose_lease_id_was_granted_anew_gives_the_role_up():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        older = deepcopy(store.memory)
        first = RoleHolder(store, "/t", "placement", "a", 2, clock, Random(1))
        second = RoleHolder(store, "/t", "placement", "b", 2, clock, Random(2))
        assert await first.acquire() is not None
        store.restore(older)
        taken = await second.acquire()
        assert taken is not None
        assert await first.renew() is None
        assert first.current(clock.now()) is None
        assert await second.renew() == taken

    curio.run(main)


def test_a_holder_whose_record_is_in_the_copy_keeps_the_role_under_a_higher_number():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        holder = RoleHolder(store, "/t", "placement", "a", 2, clock, Random(1))
        before = await holder.acquire()
        store.restore(deepcopy(store.memory))
        after = await holder.renew()
        assert before is not None and after is not None
        assert after.number > before.number

    curio.run(main)


# Guards: a record that another holder wrote at a revision was taken for one of before the restore.
def test_a_record_of_before_the_restore_is_not_deleted():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        older = deepcopy(store.memory)
        first = RoleHolder(store, "/t", "placement", "a", 2, clock, Random(1))
        assert await first.acquire() is not None
        seen = StorePosition(store.era, store.memory.revision)
        store.restore(older)
        second = RoleHolder(store, "/t", "placement", "b", 2, clock, Random(2))
        assert await second.acquire() is not None
        assert store.memory.revision == seen.revision
        assert not await first.delete_record(seen)
        assert await second.renew() is not None

    curio.run(main)


# Guards: a range read in pages over a restore mixed two histories.
def test_a_range_that_is_read_over_a_restore_is_read_again():
    async def main() -> None:
        fake = FakeStore()
        for number in range(9):
            fake.put(f"servers/u{number}", registration())
        store = PlatformStore(await fake.start(), StoreTimeouts(0.5))
        answer = fake._answer

        async def restores_between(*arguments: Any) -> Any:
            result = await answer(*arguments)
            fake.era += 1
            return result

        fake._answer = restores_between
        with pytest.raises(StoreUnavailableError, match="restored"):
            await store.read_prefix("servers/")

    curio.run(main)
