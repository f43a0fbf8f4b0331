from dataclasses import replace

import curio

from bluebellrun.core import MonotonicClock
from bluebellrun.ledger import (
    ClaimState,
    Declined,
    Finished,
    Granted,
    Ledger,
    LedgerSettings,
    Unsettled,
    key_digest,
)
from tests.ledger.fakes import FakeStore, record

SHORT_DELAY = LedgerSettings(settle_delay_s=0.001)


def make_ledger(store: FakeStore, settings: LedgerSettings = SHORT_DELAY) -> Ledger:
    return Ledger(store, "/l/s", settings, MonotonicClock(), lambda: 0)


def key(number: int) -> str:
    return key_digest("c", "s", f"k{number}")


async def claim_all(ledger: Ledger, records) -> list:
    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(ledger.claim, item, 2.0) for item in records]
    return [task.result for task in tasks]


def test_claims_in_several_shards_share_one_write():
    store = FakeStore()

    async def main() -> list:
        ledger = make_ledger(store)
        await claim_all(ledger, [record(key(n), f"warm{n}") for n in range(50)])
        store.writes = 0
        return await claim_all(ledger, [record(key(n), f"a{n}") for n in range(100, 150)])

    assert set(curio.run(main)) == {Granted()}
    assert store.writes == 1


def test_two_processes_grant_each_key_once():
    store = FakeStore()

    async def main() -> list:
        first, second = make_ledger(store), make_ledger(store)
        async with curio.TaskGroup() as group:
            first_claims = [record(key(n), f"a{n}") for n in range(40)]
            second_claims = [record(key(n), f"b{n}") for n in range(40)]
            first_decisions = await group.spawn(claim_all, first, first_claims)
            second_decisions = await group.spawn(claim_all, second, second_claims)
        return list(zip(first_decisions.result, second_decisions.result, strict=True))

    for pair in curio.run(main):
        assert [isinstance(item, Granted) for item in pair].count(True) == 1
        assert any(isinstance(item, Unsettled) for item in pair)


def test_claim_is_declined_and_its_key_stays_free_while_the_store_is_down():
    store = FakeStore(down=True)

    async def main() -> tuple:
        ledger = make_ledger(store)
        declined = await ledger.claim(record(key(1), "a"), 0.05)
        store.down = False
        return declined, await ledger.claim(record(key(1), "b"), 2.0)

    declined, granted = curio.run(main)
    assert isinstance(declined, Declined)
    assert granted == Granted()


def test_claim_that_times_out_after_its_write_took_effect_is_released():
    store = FakeStore()

    async def main() -> tuple:
        ledger = make_ledger(store)
        await ledger.claim(record(key(1), "warm"), 2.0)
        store.lose_next = 1_000
        timed_out = await ledger.claim(record(key(2), "a"), 0.05)
        store.lose_next = 0
        while ledger.busy:
            await curio.sleep(0.01)
        return timed_out, await make_ledger(store).claim(record(key(2), "b"), 2.0)

    timed_out, granted = curio.run(main)
    assert isinstance(timed_out, Declined)
    assert granted == Granted()


def test_settlement_is_durable_when_settle_returns_true():
    store = FakeStore()

    async def main() -> object:
        ledger = make_ledger(store)
        claim = record(key(1), "a")
        await ledger.claim(claim, 2.0)
        assert await ledger.settle(replace(claim, state=ClaimState.RAN), 2.0)
        return await make_ledger(store).claim(record(key(1), "b"), 2.0)

    assert isinstance(curio.run(main), Finished)


def test_undecodable_shard_does_not_block_other_shards():
    store = FakeStore()

    async def main() -> tuple:
        ledger = make_ledger(store)
        bad = record(key(1), "a")
        await ledger.claim(bad, 2.0)
        segment = next(key for key in store.values if "/seg/" in key)
        store.values[segment] = replace(store.values[segment], value=b"\xff")
        fresh = make_ledger(store)
        good = [record(key(n), f"g{n}") for n in range(2, 30)]
        decisions = await claim_all(fresh, good)
        return decisions, await fresh.claim(record(key(1), "b"), 0.05)

    decisions, declined = curio.run(main)
    assert Granted() in decisions
    assert isinstance(declined, Declined)


def test_processes_with_different_settings_use_the_stored_number_of_shards():
    store = FakeStore()

    async def main() -> list:
        first = make_ledger(store)
        second = make_ledger(store, LedgerSettings(shards=7))
        decisions = []
        for number in range(20):
            decisions.append(await first.claim(record(key(number), f"a{number}"), 2.0))
            decisions.append(await second.claim(record(key(number), f"b{number}"), 2.0))
        return decisions

    assert curio.run(main).count(Granted()) == 20
