"""A store, coordinators, agents and engines whose messages a test delivers one by one."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bluebellrun.core import InvariantError
from bluebellrun.groups import (
    AbortChange,
    EngineState,
    GroupRecord,
    MapChangeSettings,
    MapCoordinator,
    Order,
    OrderGate,
    ReadRecord,
    SendEngineOrder,
    SendOrder,
    WriteRecord,
    has_effect,
)
from standins.engine._group import LockStepGroup, OrderRejectedError

RANKS = 3
HOLD_TIMEOUT_S = 5.0
SETTINGS = MapChangeSettings(prepare_timeout_s=20.0, order_timeout_s=2.0, step_margin=2)


@dataclass
class Store:
    """The group's record with compare-and-swap."""

    record: GroupRecord = field(default_factory=lambda: GroupRecord(active=1, next_version=2))
    revision: int = 1
    writes: int = 0
    history: list[GroupRecord] = field(default_factory=list)

    def write(self, expected: int, record: GroupRecord) -> bool:
        if expected != self.revision:
            return False
        before = self.record.change
        if before is not None and before.phase == "committed":
            assert record.change == before or record.active == before.version, "reverted"
        self.revision += 1
        self.writes += 1
        self.record = record
        self.history.append(record)
        return True


@dataclass
class Agent:
    """An agent's gate and what it has read; a restarted agent has a new one."""

    gate: OrderGate = field(default_factory=OrderGate)
    read: tuple[EngineState, GroupRecord, int] | None = None
    seen: EngineState | None = None
    held_since: float | None = None


@dataclass
class Message:
    """A message in flight; ``lose`` notifies the sender that it did not arrive."""

    name: str
    deliver: Callable[[], None]
    lose: Callable[[], None]
    rank: int | None = None
    again: bool = False


class World:
    """All parts that take part in a map change."""

    def __init__(self, fenced: list[bool], margin: int = 2) -> None:
        self.settings = replace(SETTINGS, step_margin=margin)
        self.now = 0.0
        self.store = Store()
        self.group = LockStepGroup(fenced)
        self.agents = [Agent() for _ in range(RANKS)]
        self.coordinators: list[MapCoordinator] = []
        self.messages: list[Message] = []
        self.requests = 0

    def add_coordinator(self) -> None:
        self.coordinators.append(MapCoordinator(len(self.coordinators) + 1, RANKS, self.settings))

    def request(self, number: int) -> None:
        self.requests += 1
        self.coordinators[number].request(f"digest-{self.requests}")

    def act(self, number: int) -> None:
        coordinator = self.coordinators[number]
        for effect in coordinator.decide(self.now):
            match effect:
                case ReadRecord():
                    self._read(coordinator)
                case WriteRecord():
                    self._write(coordinator, effect)
                case SendOrder(rank, content):
                    action = "-".join(str(value) for value in (type(content).__name__, content))
                    order = Order(action, number + 1, content)
                    self._send(coordinator, rank, order)

    def _post(self, message: Message) -> None:
        self.messages.append(message)

    def _read(self, coordinator: MapCoordinator) -> None:
        def serve() -> None:
            record, revision = self.store.record, self.store.revision

            def answer() -> None:
                coordinator.on_record(record, revision)

            self._post(Message("read answer", answer, coordinator.on_read_failed))

        self._post(Message("read", serve, coordinator.on_read_failed))

    def _write(self, coordinator: MapCoordinator, effect: WriteRecord) -> None:
        def lost() -> None:
            coordinator.on_write(effect.record, None)
            late = Message("late write", apply_late, lambda: None)
            self._post(late)

        def apply_late() -> None:
            self.store.write(effect.expected_revision, effect.record)

        def serve() -> None:
            done = self.store.write(effect.expected_revision, effect.record)
            revision = self.store.revision

            def answer() -> None:
                coordinator.on_write(effect.record, done, revision)

            def answer_lost() -> None:
                coordinator.on_write(effect.record, None)

            self._post(Message("write answer", answer, answer_lost))

        self._post(Message("write", serve, lost))

    def _send(self, coordinator: MapCoordinator, rank: int, order: Order) -> None:
        def arrive() -> None:
            agent = self.agents[rank]
            refusal = agent.gate.check(order)
            if refusal is not None:
                transient = refusal.transient
                self._reply(lambda: coordinator.on_refused(rank, transient))
                return
            self._order(rank, order, coordinator)

        self._post(Message("order", arrive, lambda: None, again=True))

    def _reply(self, deliver: Callable[[], None]) -> None:
        self._post(Message("reply", deliver, lambda: None))

    def _order(self, rank: int, order: Order, coordinator: MapCoordinator | None) -> None:
        """Send an order to the engine, as an agent does: state before, gate, state after."""
        if not self.group.ranks[rank].alive:
            return
        agent = self.agents[rank]
        state = self.group.state(rank)
        if not has_effect(order, state):
            self._answer(rank, coordinator)
            return
        if agent.gate.begin(order) is not None:
            return

        def arrive() -> None:
            with contextlib.suppress(OrderRejectedError):
                self.group.apply(rank, order)
            end()

        def end() -> None:
            agent.gate.end()
            if self.agents[rank] is agent:
                self._answer(rank, coordinator)

        self._post(Message("engine order", arrive, end, rank=rank))

    def _answer(self, rank: int, coordinator: MapCoordinator | None) -> None:
        if coordinator is None or not self.group.ranks[rank].alive:
            return
        state = self.group.state(rank)
        self._reply(lambda: coordinator.on_state(rank, state))

    def settle(self, rank: int) -> None:
        """Read the engine's state, then the record; ``settle_act`` acts on both."""
        agent = self.agents[rank]
        if any(message.rank == rank for message in self.messages):
            return
        state = self.group.state(rank)
        self._track_hold(agent, state)

        def serve() -> None:
            agent.read = (state, self.store.record, self.store.revision)

        self._post(Message("settle read", serve, lambda: None))

    def _track_hold(self, agent: Agent, state: EngineState) -> None:
        if state.hold is None:
            agent.held_since = None
        elif agent.held_since is None:
            agent.held_since = self.now

    def settle_act(self, rank: int) -> None:
        """Act on the state and record that ``settle`` read."""
        agent = self.agents[rank]
        if agent.read is None or agent.gate.in_flight is not None:
            return
        state, record, revision = agent.read
        agent.read = None
        hold_timed_out = (
            agent.held_since is not None and self.now - agent.held_since > HOLD_TIMEOUT_S
        )
        match agent.gate.settle(state, record, hold_timed_out):
            case AbortChange(aborted):
                self._post(
                    Message(
                        "abort",
                        lambda: self.store.write(revision, aborted) and None,
                        lambda: None,
                        again=True,
                    )
                )
            case SendEngineOrder(content):
                action = f"settle-{state.epoch}-{content}"
                self._order(rank, Order(action, agent.gate.fencing, content), None)

    def restart_agent(self, rank: int) -> None:
        """Replace an agent that died; the new one starts once the old orders are delivered."""
        for message in [m for m in self.messages if m.rank == rank]:
            self.messages.remove(message)
            message.deliver()
        self.agents[rank] = Agent()

    def deliver_pending(self) -> None:
        pending, self.messages = self.messages, []
        for message in pending:
            message.deliver()

    def step(self) -> bool:
        return self.group.try_step()

    def heal(self) -> None:
        """Run all parts in turn, without faults, until the change ends and the group steps."""
        for number, rank in enumerate(self.group.ranks):
            if not rank.alive:
                self.group.replace(number)
        if not self.coordinators:
            self.add_coordinator()
        steps = self.group.step
        for _ in range(60):
            self._round()
            if self._at_rest() and self.group.step > steps + 10:
                return
        raise InvariantError(f"the change did not end: {self.store.record} {self.group.ranks}")

    def _round(self) -> None:
        self.now += 1.0
        for number in range(len(self.coordinators)):
            self.act(number)
        for rank in range(RANKS):
            self.settle(rank)
        for _ in range(6):
            self.deliver_pending()
            for rank in range(RANKS):
                self.settle_act(rank)
            for number in range(len(self.coordinators)):
                self.act(number)
            self.step()

    def _at_rest(self) -> bool:
        record = self.store.record
        versions = {rank.version_at(self.group.step) for rank in self.group.ranks}
        return (
            record.change is None
            and versions == {record.active}
            and any(coordinator.idle for coordinator in self.coordinators)
        )
