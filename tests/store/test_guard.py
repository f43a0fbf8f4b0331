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
    RateQuota,
    StoreAnswerLostError,
    StoreRates,
    StoreUnavailableError,
    transact_with_nonce,
)
from standins.platform import DirectStore

UNLIMITED = RateQuota(1e6, 1e6)


def make_guarded_store(
    store: DirectStore, clock: ManualClock, quota: RateQuota = UNLIMITED
) -> GuardedStore:
    return GuardedStore(store, quota, clock, Random(1))


def test_quotas_of_all_processes_stay_below_the_service_rates():
    for processes in (10, 390, 3_190, 10_000):
        rates = StoreRates(2_000, 300, processes)
        watchers = max(9, processes // 20)
        reads = rates.ordinary_quota.reads_per_s * processes
        reads += rates.watcher_quota.reads_per_s * watchers
        writes = rates.ordinary_quota.writes_per_s * processes
        writes += rates.watcher_quota.writes_per_s * watchers
        writes += rates.owner_quota(64).writes_per_s * 64
        assert reads <= 2_000
        assert writes <= 300


def test_token_bucket_never_exceeds_burst_and_rate():
    bucket = TokenBucket(2.0, 4.0, 0.0)
    waits = [bucket.reserve(0.0) for _ in range(8)]
    assert waits == [0, 0, 0, 0, 0.5, 1.0, 1.5, 2.0]
    assert bucket.reserve(100.0) == 0


def test_call_over_the_quota_is_refused_without_being_sent():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        guarded = make_guarded_store(store, clock, RateQuota(0.1, 0.1))
        for _ in range(6):
            await guarded.get("/a")
        with pytest.raises(CallRefusedError, match="over its part"):
            await guarded.get("/a")
        assert store.calls == 6
        assert guarded.call_counts.over_budget == 1

    curio.run(main)


def test_outage_causes_few_calls_and_a_probe_closes_the_breaker():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        store.faults.down = True
        guarded = make_guarded_store(store, clock)
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


def test_open_breaker_allows_one_probe_at_a_time():
    breaker = CircuitBreaker(Random(1), failure_threshold=1)
    breaker.record_failure(0.0)
    assert not breaker.allows(0.0)
    assert breaker.allows(10.0)
    assert not breaker.allows(10.0)
    breaker.record_success()
    assert breaker.allows(10.0)


def test_write_with_a_lost_answer_is_not_retried():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        store.faults.lose_next = 1
        with pytest.raises(StoreAnswerLostError):
            await make_guarded_store(store, clock).transact([], [Put("/a", b"1")])
        assert store.memory.revision == 2

    curio.run(main)


@pytest.mark.parametrize("lost", [0, 1, 2, 3])
def test_nonce_resolves_lost_answers_and_the_write_takes_effect_once(lost):
    async def main() -> None:
        store = DirectStore(ManualClock())
        store.faults.lose_next = lost
        result = await transact_with_nonce(
            store, [Compare("/a", 0)], [Put("/a", b"mine n-1")], b"n-1"
        )
        assert result.succeeded
        assert result.revision == store.memory.revision == 2

    curio.run(main)


def test_nonce_distinguishes_a_conflict_from_a_lost_answer():
    async def main() -> None:
        store = DirectStore(ManualClock())
        await store.transact([], [Put("/a", b"theirs n-2")])
        store.faults.lose_next = 1
        result = await transact_with_nonce(
            store, [Compare("/a", 0)], [Put("/a", b"mine n-1")], b"n-1"
        )
        assert not result.succeeded

    curio.run(main)


def test_follower_misses_no_change_across_an_outage_and_compaction():
    async def main() -> None:
        store = DirectStore(MonotonicClock())
        seen: list[bytes] = []
        snapshots = []

        async def on_snapshot(snapshot) -> None:
            snapshots.append(snapshot.revision)
            seen.extend(item.value for item in snapshot.items)

        async def on_events(events) -> None:
            seen.extend(event.value for event in events)

        async def wait_for(value: bytes) -> None:
            async with curio.timeout_after(5):
                while value not in seen:
                    await curio.sleep(0.005)

        follower = PrefixFollower(store, "/c/", on_snapshot, on_events, MonotonicClock(), Random(1))
        await curio.spawn(follower.run, daemon=True)
        await store.transact([], [Put("/c/x", b"1")])
        await wait_for(b"1")
        store.faults.down = True
        await store.wake()
        store.memory.transact([], [lambda memory: memory.put(b"/c/x", b"2", 0)])
        await curio.sleep(0.02)
        store.faults.down = False
        await wait_for(b"2")
        assert len(snapshots) == 1
        store.faults.down = True
        await store.wake()
        await curio.sleep(0.02)
        store.memory.transact([], [lambda memory: memory.put(b"/c/x", b"3", 0)])
        store.memory.compact(store.memory.revision + 1)
        store.faults.down = False
        await wait_for(b"3")
        assert len(snapshots) == 2

    curio.run(main)


def test_stalled_watch_is_detected_and_reopened(monkeypatch):
    monkeypatch.setattr("bluebellrun.store._follow.CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr("bluebellrun.store._follow.CHECK_GRACE_S", 0.01)

    class StalledWatch:
        async def next(self):
            await curio.sleep(100)

        async def close(self) -> None:
            return

    class FirstWatchStalls(DirectStore):
        watches_opened = 0

        async def watch(self, prefix, from_revision):
            self.watches_opened += 1
            if self.watches_opened == 1:
                return StalledWatch()
            return await super().watch(prefix, from_revision)

    async def main() -> None:
        store = FirstWatchStalls(MonotonicClock())
        seen: list[bytes] = []

        async def on_snapshot(snapshot) -> None:
            return

        async def on_events(events) -> None:
            seen.extend(event.value for event in events)

        follower = PrefixFollower(store, "/c/", on_snapshot, on_events, MonotonicClock(), Random(1))
        await curio.spawn(follower.run, daemon=True)
        await curio.sleep(0.01)
        await store.transact([], [Put("/c/x", b"1")])
        async with curio.timeout_after(5):
            while not seen:
                await curio.sleep(0.005)
        assert store.watches_opened == 2

    curio.run(main)
