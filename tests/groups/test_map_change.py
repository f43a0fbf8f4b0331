import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from tests.groups._world import RANKS, World


class MapChangeMachine(RuleBasedStateMachine):
    """Deliver, lose, delay and repeat messages; pause, kill and replace their senders."""

    @initialize(
        fenced=st.lists(st.booleans(), min_size=RANKS, max_size=RANKS),
        margin=st.sampled_from([2, 12, 30]),
    )
    def begin(self, fenced, margin):
        self.world = World(fenced, margin)
        self.world.add_coordinator()

    @rule(number=st.integers(0, 9))
    def coordinate(self, number):
        self.world.act(number % len(self.world.coordinators))

    @rule(number=st.integers(0, 9))
    def request_change(self, number):
        self.world.request(number % len(self.world.coordinators))

    @precondition(lambda self: len(self.world.coordinators) < 3)
    @rule()
    def take_over(self):
        self.world.add_coordinator()

    @precondition(lambda self: self.world.messages)
    @rule(number=st.integers(0, 30))
    def deliver(self, number):
        self.world.messages.pop(number % len(self.world.messages)).deliver()

    @precondition(lambda self: self.world.messages)
    @rule()
    def deliver_all(self):
        self.world.deliver_pending()

    @precondition(lambda self: self.world.messages)
    @rule(number=st.integers(0, 30))
    def lose(self, number):
        self.world.messages.pop(number % len(self.world.messages)).lose()

    @precondition(lambda self: any(message.again for message in self.world.messages))
    @rule(number=st.integers(0, 30))
    def deliver_and_keep(self, number):
        repeatable = [message for message in self.world.messages if message.again]
        repeatable[number % len(repeatable)].deliver()

    @rule(rank=st.integers(0, RANKS - 1))
    def settle(self, rank):
        self.world.settle(rank)

    @rule(rank=st.integers(0, RANKS - 1))
    def settle_act(self, rank):
        self.world.settle_act(rank)

    @rule(count=st.integers(1, 4))
    def step(self, count):
        for _ in range(count):
            self.world.step()

    @rule(seconds=st.sampled_from([1.0, 6.0, 25.0]))
    def wait(self, seconds):
        self.world.now += seconds

    @rule(rank=st.integers(0, RANKS - 1))
    def kill_rank(self, rank):
        self.world.group.kill(rank)

    @rule(rank=st.integers(0, RANKS - 1))
    def replace_rank(self, rank):
        self.world.group.replace(rank)

    @rule(rank=st.integers(0, RANKS - 1))
    def restart_agent(self, rank):
        self.world.restart_agent(rank)

    @rule()
    def run_a_round(self):
        self.world._round()

    @invariant()
    def no_order_runs_twice(self):
        if hasattr(self, "world"):
            for rank in self.world.group.ranks:
                assert all(count == 1 for count in rank.runs.values()), rank.runs

    def teardown(self):
        if hasattr(self, "world"):
            self.world.heal()


TestMapChange = MapChangeMachine.TestCase


def change_map(world: World) -> None:
    world.request(0)
    for _ in range(10):
        world._round()


def test_a_change_without_faults_takes_three_writes_beyond_the_takeover():
    world = World([True, False, True])
    world.add_coordinator()
    world._round()
    before = world.store.writes
    change_map(world)
    assert world.store.record.active == 2
    assert world.store.writes - before == 3
    assert set(world.group.history) == {1, 2}


@pytest.mark.parametrize("point", range(12))
@pytest.mark.parametrize("fenced", [True, False])
def test_another_coordinator_takes_over_at_each_point(point, fenced):
    world = World([fenced] * RANKS)
    world.add_coordinator()
    world.request(0)
    for _ in range(point):
        world.act(0)
        if world.messages:
            world.messages.pop(0).deliver()
    stale, world.messages = world.messages, []
    world.add_coordinator()
    world.heal()
    for message in stale:
        message.deliver()
    world.heal()
    assert world.store.record.change is None
    assert world.store.record.active in (1, 2)


@pytest.mark.parametrize("fault", ["kill_rank", "restart_agent", "replace_rank"])
@pytest.mark.parametrize("point", range(0, 60, 3))
@pytest.mark.parametrize("margin", [2, 40])
def test_a_rank_that_fails_at_each_point_leaves_no_mixed_step(fault, point, margin):
    world = World([True, False, False], margin)
    world.add_coordinator()
    world.request(0)
    for number in range(90):
        if number == point:
            match fault:
                case "kill_rank":
                    world.group.kill(1)
                case "replace_rank":
                    world.group.replace(1)
                case _:
                    world.restart_agent(1)
        world.act(0)
        world.settle(number % RANKS)
        world.settle_act(number % RANKS)
        if world.messages:
            world.messages.pop(0).deliver()
        world.step()
    world.heal()


def test_a_rank_that_joins_before_the_step_of_a_known_change_uses_the_old_map_until_then():
    world = World([True] * RANKS, margin=40)
    world.add_coordinator()
    world.request(0)
    while not all(engine.following for engine in world.group.ranks):
        world._round()
    for _ in range(3):
        world.act(0)
        world.deliver_pending()
    world.group.replace(0)
    world.heal()
    assert set(world.group.history) == {1, 2}
