from typing import Any

import curio
import pytest

from bluebellrun.platform import PlatformStore
from bluebellrun.store import (
    CompactedError,
    Compare,
    Put,
    StoreAnswerLostError,
    StoreTimeouts,
    StoreUnavailableError,
    WatchTiming,
)
from standins.users_platform import FakeStore


def run_check(check: Any, call_s: float = 1.0, timing: WatchTiming | None = None) -> None:
    async def main() -> None:
        fake = FakeStore()
        store = PlatformStore(await fake.start(), StoreTimeouts(call_s), timing)
        await check(fake, store)

    curio.run(main)


def test_conditional_writes_are_read_back():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        first = await store.transact([Compare("a/1", 0)], [Put("a/1", b"\x00one")])
        assert first.succeeded
        assert not (await store.transact([Compare("a/1", 0)], [Put("a/1", b"two")])).succeeded
        (item,) = (await store.get("a/1")).items
        assert (item.value, item.mod_revision) == (b"\x00one", first.revision)
        await store.transact([Compare("a/1", first.revision)], [Put("a/1", None)])
        assert (await store.get("a/1")).items == ()

    run_check(check)


def test_all_pages_of_a_prefix_are_read():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        for number in range(8):
            fake.put(f"a/{number}", b"x")
        snapshot = await store.read_prefix("a/")
        assert [item.key for item in snapshot.items] == [f"a/{number}" for number in range(8)]

    run_check(check)


def test_a_watch_returns_writes_and_deletions_in_order():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        watch = await store.watch("a/", fake.revision + 1)
        fake.put("a/1", b"x")
        fake.put("b/1", b"x")
        fake.delete("a/1")
        events = await watch.next()
        assert [(event.key, event.value) for event in events] == [("a/1", b"x"), ("a/1", None)]

    run_check(check)


def test_changes_before_a_watch_began_come_first():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        fake.put("a/1", b"x")
        watch = await store.watch("a/", 1)
        fake.put("a/2", b"y")
        assert [event.key for event in await watch.next()] == ["a/1"]
        assert [event.key for event in await watch.next()] == ["a/2"]

    run_check(check)


def test_a_burst_of_changes_takes_few_calls():
    # Far longer than the burst, so that the test does not depend on the machine's speed.
    timing = WatchTiming(batch_delay_s=1.5)

    async def check(fake: FakeStore, store: PlatformStore) -> None:
        watch = await store.watch("a/", fake.revision + 1)
        before = fake.calls

        async def register() -> None:
            for number in range(20):
                fake.put(f"a/{number}", b"x")
                await curio.sleep(0.01)

        await curio.spawn(register, daemon=True)
        seen: list[str] = []
        async with curio.timeout_after(5):
            while len(seen) < 20:
                seen += [event.key for event in await watch.next()]
        assert seen == [f"a/{number}" for number in range(20)]
        assert fake.calls - before <= 3

    run_check(check, timing=timing)


def test_a_watch_cannot_start_while_the_store_is_down():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        fake.refuse = 503
        with pytest.raises(StoreUnavailableError):
            await store.watch("a/", 1)

    run_check(check)


def test_a_watch_from_a_compacted_revision_raises():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        fake.put("a/1", b"x")
        fake.compact()
        with pytest.raises(CompactedError):
            await store.watch("a/", 1)

    run_check(check)


@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_call_has_no_effect(status):
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        fake.refuse = status
        with pytest.raises(StoreUnavailableError):
            await store.transact([], [Put("a", b"x")])
        assert fake.items == {}

    run_check(check)


def test_a_write_whose_answer_is_lost_may_have_taken_effect():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        fake.lose_answers = True
        with pytest.raises(StoreAnswerLostError):
            await store.transact([], [Put("a", b"x")])
        assert "a" in fake.items
        with pytest.raises(StoreUnavailableError):
            await store.get("a")

    run_check(check, call_s=0.2)


def test_an_ended_lease_cannot_be_renewed():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        lease = await store.grant_lease(2)
        await store.transact([], [Put("a", b"x", lease)])
        assert await store.keep_alive(lease) > 0
        await store.revoke_lease(lease)
        assert await store.keep_alive(lease) == 0
        assert fake.items == {}

    run_check(check)


def test_a_malformed_answer_raises_answer_lost():
    async def check(fake: FakeStore, store: PlatformStore) -> None:
        async def answer(*_: Any) -> tuple[int, Any]:
            return 200, ["no", "item"]

        fake._answer = answer  # type: ignore[method-assign]
        with pytest.raises(StoreAnswerLostError, match="cannot be read"):
            await store.transact([], [Put("a", b"x")])

    run_check(check)
