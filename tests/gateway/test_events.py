from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.gateway import EventSplitter


def event(number):
    return f"id: {number}\ndata: word {number}\n\n".encode()


@given(st.lists(st.integers(1, 40), max_size=12), st.integers(1, 8))
def test_events_come_out_whole_however_the_bytes_are_cut(sizes, count):
    stream = b"".join(event(number) for number in range(1, count + 1))
    splitter = EventSplitter()
    out, start = b"", 0
    for size in [*sizes, len(stream)]:
        whole = splitter.feed(stream[start : start + size])
        start += size
        if whole is not None:
            assert whole.data.endswith(b"\n\n")
            out += whole.data
    assert out == stream
    assert splitter.partial == b""


def test_half_an_event_is_kept_back():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + b"id: 2\ndata: ha").last_id == 1
    assert splitter.partial == b"id: 2\ndata: ha"


def test_events_that_were_passed_on_before_are_left_out():
    splitter = EventSplitter(after_id=2)
    assert splitter.feed(event(1) + event(2)) is None
    whole = splitter.feed(event(3))
    assert (whole.data, whole.last_id, whole.count) == (event(3), 3, 1)


def test_an_event_that_comes_twice_is_passed_on_once():
    splitter = EventSplitter()
    assert splitter.feed(event(1) + event(1)).data == event(1)
