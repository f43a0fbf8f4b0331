"""Actions other than map changes: orders for versions, adapters and roles, each run once."""

import curio

from bluebellrun.coordinator._agents import AgentLinks
from bluebellrun.coordinator._exceptions import (
    AgentUnreachableError,
    CoordinatorError,
    RoleLostError,
)
from bluebellrun.coordinator._maps import RoleSource
from bluebellrun.core import Address, Clock
from bluebellrun.groups import (
    ActionRecord,
    EngineOrder,
    Order,
    action_key,
    decode_action,
    encode_action,
)
from bluebellrun.leases import LeaseLostError, RoleLease
from bluebellrun.store import (
    Compare,
    KeyValueStore,
    PlatformError,
    Put,
    StoreAnswerLostError,
)

POLL_INTERVAL_S = 0.2


class ActionRunner:
    """Runs actions on engines while a role is held.

    The record is written before the order is sent. A coordinator that finds an unsettled record
    resumes that action, under the same id, before it starts its own.
    """

    def __init__(
        self, prefix: str, role: RoleSource, store: KeyValueStore, links: AgentLinks, clock: Clock
    ) -> None:
        self._prefix = prefix
        self._role = role
        self._store = store
        self._links = links
        self._clock = clock

    async def run(
        self, upstream: str, agent: Address, action: str, content: EngineOrder
    ) -> ActionRecord:
        """Run one action and return its settled record.

        An earlier action that is not settled is resumed first. Raises ``RoleLostError`` when the
        role is lost; the next holder resumes the action from its record.
        """
        requested = ActionRecord(Order(action, self._lease().number, content))
        while True:
            record, revision = await self._read(upstream)
            if record is not None and not record.settled:
                await self._finish(upstream, agent, record, revision)
            elif record is not None and record.order.action == action:
                return record
            else:
                await self._write(upstream, requested, revision)

    async def resume(self, upstream: str, agent: Address) -> ActionRecord | None:
        """Resume an action that another coordinator left unsettled; return its record, if any."""
        while True:
            record, revision = await self._read(upstream)
            if record is None or record.settled:
                return record
            await self._finish(upstream, agent, record, revision)

    def _lease(self) -> RoleLease:
        """Return the lease; raise ``RoleLostError`` when the role is lost."""
        lease = self._role.current(self._clock.now())
        if lease is None:
            raise RoleLostError("the role is not held")
        return lease

    async def _finish(
        self, upstream: str, agent: Address, record: ActionRecord, revision: int
    ) -> None:
        """Make one attempt to settle an action whose order may already have been sent."""
        lease = self._lease()
        if record.order.fencing > lease.number:
            raise RoleLostError(f"fencing number {record.order.fencing} is newer")
        if record.order.fencing < lease.number:
            await self._write(upstream, record.taken_over(lease.number), revision)
            return
        try:
            lease.check(self._clock.now())
            reply = await self._links.send_order(agent, record.order)
        except LeaseLostError as error:
            raise RoleLostError(str(error)) from error
        except AgentUnreachableError:
            await curio.sleep(POLL_INTERVAL_S)
            return
        if reply.refusal and not reply.passing:
            raise RoleLostError(f"{upstream}: {reply.refusal}")
        after = record.with_engine_state(reply.state, reply.failure)
        if after.settled:
            await self._write(upstream, after, revision)
        else:
            await curio.sleep(POLL_INTERVAL_S)

    async def _read(self, upstream: str) -> tuple[ActionRecord | None, int]:
        """Return an engine's record and its revision."""
        key = action_key(self._prefix, upstream)
        try:
            item = (await self._store.get(key)).get(key)
        except PlatformError as error:
            raise CoordinatorError(f"the record of {upstream} cannot be read: {error}") from error
        return (None, 0) if item is None else (decode_action(item.value), item.mod_revision)

    async def _write(self, upstream: str, record: ActionRecord, revision: int) -> None:
        """Write an engine's record unless it or the role's holder has changed.

        The caller reads the record afterwards, so a lost answer is ignored.
        """
        key = action_key(self._prefix, upstream)
        compares = [Compare(key, revision), Compare(self._role.key, record.order.fencing)]
        try:
            await self._store.transact(compares, [Put(key, encode_action(record))])
        except StoreAnswerLostError:
            return
        except PlatformError as error:
            raise CoordinatorError(f"the record of {upstream} is not written: {error}") from error
