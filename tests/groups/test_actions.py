import pytest

from bluebellrun.groups import (
    ActionRecord,
    ActionState,
    EngineState,
    GroupError,
    GroupRecord,
    InvalidTransitionError,
    LoadVersion,
    Order,
    decode_action,
    decode_record,
    encode_action,
    encode_record,
)

RECORD = ActionRecord(Order("a1", 7, LoadVersion("m", "v2")))


@pytest.mark.parametrize(
    ("state", "failure", "expected"),
    [
        (None, "", ActionState.SENT),
        (EngineState(), "", ActionState.SENT),
        (EngineState(actions={"a1": "running"}), "", ActionState.SENT),
        (EngineState(actions={"a1": "done"}), "", ActionState.DONE),
        (EngineState(versions=("m@v2",)), "", ActionState.DONE),
        (EngineState(actions={"a1": "failed"}), "", ActionState.FAILED),
        (EngineState(), "the engine answered 409", ActionState.FAILED),
        (EngineState(actions={"a1": "running"}), "late", ActionState.SENT),
    ],
)
def test_only_the_engine_state_or_a_failed_order_settles_an_action(state, failure, expected):
    assert RECORD.with_engine_state(state, failure).state is expected


def test_a_takeover_keeps_the_action_and_its_id():
    record = RECORD.taken_over(9)
    assert record.order.fencing == 9
    assert record.order.action == "a1"


def test_records_survive_the_store_and_malformed_ones_are_refused():
    assert decode_action(encode_action(RECORD)) == RECORD
    record = GroupRecord(1, 2).begun("d").committed(9)
    assert decode_record(encode_record(record)) == record
    with pytest.raises(GroupError):
        decode_action(b"{}")
    with pytest.raises(GroupError):
        decode_record(b"[]")


def test_a_committed_change_is_neither_aborted_nor_replaced():
    committed = GroupRecord(1, 2).begun("d").committed(9)
    for transition in (committed.aborted, lambda: committed.begun("e")):
        with pytest.raises(InvalidTransitionError):
            transition()
    with pytest.raises(InvalidTransitionError):
        GroupRecord(1, 2, fencing=5).taken_over(4)
