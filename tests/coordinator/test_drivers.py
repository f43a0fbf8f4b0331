import curio
import pytest

from bluebellrun.coordinator import ActionRunner, MapDriver, RoleLostError
from bluebellrun.groups import (
    ActionState,
    GroupShape,
    LoadVersion,
    MapChangeSettings,
    decode_action,
    static_map,
)
from standins.engine._group import LockStepGroup
from tests.coordinator._fakes import AGENTS, CLOCK, Links, MemoryStore, Role

MAP = static_map(GroupShape(3, 1, 6, 2), version=2)
SETTINGS = MapChangeSettings(order_timeout_s=0.1, step_margin=5, poll_interval_s=0.02)
LOAD_ORDER = LoadVersion("m", "v2")


async def change_map(store: MemoryStore, links: Links, role: Role) -> MapDriver:
    driver = MapDriver("g", "/p", AGENTS, role, store, links, CLOCK, SETTINGS)
    task = await curio.spawn(driver.run, daemon=True)
    async with curio.timeout_after(10):
        while not driver.idle:
            await curio.sleep(0.01)
        driver.request(MAP.digest, MAP.encode())
        while driver.record is None or driver.record.active != 2:
            links.group.try_step()
            await curio.sleep(0.005)
    await task.cancel()
    return driver


@pytest.mark.parametrize("lost", range(1, 6))
def test_a_change_completes_whichever_answer_of_the_store_is_lost(lost):
    store = MemoryStore()
    store.lost = {lost}
    links = Links(LockStepGroup([False] * 3))
    curio.run(change_map, store, links, Role(store, "one"))
    assert set(links.group.history) <= {1, 2}
    assert all(rank.version_at(links.group.step) == 2 for rank in links.group.ranks)


def test_a_change_completes_when_replies_of_agents_are_lost():
    store = MemoryStore()
    links = Links(LockStepGroup([True] * 3))
    links.unanswered = 4
    curio.run(change_map, store, links, Role(store, "one"))
    runs = [count for rank in links.group.ranks for count in rank.runs.values()]
    assert set(runs) == {1}


def test_the_store_rejects_writes_of_a_replaced_holder():
    store = MemoryStore()
    role = Role(store, "one")
    Role(store, "two")

    async def main() -> None:
        links = Links(LockStepGroup([True] * 3))
        driver = MapDriver("g", "/p", AGENTS, role, store, links, CLOCK, SETTINGS)
        await curio.spawn(driver.run, daemon=True)
        await curio.sleep(0.2)
        assert not driver.idle

    curio.run(main)
    assert b'"fencing":0' in store.items["/p/groups/g/record"].value


def make_runner(store: MemoryStore, links: Links, role: Role) -> ActionRunner:
    return ActionRunner("/p", role, store, links, CLOCK)


@pytest.mark.parametrize("lost", [set(), {1}, {2}, {1, 2}])
def test_an_action_runs_once_whichever_answers_are_lost(lost):
    store = MemoryStore()
    store.lost = lost
    links = Links(LockStepGroup([False] * 3))
    links.unanswered = 2
    actions = make_runner(store, links, Role(store, "one"))
    record = curio.run(actions.run, "r0", AGENTS[0], "a1", LOAD_ORDER)
    assert record.state is ActionState.DONE
    assert links.group.ranks[0].runs == {"a1": 1}


def test_the_record_is_written_before_the_order_is_sent():
    store = MemoryStore()
    links = Links(LockStepGroup([False] * 3))
    seen = []
    links.before_order = lambda: seen.append(decode_action(store.items["/p/actions/r0"].value))
    curio.run(make_runner(store, links, Role(store, "one")).run, "r0", AGENTS[0], "a1", LOAD_ORDER)
    assert [record.state for record in seen] == [ActionState.SENT]


def test_a_new_coordinator_settles_an_unsettled_action_before_its_own():
    store = MemoryStore()
    links = Links(LockStepGroup([False] * 3))
    first = Role(store, "one")

    def lose_role() -> None:
        first.lease = None
        links.before_order = None
        links.unanswered = 1

    links.before_order = lose_role
    with pytest.raises(RoleLostError):
        curio.run(make_runner(store, links, first).run, "r0", AGENTS[0], "a1", LOAD_ORDER)
    second = make_runner(store, links, Role(store, "two"))
    record = curio.run(second.run, "r0", AGENTS[0], "a2", LoadVersion("m", "v3"))
    assert record.state is ActionState.DONE
    assert links.group.ranks[0].runs == {"a1": 1, "a2": 1}
