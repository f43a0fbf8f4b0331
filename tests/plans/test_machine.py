"""Operators race each other while the store loses answers: a machine over the plans."""

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from bluebellrun.declarations import check_documents
from bluebellrun.plans import (
    Declare,
    Drain,
    Intent,
    PlanConflictError,
    PlanError,
    PlanRepository,
    PlanUnknownError,
    Rebalance,
    RetrySettings,
    SetShare,
    Undrain,
)
from bluebellrun.store import StoreUnavailableError
from bluebellrun.upstreams import UpstreamState
from tests.plans._store import APPLIED, DOWN, DROPPED, MemoryStore
from tests.plans.test_repository import documents

UPSTREAMS = ("u-1", "u-2", "u-3")
INTENTS = st.one_of(
    st.builds(Drain, st.lists(st.sampled_from(UPSTREAMS), min_size=1, unique=True).map(tuple)),
    st.builds(Undrain, st.lists(st.sampled_from(UPSTREAMS), min_size=1, unique=True).map(tuple)),
    st.builds(SetShare, st.just("board"), st.sampled_from([1.0, 2.0, 3.0])),
    st.just(Rebalance("g")),
)


class RacingOperators(RuleBasedStateMachine):
    """Confirmations are told truthfully, and each plan takes effect at most once."""

    plans = Bundle("plans")

    def __init__(self) -> None:
        super().__init__()
        self.store = MemoryStore()
        self.repository = PlanRepository(self.store, "/x", RetrySettings(3, 0.0), lambda: 1_000.0)
        first = curio.run(self.repository.make_plan, Declare("all", tuple(documents())))
        curio.run(self.repository.confirm, first.plan_id)
        self.told_in_force: dict[str, int] = {}

    @rule(target=plans, intent=INTENTS)
    def plan(self, intent: Intent) -> str:
        return str(curio.run(self.repository.make_plan, intent).plan_id)

    @rule(target=plans, plan=plans)
    def renew(self, plan: str) -> str:
        return str(curio.run(self.repository.renew, plan).plan_id)

    @rule(
        plan=plans,
        faults=st.lists(st.sampled_from(["", APPLIED, DROPPED]), max_size=4),
        reads=st.lists(st.sampled_from(["", "", DOWN]), max_size=6),
    )
    def confirm(self, plan: str, faults: list[str], reads: list[str]) -> None:
        was_confirmed = self.confirmed(plan)
        self.store.faults, self.store.read_faults = faults, reads
        try:
            done = curio.run(self.repository.confirm, plan)
            revision = self.told_in_force.setdefault(plan, done.confirmed_revision)
            assert done.confirmed_revision == revision
        except PlanUnknownError:
            pass
        except StoreUnavailableError:
            self.store.faults, self.store.read_faults = [], []
            assert self.confirmed(plan) == was_confirmed
        except PlanConflictError:
            self.store.faults, self.store.read_faults = [], []
            assert not self.confirmed(plan)
        except PlanError:
            self.store.faults, self.store.read_faults = [], []
            assert not self.confirmed(plan)
        finally:
            self.store.faults, self.store.read_faults = [], []

    @rule(plan=plans)
    def withdraw(self, plan: str) -> None:
        try:
            curio.run(self.repository.withdraw, plan)
        except PlanError:
            assert self.confirmed(plan)

    def confirmed(self, plan: str) -> bool:
        return bool(curio.run(self.repository.read_plan, plan)[0].confirmed)

    @invariant()
    def rebalancing_was_ordered_once_for_each_plan_in_force(self) -> None:
        kept = curio.run(self.repository.list_plans)
        ordered = sum(
            plan.confirmed and plan.intent == "rebalance g" and bool(plan.changes) for plan in kept
        )
        stored = curio.run(self.repository.read_configuration)
        group = next(item for item in stored.documents if item.name == "g")
        assert group.rebalance == ordered  # type: ignore[attr-defined]

    @invariant()
    def the_newest_plan_in_force_shows_in_the_documents(self) -> None:
        kept = curio.run(self.repository.list_plans)
        in_force = [
            curio.run(self.repository.read_plan, plan.plan_id)[0] for plan in kept if plan.confirmed
        ]
        newest = max(in_force, key=lambda plan: plan.confirmed_revision)
        stored = curio.run(self.repository.read_configuration)
        present = {
            (item.kind, item.name): item.model_dump(mode="json") for item in stored.documents
        }
        for change in newest.changes:
            assert present.get((change.kind, change.name)) == change.after

    @invariant()
    def documents_always_fit_together(self) -> None:
        stored = curio.run(self.repository.read_configuration)
        assert check_documents(stored.documents) == []
        states = [getattr(item, "state", None) for item in stored.documents]
        assert sum(state in tuple(UpstreamState) for state in states) == len(UPSTREAMS)


TestRacingOperators = RacingOperators.TestCase
TestRacingOperators.settings = settings(
    max_examples=settings().max_examples // 4, stateful_step_count=20
)
