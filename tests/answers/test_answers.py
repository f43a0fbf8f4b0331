import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.answers import AnswerAssembly, AnswerBuffer, AnswerGapError, BufferOverrunError


def test_bytes_beyond_the_capacity_are_refused():
    buffer = AnswerBuffer(4)
    buffer.append(b"abcd")
    with pytest.raises(BufferOverrunError):
        buffer.append(b"e")


def test_confirmed_bytes_free_capacity_and_cannot_be_sent_again():
    buffer = AnswerBuffer(4)
    buffer.append(b"abcd")
    buffer.read_unsent(3)
    buffer.confirm(3)
    assert buffer.free_capacity == 3
    assert not buffer.rewind(2)
    assert buffer.rewind(3)


def test_a_gap_is_reported_with_both_offsets():
    assembly = AnswerAssembly()
    with pytest.raises(AnswerGapError) as caught:
        assembly.accept(3, b"x")
    assert (caught.value.expected, caught.value.received) == (0, 3)


def test_a_short_answer_is_not_complete():
    buffer, assembly = AnswerBuffer(100), AnswerAssembly()
    buffer.append(b"all of it")
    assembly.accept(0, b"all of")
    assert not assembly.finish(buffer.finish())


@given(
    pieces=st.lists(st.binary(min_size=1, max_size=20), max_size=20),
    repeats=st.lists(st.integers(0, 400), max_size=20),
    limit=st.integers(1, 30),
)
def test_repeated_and_overlapping_chunks_are_accepted_once(pieces, repeats, limit):
    buffer, assembly = AnswerBuffer(1_000), AnswerAssembly()
    for piece in pieces:
        buffer.append(piece)
    received = b""
    rewinds = list(repeats)
    while not buffer.all_sent:
        offset, data = buffer.read_unsent(limit)
        received += assembly.accept(offset, data)
        if rewinds:
            buffer.rewind(min(rewinds.pop(), assembly.offset))
    assert received == b"".join(pieces)
    assert assembly.finish(buffer.finish())
