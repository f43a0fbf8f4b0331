"""Keep plans and documents in the key-value service; confirm by one compare-and-swap."""

import time
from dataclasses import dataclass

from ulid import ULID

from bluebellrun.declarations import KINDS, Document, decode_documents, encode_documents
from bluebellrun.plans._exceptions import PlanConflictError, PlanExpiredError, PlanNotFoundError
from bluebellrun.plans._models import Change, Plan, decode_plan, encode_plan
from bluebellrun.plans._planner import apply_changes
from bluebellrun.platform import Compare, KeyValueStore, Put, StoreAnswerLostError


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The documents in the store and the revision of each kind."""

    documents: tuple[Document, ...]
    revisions: dict[str, int]


class PlanRepository:
    """Make, read and confirm plans."""

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        self._store = store
        self._prefix = prefix

    async def read_configuration(self) -> StoredConfiguration:
        """Return the documents that are accepted now."""
        snapshot = await self._store.read_prefix(f"{self._prefix}/config/")
        documents: list[Document] = []
        revisions = dict.fromkeys(KINDS, 0)
        for item in snapshot.items:
            documents += decode_documents(item.value)
            revisions[item.key.rpartition("/")[2]] = item.mod_revision
        return StoredConfiguration(tuple(documents), revisions)

    async def make_plan(
        self, intent: str, changes: list[Change], base: dict[str, int], notes: list[str]
    ) -> Plan:
        """Keep and return a plan with these changes."""
        plan = Plan(
            plan_id=str(ULID()).lower(),
            intent=intent,
            base=base,
            changes=changes,
            created_at=time.time(),
            notes=notes,
        )
        await self._store.transact([], [Put(self._plan_key(plan.plan_id), encode_plan(plan))])
        return plan

    async def read_plan(self, plan_id: str) -> tuple[Plan, int]:
        """Return a plan and the revision of its record; raise ``PlanNotFoundError``."""
        key = self._plan_key(plan_id)
        item = (await self._store.get(key)).get(key)
        if item is None:
            raise PlanNotFoundError(
                f"there is no plan {plan_id!r}; make one with 'plan' or an intent"
            )
        return decode_plan(item.value), item.mod_revision

    async def confirm(self, plan_id: str) -> Plan:
        """Put a plan's changes in force; confirming it again has no further effect.

        Raises ``PlanExpiredError``, or ``PlanConflictError`` when another operator was first.
        """
        plan, plan_revision = await self.read_plan(plan_id)
        if plan.confirmed:
            return plan
        if plan.expired(time.time()):
            raise PlanExpiredError(f"plan {plan_id} is no longer good; make a new one")
        stored = await self.read_configuration()
        compares = [Compare(self._config_key(kind), plan.base[kind]) for kind in plan.base]
        compares.append(Compare(self._plan_key(plan_id), plan_revision))
        done = plan.model_copy(update={"confirmed": True})
        puts = [Put(self._plan_key(plan_id), encode_plan(done))]
        documents = apply_changes(stored.documents, plan.changes)
        for kind in plan.kinds:
            puts.append(Put(self._config_key(kind), encode_documents(kind, documents)))
        try:
            result = await self._store.transact(compares, puts)
        except StoreAnswerLostError:
            return await self._settle(plan_id)
        if not result.succeeded:
            return await self._settle(plan_id)
        return done

    async def _settle(self, plan_id: str) -> Plan:
        """Read back whether a plan has been confirmed; raise ``PlanConflictError`` if not."""
        plan, _ = await self.read_plan(plan_id)
        if plan.confirmed:
            return plan
        raise PlanConflictError(
            f"the configuration changed since plan {plan_id} was made; make a new plan"
        )

    def _plan_key(self, plan_id: str) -> str:
        """Return the key of a plan."""
        return f"{self._prefix}/plans/{plan_id}"

    def _config_key(self, kind: str) -> str:
        """Return the key of a kind's documents."""
        return f"{self._prefix}/config/{kind}"
