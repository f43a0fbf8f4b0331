from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.gateway import EventSplitter


def event(number):
    return f"id: {number}\ndata: word {number}\n\n".encode()


@given(st.lists(st.integers(1, 40), max_size=12), st.integers(1, 8))
def test_events_are_complete_however_the_bytes_are_split(sizes, count):
    stream = b"".join(event(number) for number in range(1, count + 1))
    splitter = EventSplitter()
    out, start = b"", 0
    for size in [*sizes, len(stream)]:
        complete = splitter.feed(stream[start : start + size])
        start += size
        if complete is not None:
            assert complete.data.endswith(b"\n\n")
            out += complete.data
    assert out == stream
    assert splitter.partial == b""


def test_an_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + b"id: 2\ndata: ha").last_id == 1
    assert splitter.partial == b"id: 2\ndata: ha"


def test_events_that_were_forwarded_before_are_skipped():
    splitter = EventSplitter(after_id=2)
    assert splitter.feed(event(1) + event(2)) is None
    complete = splitter.feed(event(3))
    assert (complete.data, complete.last_id, complete.count) == (event(3), 3, 1)


def test_a_duplicate_event_is_forwarded_once():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + event(1)).data == event(1)
