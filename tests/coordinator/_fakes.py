"""In-memory fakes of the store, a role and agents."""

from bluebellrun.coordinator._exceptions import AgentUnreachableError
from bluebellrun.core import Address, MonotonicClock
from bluebellrun.groups import Order, has_effect
from bluebellrun.leases import RoleLease
from bluebellrun.messages import OrderReply
from bluebellrun.store import KeyValue, Snapshot, StoreAnswerLostError, TransactionResult
from standins.engine._group import LockStepGroup, OrderRejectedError

CLOCK = MonotonicClock()
ROLE_KEY = "/p/roles/group-g"
AGENTS = [Address("127.0.0.1", port) for port in (1, 2, 3)]


class MemoryStore:
    """A store that loses the answers to the writes numbered in ``lost`` after applying them."""

    def __init__(self) -> None:
        self.items: dict[str, KeyValue] = {}
        self.revision = 0
        self.writes = 0
        self.lost: set[int] = set()

    async def get(self, key: str) -> Snapshot:
        found = self.items.get(key)
        return Snapshot(() if found is None else (found,), self.revision)

    async def transact(self, compares, puts) -> TransactionResult:
        self.writes += 1
        done = all(self._revision(item.key) == item.mod_revision for item in compares)
        if done:
            self.revision += 1
            for put in puts:
                self.items[put.key] = KeyValue(put.key, put.value, self.revision)
        if self.writes in self.lost:
            raise StoreAnswerLostError("the answer was lost")
        return TransactionResult(done, self.revision)

    def _revision(self, key: str) -> int:
        found = self.items.get(key)
        return 0 if found is None else found.mod_revision


class Role:
    """A role that is held until the test clears ``lease``."""

    def __init__(self, store: MemoryStore, holder: str) -> None:
        store.revision += 1
        store.items[ROLE_KEY] = KeyValue(ROLE_KEY, holder.encode(), store.revision)
        self.lease: RoleLease | None = RoleLease("g", holder, store.revision, CLOCK.now() + 60)

    @property
    def key(self) -> str:
        return ROLE_KEY

    def current(self, now: float) -> RoleLease | None:
        return self.lease


class Links:
    """Fake agents that apply orders directly to a ``LockStepGroup``."""

    def __init__(self, group: LockStepGroup) -> None:
        self.group = group
        self.unanswered = 0
        self.before_order = None

    async def send_order(self, agent: Address, order: Order | None) -> OrderReply:
        rank = AGENTS.index(agent)
        if self.before_order is not None:
            self.before_order()
        failure = ""
        if order is not None and has_effect(order, self.group.state(rank)):
            try:
                self.group.apply(rank, order)
            except OrderRejectedError as error:
                failure = str(error)
        if self.unanswered > 0:
            self.unanswered -= 1
            raise AgentUnreachableError("the link broke")
        return OrderReply(self.group.state(rank), failure=failure)
