"""Groups of fake ranks behind the calls that a manager of expert maps makes."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import curio

from bluebellrun.core import MonotonicClock, parse_address
from bluebellrun.deployment import ExpertTerms
from bluebellrun.expert_maps import OrderReply, RankCallError, RankReplacedError, RecordedGroups
from bluebellrun.gateway import RecordWritten, Upstream, UpstreamDirectory
from bluebellrun.leases import RoleLease
from bluebellrun.placement import PrepareMap, RankCounts, RankOrder, RankState
from bluebellrun.routing import GroupTable
from standins.platform import DirectStore
from standins.users_platform._group import FakeGroup

SERVICE = "chat"
TERMS = ExpertTerms(layers=2, experts=8, slots=4, most_new=2, copy_bytes=1.0, share=0.85)
PREFIX = "p/groups/"
# Numbers of group roles from here on are those of a second acquisition.
NEXT_NUMBERS = 1000
PASS_S = 0.005
CHOICES_PER_S = 40_000


class MemoryView:
    """The records of a store in memory, without delay."""

    def __init__(self, store: DirectStore) -> None:
        self.confirmed_at: float | None = 0.0
        self._store = store

    def record(self, key: str) -> RecordWritten | None:
        found = self._store.memory.select(key.encode(), None)
        if not found:
            return None
        record = found[0][1]
        era = self._store.era
        return RecordWritten(key, record.value, record.mod_revision, record.create_revision, era)

    def records_below(self, prefix: str) -> list[RecordWritten]:
        keys = [key.decode() for key, _ in self._store.memory.select(b"", b"\0")]
        found = [self.record(key) for key in keys if key.startswith(prefix)]
        return [item for item in found if item is not None]


@dataclass
class FakeRanks:
    """Ranks by instance; ``broken`` are groups that are not formed, ``silent`` never answer.

    Other experts become the busiest each ``shift_s``.
    """

    directory: UpstreamDirectory = field(default_factory=UpstreamDirectory)
    groups: dict[str, FakeGroup] = field(default_factory=dict)
    ranks: dict[str, tuple[str, int]] = field(default_factory=dict)
    broken: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    replaced: set[str] = field(default_factory=set)
    orders: list[tuple[str, RankOrder, int]] = field(default_factory=list)
    asked: list[str] = field(default_factory=list)
    born: dict[str, int] = field(default_factory=dict)
    shift_s: float = 0.0
    chosen: dict[str, tuple[float, list[int]]] = field(default_factory=dict)
    began: float = field(default_factory=time.monotonic)
    store: DirectStore = field(default_factory=lambda: DirectStore(MonotonicClock()))
    table: GroupTable = field(default_factory=GroupTable)

    def __post_init__(self) -> None:
        self.view = MemoryView(self.store)
        self.recorded = RecordedGroups(self.view, PREFIX, self.table)

    def add_group(self, name: str, size: int) -> None:
        """Add a formed group with upstreams of its own."""
        self.groups[name] = FakeGroup(size, Random(name))
        for rank in range(size):
            self.add_rank(f"{name}{rank}", name, rank)

    def add_rank(self, instance: str, group: str, rank: int, address: str | None = None) -> None:
        """Register an upstream that is a rank of a group."""
        self.ranks[instance] = (group, rank)
        number = len(self.ranks)
        where = parse_address(address or f"10.0.{number // 200}.{number % 200 + 1}:80")
        self.directory.put(Upstream(instance, SERVICE, where, "a", slots=6))

    async def passes(self) -> None:
        """Begin passes of the formed groups until cancelled."""
        while True:
            await curio.sleep(PASS_S)
            for name, group in self.groups.items():
                if name not in self.broken:
                    group.begin_pass()

    def active(self, name: str) -> set[int]:
        """Return the map versions in use in a group."""
        return {state.active for state in self.groups[name].states.values()}

    async def state(self, upstream: Upstream) -> RankState | None:
        self.asked.append(upstream.instance)
        group, rank = await self._find(upstream)
        state = self.groups[group].states[rank]
        born = self.born.get(upstream.instance, 1)
        return replace(state, group=group, born=born, is_open=group not in self.broken)

    async def counts(self, upstream: Upstream, rank: int) -> RankCounts:
        group, own = await self._find(upstream)
        # Two experts of each layer get most of the choices.
        now = time.monotonic()
        read_at, before = self.chosen.get(upstream.instance, (self.began, [0] * TERMS.experts))
        choices = int((now - read_at) * CHOICES_PER_S)
        busiest = int((now - self.began) / self.shift_s) if self.shift_s else 0
        gained = [choices, choices // 2] + [choices // 16] * (TERMS.experts - 2)
        layer = [
            count + gained[(expert - busiest) % TERMS.experts]
            for expert, count in enumerate(before)
        ]
        self.chosen[upstream.instance] = (now, layer)
        counts = layer * TERMS.layers
        state = self.groups[group].states[own]
        return RankCounts(rank, state.epoch, state.born, tuple(counts), state.step)

    async def placement_held(self, upstream: Upstream) -> list[frozenset[int]]:
        group, rank = await self._find(upstream)
        placement: Any = self.groups[group].maps[rank][self.groups[group].states[rank].active]
        return [layer[rank] for layer in placement.layers]

    async def send_order(
        self, upstream: Upstream, order: RankOrder, epoch: int, fencing: int
    ) -> OrderReply:
        group, rank = await self._find(upstream)
        self.orders.append((upstream.instance, order, fencing))
        fake = self.groups[group]
        if epoch != fake.states[rank].epoch:
            return OrderReply.CONFLICT
        match fake.send_order(rank, order, fencing):
            case "accepted":
                prepared = isinstance(order, PrepareMap)
                return OrderReply.DONE if prepared else OrderReply.ACCEPTED
            case "fenced":
                return OrderReply.FENCED
            case "conflict":
                return OrderReply.CONFLICT
            case _:
                raise RankCallError("no answer")

    async def forget(self, instance: str) -> None:
        return

    async def _find(self, upstream: Upstream) -> tuple[str, int]:
        """Return an upstream's group and rank, as if it had been called."""
        if upstream.instance in self.replaced:
            raise RankReplacedError("another upstream has the address")
        found = self.ranks.get(upstream.instance)
        if found is None or found[0] in self.silent or upstream.instance in self.silent:
            await curio.sleep(0.3)
            raise RankCallError("no answer")
        return found


class FakeRole:
    """A role that this process holds, or not."""

    def __init__(self, number: int | None = 7) -> None:
        self.number = number

    def lease(self) -> RoleLease | None:
        return None if self.number is None else RoleLease("placement", "me", self.number, 1e9)

    async def mark_fenced(self, number: int) -> None:
        """Acquire a higher number, as after the role was released."""
        self.number = number + 1


class FakeRoles:
    """Roles of recorded groups; this process holds all of them along with the placement role."""

    def __init__(self, placement: FakeRole) -> None:
        self._placement = placement
        self.roles: dict[tuple[str, str], FakeRole] = {}

    def get(self, group: tuple[str, str]) -> FakeRole | None:
        return self.roles.get(group)

    async def follow(self, groups: Any, is_changing: Any) -> None:
        for group in groups:
            role = self.roles.setdefault(group, FakeRole(100 + 100 * len(self.roles)))
            if self._placement.number is None:
                role.number = None
            elif role.number is None:
                role.number = NEXT_NUMBERS + 100 * len(self.roles)


async def wait_until(condition: Callable[[], bool], timeout_s: float = 8.0) -> None:
    """Wait until a condition holds; fail after the timeout."""
    until = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until, "the condition did not come to hold"
        await curio.sleep(0.01)
