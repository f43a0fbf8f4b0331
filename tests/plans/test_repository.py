import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.customers import hash_key
from bluebellrun.declarations import (
    CustomerDocument,
    DeclarationError,
    ModelGroupDocument,
    ModelVersionDocument,
    ServiceDocument,
    UpstreamDocument,
)
from bluebellrun.plans import (
    Declare,
    Drain,
    Hold,
    IntentError,
    PlanConflictError,
    PlanExpiredError,
    PlanNotFoundError,
    PlanRepository,
    PlanUnknownError,
    Rebalance,
    RetrySettings,
    SetShare,
    Shift,
    Undrain,
)
from bluebellrun.store import Put, StoreUnavailableError
from bluebellrun.upstreams import Protocol, UpstreamState
from tests.plans._store import APPLIED, DOWN, DROPPED, MemoryStore


def upstream(number: int, **fields: object) -> UpstreamDocument:
    base = {"name": f"u-{number}", "service": "pool", "agent": f"10.0.0.{number}:1"}
    return UpstreamDocument.model_validate(base | fields)


def documents() -> list:
    return [
        CustomerDocument(name="board", key_hashes=[hash_key("k")]),
        ServiceDocument(name="pool", protocol=Protocol.MODEL, models=["m"]),
        ModelVersionDocument(name="m-1", model="m", weights="m/1", weights_bytes=1_000),
        ModelVersionDocument(name="m-2", model="m", weights="m/2", weights_bytes=1_000),
        ModelVersionDocument(name="n-1", model="n", weights="n/1", weights_bytes=1_000),
        ModelGroupDocument(name="g", service="pool", ranks=2, version="m-1"),
        upstream(1, group="g", rank=0),
        upstream(2, group="g", rank=1),
        upstream(3),
    ]


class Clock:
    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> float:
        return self.now


def make() -> tuple[MemoryStore, PlanRepository, Clock]:
    store, clock = MemoryStore(), Clock()
    repository = PlanRepository(store, "/x", RetrySettings(4, 0.0), clock)
    plan = curio.run(repository.make_plan, Declare("all", tuple(documents())))
    curio.run(repository.confirm, plan.plan_id)
    return store, repository, clock


def current(repository: PlanRepository) -> dict:
    stored = curio.run(repository.read_configuration)
    return {(item.kind, item.name): item for item in stored.documents}


def state(repository: PlanRepository, number: int) -> UpstreamState:
    return current(repository)[("upstream", f"u-{number}")].state


def test_a_plan_changes_nothing_before_it_is_confirmed():
    _, repository, _ = make()
    plan = curio.run(repository.make_plan, Drain(("u-1",)))
    assert state(repository, 1) is UpstreamState.ACTIVE
    curio.run(repository.confirm, plan.plan_id)
    assert state(repository, 1) is UpstreamState.DRAINING


def test_a_plan_says_order_cost_and_what_it_rests_on():
    _, repository, _ = make()
    plan = curio.run(repository.make_plan, Drain(("u-1",)), "ann", {"u-1": 4, "u-2": 9})
    assert plan.made_by == "ann"
    assert plan.cost.requests_affected == 4
    (capacity,) = plan.cost.capacity
    assert (capacity.before, capacity.meanwhile, capacity.after) == (3, 2, 2)
    assert {(basis.kind, basis.name) for basis in plan.rests_on} == {
        ("service", "pool"),
        ("model-group", "g"),
        ("active upstreams of service", "pool"),
    }
    assert "refuse new work" in plan.steps[1]


def test_a_shift_counts_the_weights_and_the_capacity_lost_meanwhile():
    _, repository, _ = make()
    plan = curio.run(repository.make_plan, Shift("g", "m-2"))
    assert plan.cost.weights_moved_bytes == 1_000
    assert plan.cost.capacity[0].meanwhile == 2
    curio.run(repository.confirm, plan.plan_id)
    group = current(repository)[("model-group", "g")]
    assert (group.version, group.previous_version) == ("m-2", "m-1")


def test_a_rebalance_is_ordered_anew_each_time_and_counts_its_limit():
    _, repository, _ = make()
    for serial in (1, 2):
        plan = curio.run(repository.make_plan, Rebalance("g", 300))
        assert plan.cost.weights_moved_bytes == 300
        curio.run(repository.confirm, plan.plan_id)
        assert current(repository)[("model-group", "g")].rebalance == serial


@pytest.mark.parametrize(
    ("intent", "expected"),
    [
        (Drain(("u-9",)), "declared are: u-1, u-2, u-3"),
        (Shift("g", "n-1"), "choose a version of 'm'"),
        (Shift("g", "m-9"), "m-9"),
        (SetShare("board", 0.0), "above 0"),
        (SetShare("nobody", 1.0), "nobody"),
        (Hold("h", True), "'h' is not declared"),
    ],
)
def test_an_intent_that_cannot_be_is_refused_with_the_way_out(intent, expected):
    _, repository, _ = make()
    with pytest.raises(IntentError, match=expected):
        curio.run(repository.make_plan, intent)


def test_a_share_of_one_service_is_added_then_changed():
    _, repository, _ = make()
    for weight in (2.0, 3.0):
        plan = curio.run(repository.make_plan, SetShare("board", weight, "pool"))
        curio.run(repository.confirm, plan.plan_id)
    shares = [item for (kind, _), item in current(repository).items() if kind == "share"]
    assert [item.weight for item in shares] == [3.0]


def test_of_two_operators_on_one_document_one_wins_and_the_other_sees_the_difference():
    _, repository, _ = make()
    first = curio.run(repository.make_plan, SetShare("board", 2.0))
    second = curio.run(repository.make_plan, SetShare("board", 5.0))
    curio.run(repository.confirm, first.plan_id)
    with pytest.raises(PlanConflictError) as caught:
        curio.run(repository.confirm, second.plan_id)
    assert caught.value.differences == ["customer board changed: share: 1.0 -> 2.0"]
    renewed = curio.run(repository.renew, second.plan_id)
    assert renewed.changes[0].describe() == "change customer board: share: 2.0 -> 5.0"
    curio.run(repository.confirm, renewed.plan_id)
    assert current(repository)[("customer", "board")].share == 5.0


def test_two_operators_cannot_each_drain_the_half_that_the_other_counts_on():
    _, repository, _ = make()
    first = curio.run(repository.make_plan, Drain(("u-1", "u-2")))
    second = curio.run(repository.make_plan, Drain(("u-3",)))
    curio.run(repository.confirm, first.plan_id)
    with pytest.raises(PlanConflictError, match="active upstreams of service pool changed"):
        curio.run(repository.confirm, second.plan_id)
    renewed = curio.run(repository.renew, second.plan_id)
    assert renewed.notes == ["service pool will have no upstream that takes work"]


def test_a_plan_is_not_disturbed_by_changes_it_does_not_rest_on():
    _, repository, _ = make()
    plan = curio.run(repository.make_plan, Drain(("u-1",)))
    other = curio.run(repository.make_plan, SetShare("board", 2.0))
    curio.run(repository.confirm, other.plan_id)
    curio.run(repository.confirm, plan.plan_id)
    assert state(repository, 1) is UpstreamState.DRAINING
    assert current(repository)[("customer", "board")].share == 2.0


def test_a_renewed_plan_keeps_the_fields_that_another_operator_changed():
    _, repository, _ = make()
    plan = curio.run(repository.make_plan, Drain(("u-1",)))
    moved = [upstream(1, group="g", rank=0, host="new"), *documents()[:6], *documents()[7:]]
    other = curio.run(repository.make_plan, Declare("all", tuple(moved)))
    curio.run(repository.confirm, other.plan_id)
    with pytest.raises(PlanConflictError, match="host"):
        curio.run(repository.confirm, plan.plan_id)
    renewed = curio.run(repository.renew, plan.plan_id)
    curio.run(repository.confirm, renewed.plan_id)
    document = current(repository)[("upstream", "u-1")]
    assert (document.host, document.state) == ("new", UpstreamState.DRAINING)


def test_a_removal_that_strands_another_operators_document_is_refused():
    _, repository, _ = make()
    without = tuple(item for item in documents() if item.name != "n-1")
    plan = curio.run(repository.make_plan, Declare("less", without))
    group = ModelGroupDocument(name="h", service="pool", ranks=1, version="n-1")
    other = curio.run(repository.make_plan, Declare("more", (*documents(), group)))
    curio.run(repository.confirm, other.plan_id)
    with pytest.raises(PlanConflictError, match="'n-1' is not declared"):
        curio.run(repository.confirm, plan.plan_id)


def test_confirming_again_has_no_further_effect():
    store, repository, _ = make()
    plan = curio.run(repository.make_plan, Rebalance("g"))
    first = curio.run(repository.confirm, plan.plan_id)
    writes = store.writes
    again = curio.run(repository.confirm, plan.plan_id)
    assert again.confirmed_revision == first.confirmed_revision == store.revision
    assert store.writes == writes


def test_a_write_between_reading_and_confirming_is_not_lost():
    store, repository, _ = make()
    plan = curio.run(repository.make_plan, SetShare("board", 2.0))
    drain = curio.run(repository.make_plan, Drain(("u-1",)))
    curio.run(repository.confirm, drain.plan_id)
    late = [store.values["/x/config/upstream"]]
    store.before_write.append([Put(item.key, item.value) for item in late])
    curio.run(repository.confirm, plan.plan_id)
    assert current(repository)[("customer", "board")].share == 2.0
    assert state(repository, 1) is UpstreamState.DRAINING


@pytest.mark.parametrize("fault", [APPLIED, DROPPED])
def test_a_lost_answer_is_settled_by_reading_back(fault):
    store, repository, _ = make()
    plan = curio.run(repository.make_plan, Rebalance("g"))
    store.faults = [fault]
    done = curio.run(repository.confirm, plan.plan_id)
    assert done.confirmed
    assert current(repository)[("model-group", "g")].rebalance == 1


def test_a_lost_read_back_is_tried_again():
    store, repository, _ = make()
    plan = curio.run(repository.make_plan, Rebalance("g"))
    store.faults = [APPLIED]
    store.read_faults = ["", "", DOWN, DOWN]
    assert curio.run(repository.confirm, plan.plan_id).confirmed
    assert current(repository)[("model-group", "g")].rebalance == 1


def test_an_answer_that_stays_lost_is_unknown_and_can_be_confirmed_again():
    store, repository, _ = make()
    plan = curio.run(repository.make_plan, Rebalance("g"))
    store.faults = [APPLIED]
    store.read_faults = ["", "", *[DOWN] * 9]
    with pytest.raises(PlanUnknownError, match="confirm it again"):
        curio.run(repository.confirm, plan.plan_id)
    store.read_faults = []
    assert curio.run(repository.confirm, plan.plan_id).confirmed
    assert current(repository)[("model-group", "g")].rebalance == 1


def test_a_store_that_is_down_from_the_start_says_that_nothing_was_done():
    store, repository, _ = make()
    plan = curio.run(repository.make_plan, Rebalance("g"))
    store.read_faults = [DOWN]
    with pytest.raises(StoreUnavailableError):
        curio.run(repository.confirm, plan.plan_id)


@pytest.mark.parametrize("fault", [APPLIED, DROPPED])
def test_a_plan_whose_keeping_was_not_answered_is_kept_once(fault):
    store, repository, _ = make()
    before = len(store.values)
    store.faults = [fault]
    plan = curio.run(repository.make_plan, Drain(("u-1",)))
    assert len(store.values) == before + 1
    assert curio.run(repository.read_plan, plan.plan_id)[0].intent == "drain u-1"


def test_a_plan_past_its_time_or_withdrawn_is_refused():
    _, repository, clock = make()
    plan = curio.run(repository.make_plan, Drain(("u-1",)))
    clock.now += plan.good_for_s + 1
    with pytest.raises(PlanExpiredError):
        curio.run(repository.confirm, plan.plan_id)
    plan = curio.run(repository.make_plan, Drain(("u-1",)))
    curio.run(repository.withdraw, plan.plan_id)
    with pytest.raises(PlanExpiredError, match="withdrawn"):
        curio.run(repository.confirm, plan.plan_id)


def test_an_undo_takes_back_only_what_the_plan_changed():
    _, repository, _ = make()
    drain = curio.run(repository.make_plan, Drain(("u-1",)))
    curio.run(repository.confirm, drain.plan_id)
    share = curio.run(repository.make_plan, SetShare("board", 2.0))
    curio.run(repository.confirm, share.plan_id)
    undo = curio.run(repository.undo, drain.plan_id)
    assert undo.undoes == drain.plan_id
    curio.run(repository.confirm, undo.plan_id)
    assert state(repository, 1) is UpstreamState.ACTIVE
    assert current(repository)[("customer", "board")].share == 2.0


def test_a_plan_that_does_not_exist_is_named():
    _, repository, _ = make()
    with pytest.raises(PlanNotFoundError, match="'nix'"):
        curio.run(repository.confirm, "nix")


def test_a_plan_of_the_design_size_is_kept_and_one_beyond_a_value_refused():
    _, repository, _ = make()
    many = [upstream(1, name=f"w-{n}", agent=f"10.1.{n // 250}.{n % 250}:1") for n in range(2_800)]
    plan = curio.run(repository.make_plan, Declare("many", (*documents(), *many)))
    assert curio.run(repository.confirm, plan.plan_id).confirmed
    noisy = [upstream(1, name=f"w-{n}", host=hash_key(str(n)) * 2) for n in range(20_000)]
    noisy = [item.model_copy(update={"region": hash_key(item.name)}) for item in noisy]
    with pytest.raises(DeclarationError, match="keeps 1000000"):
        curio.run(repository.make_plan, Declare("more", (*documents(), *noisy)))


@given(
    faults=st.lists(st.sampled_from(["", APPLIED, DROPPED]), max_size=4),
    reads=st.lists(st.sampled_from(["", DOWN]), max_size=8),
)
def test_whatever_is_lost_an_order_is_put_in_force_at_most_once(faults, reads):
    store, repository, _ = make()
    plan = curio.run(repository.make_plan, Rebalance("g"))
    store.faults, store.read_faults = faults, reads
    told = None
    try:
        told = curio.run(repository.confirm, plan.plan_id).confirmed
    except StoreUnavailableError:
        told = False
    except PlanUnknownError:
        told = None
    store.faults, store.read_faults = [], []
    serial = current(repository)[("model-group", "g")].rebalance
    assert serial in (0, 1)
    if told is not None:
        assert serial == int(told)
    curio.run(repository.confirm, plan.plan_id)
    assert current(repository)[("model-group", "g")].rebalance == 1


def test_ending_a_drain_by_declaring_a_folder_is_pointed_out():
    _, repository, _ = make()
    drain = curio.run(repository.make_plan, Drain(("u-1",)))
    curio.run(repository.confirm, drain.plan_id)
    plan = curio.run(repository.make_plan, Declare("all", tuple(documents())))
    assert plan.notes == ["u-1 is draining; this ends the drain"]
    assert curio.run(repository.make_plan, Undrain(("u-1",))).changes == plan.changes
