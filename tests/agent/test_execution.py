import curio
import pytest

from bluebellrun.admission import Work
from bluebellrun.agent._execution import Execution, ExecutionState
from bluebellrun.agent._outcomes import fate_of
from bluebellrun.core import InvariantError
from bluebellrun.messages import Chunk, End, Fate, Head, Refused, Started, Submit


def make_execution(window: int = 100, max_result_bytes: int = 0) -> Execution:
    submit = Submit("r.1", "r", "i", "c", "s", 3, "POST", "/", [], b"", True, 10.0)
    work = Work("r.1", "c", 3, 0.0, 10.0)
    return Execution(submit, work, window, max_result_bytes)


async def complete_with(execution: Execution, body: bytes) -> None:
    execution.start()
    execution.mark_sent()
    execution.record_head(200, [("content-type", "text/plain"), ("x", "y")])
    await execution.append(body)
    execution.complete()


def test_resumed_answer_is_sent_again_from_the_offset_with_one_end():
    execution = make_execution()
    curio.run(complete_with, execution, b"abcdef")
    first = execution.collect_events()
    assert [type(event) for event in first] == [Started, Head, Chunk, End]
    assert curio.run(execution.resume, 4)
    again = execution.collect_events()
    assert [type(event) for event in again] == [Head, Chunk, End]
    assert (again[1].offset, again[1].data) == (4, b"ef")
    assert execution.collect_events() == []


def test_confirmed_bytes_cannot_be_resumed():
    execution = make_execution()
    curio.run(complete_with, execution, b"abcdef")
    execution.collect_events()
    curio.run(execution.confirm, 4)
    assert not curio.run(execution.resume, 2)


def test_refusal_is_sent_again_after_a_lost_link():
    execution = make_execution()
    execution.refuse("full", None)
    execution.collect_events()
    assert curio.run(execution.resume, 0)
    assert execution.collect_events() == [Refused("r.1", "full", None)]


def test_attempt_started_but_not_sent_counts_as_waiting():
    execution = make_execution()
    execution.start()
    assert fate_of(execution).fate is Fate.WAITING
    execution.mark_sent()
    assert fate_of(execution).fate is Fate.RUNNING


def test_attempt_ends_once():
    execution = make_execution()
    execution.refuse("full", None)
    with pytest.raises(InvariantError):
        execution.fail("again")
    assert execution.state is ExecutionState.REFUSED


def test_only_small_answers_are_stored():
    small, large = make_execution(max_result_bytes=6), make_execution(max_result_bytes=5)
    for execution in (small, large):
        curio.run(complete_with, execution, b"abcdef")
    assert small.result().body == b"abcdef"
    assert small.result().headers == [("content-type", "text/plain")]
    assert large.result() is None


def test_detached_attempt_does_not_wait_for_its_entry():
    execution = make_execution(window=2, max_result_bytes=100)

    async def run() -> None:
        await execution.detach()
        await complete_with(execution, b"abcdef")

    curio.run(run)
    assert execution.result().body == b"abcdef"


def test_end_follows_the_last_byte_when_batches_are_limited():
    execution = make_execution()
    curio.run(complete_with, execution, b"abcdef")
    first = execution.collect_events(4)
    second = execution.collect_events(4)
    assert [type(event) for event in first] == [Started, Head, Chunk]
    assert [type(event) for event in second] == [Chunk, End]
    assert first[-1].data + second[0].data == b"abcdef"
