from random import Random

import curio
import pytest

from bluebellrun.core import ManualClock
from bluebellrun.leases import LeaseError, LeaseLostError, RoleHolder
from standins.platform import DirectStore

TTL_S = 10


def make_holder(store: DirectStore, clock: ManualClock, name: str) -> RoleHolder:
    return RoleHolder(store, "/t", "coordinator", name, TTL_S, clock, Random(name))


def test_one_holder_at_a_time_with_increasing_fencing_numbers():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        first, second = make_holder(store, clock, "a"), make_holder(store, clock, "b")
        lease = await first.acquire()
        assert lease is not None
        assert await second.acquire() is None
        await first.release()
        assert first.current(clock.now()) is None
        later = await second.acquire()
        assert later is not None
        assert later.number > lease.number

    curio.run(main)


def test_a_paused_holders_lease_expires_before_another_can_acquire_the_role():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        paused, other = make_holder(store, clock, "a"), make_holder(store, clock, "b")
        lease = await paused.acquire()
        assert lease is not None
        while await other.acquire() is None:
            clock.advance(0.05)
        assert paused.current(clock.now()) is None
        with pytest.raises(LeaseLostError, match="acquire the role again"):
            lease.check(clock.now())
        assert await paused.renew() is None

    curio.run(main)


def test_the_deadline_counts_from_before_the_request_was_sent():
    class SlowStore(DirectStore):
        async def keep_alive(self, lease: int) -> int:
            remaining_s = await super().keep_alive(lease)
            clock.advance(4)
            return remaining_s

    clock = ManualClock()

    async def main() -> None:
        holder = make_holder(SlowStore(clock), clock, "a")
        await holder.acquire()
        clock.advance(1)
        lease = await holder.renew()
        assert lease is not None
        assert lease.deadline <= 1 + TTL_S

    curio.run(main)


def test_a_lost_answer_is_settled_by_the_nonce():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        holder = make_holder(store, clock, "a")
        grant = store.grant_lease

        async def grant_then_lose(ttl_s: int) -> int:
            lease = await grant(ttl_s)
            store.faults.lose_next = 1
            return lease

        store.grant_lease = grant_then_lose
        lease = await holder.acquire()
        assert lease is not None
        assert lease.number == (await store.get(holder.key)).items[0].create_revision
        assert await make_holder(store, clock, "b").acquire() is None

    curio.run(main)


def test_a_store_outage_does_not_change_the_deadline():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        holder = make_holder(store, clock, "a")
        lease = await holder.acquire()
        store.faults.down = True
        clock.advance(5)
        with pytest.raises(LeaseError, match="cannot be renewed"):
            await holder.renew()
        assert holder.current(clock.now()) == lease
        clock.advance(5)
        assert holder.current(clock.now()) is None

    curio.run(main)


def test_a_holder_that_reacquires_within_the_stores_lease_keeps_its_number():
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        holder = make_holder(store, clock, "a")
        lease = await holder.acquire()
        assert lease is not None
        clock.advance(9.9)
        assert holder.current(clock.now()) is None
        again = await holder.acquire()
        assert again is not None
        assert again.number == lease.number

    curio.run(main)
