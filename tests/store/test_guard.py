from random import Random

import curio
import pytest

from bluebellrun.core import ManualClock, MonotonicClock, TokenBucket
from bluebellrun.store import (
    CallRefusedError,
    CircuitBreaker,
    Compare,
    GuardedStore,
    PrefixFollower,
    Put,
    RatePart,
    StoreAnswerLostError,
    StoreRates,
    StoreUnavailableError,
    transact_with_nonce,
)
from standins.platform import DirectStore

PLENTY = RatePart(1e6, 1e6)


def guard(store: DirectStore, clock: ManualClock, part: RatePart = PLENTY) -> GuardedStore:
    return GuardedStore(store, part, clock, Random(1))


def test_the_parts_of_all_processes_stay_below_the_services_rates():
    for processes in (10, 390, 3_190, 10_000):
        rates = StoreRates(2_000, 300, processes)
        watchers = max(9, processes // 20)
        reads = rates.ordinary_part.reads_per_s * processes
        reads += rates.watcher_part.reads_per_s * watchers
        writes = rates.ordinary_part.writes_per_s * processes
        writes += rates.watcher_part.writes_per_s * watchers
        writes += rates.owner_part(64).writes_per_s * 64
        assert reads <= 2_000
        assert writes <= 300


def test_a_bucket_never_gives_more_than_burst_and_rate():
    bucket = TokenBucket(2.0, 4.0, 0.0)
    waits = [bucket.reserve(0.0) for _ in range(8)]
    assert waits == [0, 0, 0, 0, 0.5, 1.0, 1.5, 2.0]
    assert bucket.reserve(100.0) == 0


def test_a_process_over_its_part_is_refused_without_a_call():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        guarded = guard(store, clock, RatePart(0.1, 0.1))
        for _ in range(6):
            await guarded.get("/a")
        with pytest.raises(CallRefusedError, match="over its part"):
            await guarded.get("/a")
        assert store.calls == 6
        assert guarded.account.over_budget == 1

    curio.run(main)


def test_an_outage_costs_few_calls_and_ends_by_a_probe():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        store.faults.down = True
        guarded = guard(store, clock)
        for _ in range(50):
            with pytest.raises(StoreUnavailableError):
                await guarded.get("/a")
        assert store.calls <= 6
        assert not guarded.available
        store.faults.down = False
        clock.advance(10)
        await guarded.get("/a")
        assert guarded.available

    curio.run(main)


def test_a_breaker_lets_one_probe_through_at_a_time():
    breaker = CircuitBreaker(Random(1), failures_to_open=1)
    breaker.failed(0.0)
    assert not breaker.allows(0.0)
    assert breaker.allows(10.0)
    assert not breaker.allows(10.0)
    breaker.succeeded()
    assert breaker.allows(10.0)


def test_a_lost_write_is_not_repeated_by_the_guard():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        store.faults.lose_next = 1
        with pytest.raises(StoreAnswerLostError):
            await guard(store, clock).transact([], [Put("/a", b"1")])
        assert store.memory.revision == 2

    curio.run(main)


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
def test_a_nonce_settles_lost_answers_and_the_write_takes_effect_once(lost):
    async def main() -> None:
        store = DirectStore(ManualClock())
        store.faults.lose_next = lost
        result = await transact_with_nonce(
            store, [Compare("/a", 0)], [Put("/a", b"mine n-1")], b"n-1"
        )
        assert result.succeeded
        assert result.revision == store.memory.revision == 2

    curio.run(main)


def test_a_nonce_tells_a_lost_race_from_a_lost_answer():
    async def main() -> None:
        store = DirectStore(ManualClock())
        await store.transact([], [Put("/a", b"theirs n-2")])
        store.faults.lose_next = 1
        result = await transact_with_nonce(
            store, [Compare("/a", 0)], [Put("/a", b"mine n-1")], b"n-1"
        )
        assert not result.succeeded

    curio.run(main)


def test_a_watch_resumes_after_an_outage_and_after_compaction_without_a_gap():
    async def main() -> None:
        store = DirectStore(MonotonicClock())
        seen: list[bytes] = []
        snapshots = []

        async def take_snapshot(snapshot) -> None:
            snapshots.append(snapshot.revision)
            seen.extend(item.value for item in snapshot.items)

        async def take_events(events) -> None:
            seen.extend(event.value for event in events)

        async def until(value: bytes) -> None:
            async with curio.timeout_after(5):
                while value not in seen:
                    await curio.sleep(0.005)

        follower = PrefixFollower(
            store, "/c/", take_snapshot, take_events, MonotonicClock(), Random(1)
        )
        await curio.spawn(follower.run, daemon=True)
        await store.transact([], [Put("/c/x", b"1")])
        await until(b"1")
        store.faults.down = True
        await store.wake()
        store.memory.transact([], [lambda memory: memory.put(b"/c/x", b"2", 0)])
        await curio.sleep(0.02)
        store.faults.down = False
        await until(b"2")
        assert len(snapshots) == 1
        store.faults.down = True
        await store.wake()
        await curio.sleep(0.02)
        store.memory.transact([], [lambda memory: memory.put(b"/c/x", b"3", 0)])
        store.memory.compact(store.memory.revision + 1)
        store.faults.down = False
        await until(b"3")
        assert len(snapshots) == 2

    curio.run(main)


def test_a_watch_that_went_silent_is_found_and_replaced(monkeypatch):
    monkeypatch.setattr("bluebellrun.store._follow.CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr("bluebellrun.store._follow.CHECK_GRACE_S", 0.01)

    class SilentWatch:
        async def next(self):
            await curio.sleep(100)

        async def close(self) -> None:
            return

    class SilentOnce(DirectStore):
        opened = 0

        async def watch(self, prefix, from_revision):
            self.opened += 1
            if self.opened == 1:
                return SilentWatch()
            return await super().watch(prefix, from_revision)

    async def main() -> None:
        store = SilentOnce(MonotonicClock())
        seen: list[bytes] = []

        async def take_snapshot(snapshot) -> None:
            return

        async def take_events(events) -> None:
            seen.extend(event.value for event in events)

        follower = PrefixFollower(
            store, "/c/", take_snapshot, take_events, MonotonicClock(), Random(1)
        )
        await curio.spawn(follower.run, daemon=True)
        await curio.sleep(0.01)
        await store.transact([], [Put("/c/x", b"1")])
        async with curio.timeout_after(5):
            while not seen:
                await curio.sleep(0.005)
        assert store.opened == 2

    curio.run(main)
