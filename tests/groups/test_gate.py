import pytest

from bluebellrun.groups import (
    AbortChange,
    ActivateMap,
    AdoptMap,
    ChangeRole,
    EngineState,
    GroupRecord,
    HoldStep,
    LoadAdapter,
    LoadVersion,
    MapChangeSettings,
    MapCoordinator,
    Order,
    OrderGate,
    PrepareMap,
    ReadRecord,
    ReleaseHold,
    Role,
    SendEngineOrder,
    SendOrder,
    WriteRecord,
    has_effect,
)

RECORD = GroupRecord(active=1, next_version=2, fencing=3)
PREPARING = RECORD.begun("d")
COMMITTED = PREPARING.committed(40)


def gate(record: GroupRecord = RECORD) -> OrderGate:
    started = OrderGate()
    started.observe_record(record)
    return started


def order(content, fencing: int = 3) -> Order:
    return Order(f"{content}", fencing, content)


def test_nothing_is_sent_before_the_fencing_number_is_known():
    refusal = OrderGate().begin(order(LoadVersion("m", "v")))
    assert refusal is not None
    assert refusal.transient


def test_an_old_fencing_number_is_refused_permanently():
    refusal = gate().begin(order(LoadVersion("m", "v"), fencing=2))
    assert refusal is not None
    assert not refusal.transient
    assert refusal.fencing == 3


def test_a_new_fencing_number_invalidates_the_previous_one():
    order_gate = gate()
    assert order_gate.begin(order(LoadAdapter("a", "m"), fencing=4)) is None
    order_gate.end()
    assert order_gate.begin(order(LoadAdapter("b", "m"), fencing=3)) is not None


def test_at_most_one_order_is_in_flight():
    order_gate = gate()
    assert order_gate.begin(order(LoadVersion("m", "v"))) is None
    refusal = order_gate.begin(order(LoadAdapter("a", "m")))
    assert refusal is not None
    assert refusal.transient


def test_a_late_hold_of_an_earlier_change_does_not_replace_a_later_one():
    order_gate = gate(PREPARING.aborted().begun("e"))
    assert order_gate.begin(order(HoldStep(3, 50))) is None
    order_gate.end()
    assert order_gate.begin(order(HoldStep(2, 30))) is not None


def test_an_order_of_a_finished_change_is_refused():
    order_gate = gate(PREPARING)
    assert order_gate.begin(order(ReleaseHold(2))) is None
    order_gate.end()
    assert order_gate.begin(order(HoldStep(2, 30))) is not None


def test_a_hold_of_any_earlier_change_can_be_released():
    order_gate = gate(PREPARING.aborted().begun("e"))
    assert order_gate.begin(order(ReleaseHold(2))) is None


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        (RECORD, SendEngineOrder(AdoptMap(1, 5, None))),
        (PREPARING, AbortChange(PREPARING.aborted())),
        (COMMITTED, SendEngineOrder(AdoptMap(1, 5, ActivateMap(2, 40)))),
        (COMMITTED.finished(), SendEngineOrder(AdoptMap(2, 5, None))),
    ],
)
def test_a_joining_rank_adopts_its_map_or_aborts_an_uncommitted_change(record, expected):
    assert gate().settle(EngineState(epoch=5, learned=False), record, False) == expected


@pytest.mark.parametrize(
    ("record", "hold_timed_out", "expected"),
    [
        (RECORD, False, SendEngineOrder(ReleaseHold(2))),
        (PREPARING, False, None),
        (PREPARING, True, AbortChange(PREPARING.aborted())),
        (COMMITTED, False, SendEngineOrder(ActivateMap(2, 40))),
    ],
)
def test_a_rank_that_holds_is_settled_by_the_record(record, hold_timed_out, expected):
    state = EngineState(active=1, hold=HoldStep(2, 40))
    assert gate().settle(state, record, hold_timed_out) == expected


@pytest.mark.parametrize(
    ("content", "state"),
    [
        (PrepareMap(2, "d"), EngineState(prepared=2, prepared_digest="d")),
        (HoldStep(2, 30), EngineState(hold=HoldStep(2, 40))),
        (HoldStep(2, 30), EngineState(following=ActivateMap(2, 40))),
        (ActivateMap(2, 30), EngineState(active=2)),
        (ReleaseHold(2), EngineState(hold=HoldStep(3, 40))),
        (LoadVersion("m", "v2"), EngineState(versions=("m@v2",))),
        (LoadAdapter("a", "m"), EngineState(adapters=("a",))),
        (ChangeRole(Role.DECODE), EngineState(role=Role.DECODE)),
        (AdoptMap(1, 0), EngineState(learned=True)),
    ],
)
def test_an_order_that_the_engine_reports_as_done_is_not_sent_again(content, state):
    assert not has_effect(order(content), state)


def test_an_action_that_the_engine_has_recorded_is_not_sent_again():
    done = order(LoadVersion("m", "v2"))
    assert has_effect(done, EngineState())
    assert not has_effect(done, EngineState(actions={done.action: "running"}))


def coordinator(states: list[EngineState]) -> MapCoordinator:
    built = MapCoordinator(3, len(states), MapChangeSettings(step_margin=10))
    assert built.decide(0.0) == [ReadRecord()]
    built.on_record(PREPARING, 7)
    built.decide(0.0)
    for rank, state in enumerate(states):
        built.on_state(rank, state)
    sent = built.decide(0.0)
    assert all(isinstance(effect, SendOrder) for effect in sent)
    return built


def held(epoch: int) -> EngineState:
    return EngineState(epoch=epoch, step=20, prepared=2, prepared_digest="d", hold=HoldStep(2, 30))


def prepared(epoch: int) -> EngineState:
    return EngineState(epoch=epoch, step=20, prepared=2, prepared_digest="d")


def test_a_change_is_committed_once_all_ranks_hold_the_same_step():
    built = coordinator([prepared(1), prepared(1)])
    built.on_state(0, held(1))
    assert built.decide(0.1) == []
    built.on_state(1, held(1))
    assert built.decide(0.1) == [WriteRecord(7, PREPARING.committed(30))]


def test_holds_of_two_epochs_do_not_commit():
    built = coordinator([prepared(1), prepared(2)])
    built.on_state(0, held(1))
    built.on_state(1, held(2))
    assert not any(isinstance(effect, WriteRecord) for effect in built.decide(0.1))


def test_a_rank_that_cannot_prepare_aborts_the_change():
    built = coordinator([EngineState(), EngineState()])
    built.on_failed(1)
    assert built.decide(0.1) == [WriteRecord(7, PREPARING.aborted())]


def test_a_newer_fencing_number_in_the_record_ends_a_coordinator():
    built = MapCoordinator(2, 2, MapChangeSettings())
    built.decide(0.0)
    built.on_record(RECORD, 1)
    assert built.decide(0.0) == []
    assert built.deposed


def test_an_order_is_resent_to_a_rank_that_loads_slowly_only_after_a_pause():
    built = coordinator([EngineState(), prepared(1)])
    resent = built.decide(0.25)
    assert resent == [SendOrder(0, PrepareMap(2, "d"))]
    built.on_state(0, EngineState(actions={"load": "running"}))
    assert built.decide(0.3) == []
    assert built.decide(0.5) == resent
