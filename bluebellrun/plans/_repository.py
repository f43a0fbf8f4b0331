"""Keep plans and documents in the key-value service; confirm by one compare-and-swap.

The answer to a write can be lost after the write took effect. Each write here can be told from
its trace in the store, so it is read back and, when there is no trace, made again under the same
conditions: of two copies of one write at most one takes effect.
"""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import curio
from ulid import ULID

from bluebellrun.core import invariants
from bluebellrun.declarations import KINDS, Document, decode_documents, encode_documents
from bluebellrun.plans._assessment import assess_cost, list_notes, list_steps, order_changes
from bluebellrun.plans._basis import find_basis, find_differences
from bluebellrun.plans._exceptions import (
    IntentError,
    PlanConflictError,
    PlanExpiredError,
    PlanNotFoundError,
    PlanUnknownError,
)
from bluebellrun.plans._intents import Intent, describe_intent, wanted_documents
from bluebellrun.plans._models import Change, Plan, decode_plan, encode_plan
from bluebellrun.plans._planner import apply_changes, carry_over, compare_documents, invert
from bluebellrun.store import (
    Compare,
    KeyValueStore,
    PlatformError,
    Put,
    StoreAnswerLostError,
    StoreUnavailableError,
    TransactionResult,
)

RETENTION_S = 7 * 24 * 3_600
DEFAULT_ATTEMPTS = 6
DEFAULT_PAUSE_S = 0.1
PAUSE_GROWTH = 2.0


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """How often a call is tried, and the pause after the first failure in seconds."""

    attempts: int = DEFAULT_ATTEMPTS
    pause_s: float = DEFAULT_PAUSE_S


@dataclass(frozen=True, slots=True)
class StoredConfiguration:
    """The documents in the store and the revision of each kind."""

    documents: tuple[Document, ...]
    revisions: dict[str, int]


class PlanRepository:
    """Make, read, confirm and undo plans."""

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        retries: RetrySettings | None = None,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._retries = retries or RetrySettings()
        self._unix_time = unix_time

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
        self,
        intent: Intent,
        made_by: str = "",
        in_progress: Mapping[str, int] | None = None,
    ) -> Plan:
        """Keep and return the plan of an intent; raise ``IntentError`` when it cannot be."""
        stored = await self.read_configuration()
        wanted = wanted_documents(intent, stored.documents)
        changes = compare_documents(stored.documents, wanted)
        return await self._keep(describe_intent(intent), changes, stored, made_by, in_progress)

    async def renew(self, plan_id: str, made_by: str = "") -> Plan:
        """Keep and return a new plan that carries an older one over to the present documents."""
        old, _ = await self.read_plan(plan_id)
        stored = await self.read_configuration()
        wanted = carry_over(old.changes, stored.documents)
        changes = compare_documents(stored.documents, wanted)
        return await self._keep(old.intent, changes, stored, made_by)

    async def undo(self, plan_id: str, made_by: str = "") -> Plan:
        """Keep and return the plan that takes back what a confirmed plan changed."""
        old, _ = await self.read_plan(plan_id)
        if not old.confirmed:
            raise IntentError(f"plan {plan_id} is not confirmed; there is nothing to undo")
        stored = await self.read_configuration()
        wanted = carry_over(invert(old.changes), stored.documents)
        changes = compare_documents(stored.documents, wanted)
        return await self._keep(f"undo {old.intent}", changes, stored, made_by, undoes=plan_id)

    async def read_plan(self, plan_id: str) -> tuple[Plan, int]:
        """Return a plan and the revision of its record; raise ``PlanNotFoundError``."""
        key = self._plan_key(plan_id)
        item = (await self._store.get(key)).get(key)
        if item is None:
            raise PlanNotFoundError(
                f"there is no plan {plan_id!r}; make one with 'plan' or an intent"
            )
        plan = decode_plan(item.value)
        if plan.confirmed:
            plan = plan.model_copy(update={"confirmed_revision": item.mod_revision})
        return plan, item.mod_revision

    async def list_plans(self) -> list[Plan]:
        """Return all plans that are kept, the oldest first."""
        snapshot = await self._store.read_prefix(f"{self._prefix}/plans/")
        return sorted((decode_plan(item.value) for item in snapshot.items), key=lambda p: p.plan_id)

    async def confirm(self, plan_id: str, confirmed_by: str = "") -> Plan:
        """Put a plan's changes in force; confirming it again has no further effect.

        Raises ``PlanExpiredError``; ``PlanConflictError`` when what it rests on has changed; and
        ``PlanUnknownError`` when the answer was lost and the store stays silent.
        """
        lost = False
        for attempt in range(self._retries.attempts):
            await self._pause(attempt)
            try:
                plan, revision = await self.read_plan(plan_id)
                if plan.confirmed:
                    return plan
                self._refuse_expired(plan, lost)
                result = await self._try_to_confirm(plan, revision, confirmed_by)
            except StoreAnswerLostError:
                lost = True
                continue
            except StoreUnavailableError:
                if not lost:
                    raise
                continue
            if result.succeeded:
                return self._confirmed(plan, confirmed_by, result.revision)
        if lost:
            raise PlanUnknownError(
                f"the store's answers were lost; plan {plan_id} may be in force: "
                f"confirm it again, which has no further effect"
            )
        raise PlanConflictError(plan_id, ["other plans are confirmed without a pause; try again"])

    async def withdraw(self, plan_id: str) -> Plan:
        """Make sure that a plan which is not confirmed never will be."""
        for attempt in range(self._retries.attempts):
            await self._pause(attempt)
            plan, revision = await self.read_plan(plan_id)
            if plan.confirmed:
                raise IntentError(f"plan {plan_id} is in force; take it back with 'undo'")
            if plan.withdrawn:
                return plan
            withdrawn = plan.model_copy(update={"withdrawn": True})
            put = Put(self._plan_key(plan_id), encode_plan(withdrawn), plan.lease)
            try:
                await self._store.transact([Compare(put.key, revision)], [put])
            except StoreAnswerLostError:
                continue
        raise PlanUnknownError(f"whether plan {plan_id} is withdrawn is not known; try again")

    async def _try_to_confirm(self, plan: Plan, revision: int, operator: str) -> TransactionResult:
        """Write a plan's changes if nothing has changed since the documents were read."""
        stored = await self.read_configuration()
        differences = find_differences(plan, stored.documents)
        if differences:
            raise PlanConflictError(plan.plan_id, differences)
        done = plan.model_copy(update={"confirmed": True, "confirmed_by": operator})
        documents = apply_changes(stored.documents, plan.changes)
        plan_key = self._plan_key(plan.plan_id)
        compares = [Compare(self._config_key(kind), stored.revisions[kind]) for kind in KINDS]
        compares.append(Compare(plan_key, revision))
        puts = [Put(plan_key, encode_plan(done), plan.lease)]
        puts += [
            Put(self._config_key(kind), encode_documents(kind, documents)) for kind in plan.kinds
        ]
        return await self._store.transact(compares, puts)

    def _confirmed(self, plan: Plan, operator: str, revision: int) -> Plan:
        """Return a plan as it stands after its confirmation."""
        invariants.check(not plan.withdrawn, "a withdrawn plan stays out", plan=plan.plan_id)
        update = {"confirmed": True, "confirmed_by": operator, "confirmed_revision": revision}
        return plan.model_copy(update=update)

    def _refuse_expired(self, plan: Plan, lost: bool) -> None:
        """Refuse a plan past its time, unless a write of it may be on its way already."""
        if plan.withdrawn:
            raise PlanExpiredError(f"plan {plan.plan_id} was withdrawn; make a new one")
        if not lost and plan.expired(self._unix_time()):
            raise PlanExpiredError(f"plan {plan.plan_id} is no longer good; make a new one")

    async def _keep(
        self,
        intent: str,
        changes: list[Change],
        stored: StoredConfiguration,
        made_by: str,
        in_progress: Mapping[str, int] | None = None,
        undoes: str = "",
    ) -> Plan:
        """Assess changes and keep them as a plan."""
        ordered = order_changes(changes)
        plan = Plan(
            plan_id=str(ULID()).lower(),
            intent=intent,
            base=stored.revisions,
            changes=ordered,
            created_at=self._unix_time(),
            steps=list_steps(ordered),
            cost=assess_cost(stored.documents, ordered, in_progress),
            rests_on=find_basis(ordered, stored.documents),
            notes=list_notes(stored.documents, ordered),
            made_by=made_by,
            undoes=undoes,
        )
        self._refuse_invalid(plan, stored)
        await self._create(plan)
        return plan

    def _refuse_invalid(self, plan: Plan, stored: StoredConfiguration) -> None:
        """Refuse a plan that could not be confirmed even now, and one that is too large."""
        differences = find_differences(plan, stored.documents)
        if differences:
            raise IntentError("the documents would not fit together: " + "; ".join(differences))
        documents = apply_changes(stored.documents, plan.changes)
        for kind in plan.kinds:
            encode_documents(kind, documents)

    async def _create(self, plan: Plan) -> None:
        """Write a plan's record, which ends by its lease after a week."""
        key = self._plan_key(plan.plan_id)
        error: PlatformError | None = None
        for attempt in range(self._retries.attempts):
            await self._pause(attempt)
            try:
                lease = await self._store.grant_lease(RETENTION_S)
                data = encode_plan(plan.model_copy(update={"lease": lease}))
                result = await self._store.transact([Compare(key, 0)], [Put(key, data, lease)])
            except StoreAnswerLostError as lost:
                error = lost
                continue
            if result.succeeded or error is not None:
                return
            raise IntentError(f"plan {plan.plan_id} exists already; ask again")
        raise PlanUnknownError(f"whether the plan was kept is not known ({error}); ask again")

    async def _pause(self, attempt: int) -> None:
        """Wait before another try, longer each time."""
        if attempt:
            await curio.sleep(self._retries.pause_s * PAUSE_GROWTH ** (attempt - 1))

    def _plan_key(self, plan_id: str) -> str:
        """Return the key of a plan."""
        return f"{self._prefix}/plans/{plan_id}"

    def _config_key(self, kind: str) -> str:
        """Return the key of a kind's documents."""
        return f"{self._prefix}/config/{kind}"
