"""Fuzz every decoder of outside input with almost valid bytes: no unexpected exceptions.

The seeds are fixed by the profile; ``HYPOTHESIS_PROFILE=long`` tries many more.
"""

import json
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellrun.core import Address
from bluebellrun.expert_maps import RankCallError
from bluebellrun.gateway import BadRequestError, EventSplitter, StoreChange, Upstream
from bluebellrun.gateway._peers import EntryStatus, PeerTable, decode_status, encode_status
from bluebellrun.http import AnswerTooLongError, HttpRequest, decompress_body
from bluebellrun.platform import EngineClient, PlatformCatalogue, PlatformWire
from tests.endless import serving
from tests.machines import example_count
from tests.platform.upstreams import CONFIGURATION

EXAMPLES = example_count(250)
REGISTRATION = b'{"service": "s", "addr": "10.0.0.1:80", "zone": "a", "state": "ready", "slots": 6}'
ENTRY_STATUS = encode_status(EntryStatus("a", "i", 1, "10.0.0.1:7340", 0.1, {"u1": 3}, {"u2": 2.0}))
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=8),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)


@st.composite
def damaged(draw: Any, message: bytes) -> bytes:
    """Return a message with some bytes changed, cut off or inserted."""
    out = bytearray(message)
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, max(0, len(out) - 1)))
        match draw(st.integers(0, 3)):
            case 0:
                out[at : at + 1] = draw(st.binary(max_size=3))
            case 1:
                del out[at:]
            case 2:
                out[at:at] = draw(st.binary(max_size=12))
            case _:
                del out[at : at + draw(st.integers(1, 20))]
    return bytes(out)


@st.composite
def odd_document(draw: Any, message: bytes) -> bytes:
    """Return a JSON object in which some values have another type or are missing."""
    document = json.loads(message)
    for name in draw(st.lists(st.sampled_from(sorted(document)), min_size=1, max_size=3)):
        if draw(st.booleans()):
            document.pop(name, None)
        else:
            document[name] = draw(ODD_VALUES)
    return json.dumps(document).encode()


@settings(max_examples=EXAMPLES)
@given(st.one_of(st.binary(max_size=200), damaged(REGISTRATION), odd_document(REGISTRATION)))
def test_a_bad_registration_is_decoded_as_a_change(value):
    assert isinstance(PlatformCatalogue().read("servers/i1", value, 3), StoreChange)


@settings(max_examples=EXAMPLES)
@given(st.one_of(st.binary(max_size=200), damaged(CONFIGURATION), odd_document(CONFIGURATION)))
def test_a_bad_configuration_is_decoded_as_a_change(value):
    assert isinstance(PlatformCatalogue().read("op/config", value, 3), StoreChange)


@settings(max_examples=EXAMPLES)
@given(st.one_of(st.binary(max_size=200), damaged(ENTRY_STATUS)))
def test_a_bad_datagram_does_not_corrupt_the_peer_table(data):
    table = PeerTable("b")
    status = decode_status(data)
    if status is not None:
        table.record(status, 1.0)
    table.best_informed()
    table.expire(10.0)
    assert table.running("u1") == 0


@settings(max_examples=EXAMPLES)
@given(st.lists(st.binary(max_size=60), max_size=12))
def test_arbitrary_bytes_are_split_into_events_or_refused(pieces):
    splitter = EventSplitter(max_event_bytes=200)
    out = b""
    for piece in pieces:
        try:
            events = splitter.feed(piece)
        except AnswerTooLongError:
            return
        out += b"" if events is None else events.data
        assert len(splitter.partial) <= 200
    assert len(out) + len(splitter.partial) <= sum(map(len, pieces))


@pytest.mark.parametrize("number", [b"9" * 5_000, b"\xb2", b"-1", b""])
def test_an_event_with_a_non_numeric_id_is_forwarded_without_last_id(number):
    event = b"id: " + number + b"\ndata: x\n\n"
    events = EventSplitter().feed(event)
    assert events is not None
    assert (events.data, events.last_id) == (event, None)


@settings(max_examples=EXAMPLES)
@given(st.one_of(st.binary(max_size=100), damaged(b"x\x9cKLJNI\x04\x00\x05\x8c\x01\xf5")))
def test_decompressing_an_invalid_body_raises_value_error(data):
    try:
        decompress_body(data)
    except ValueError:
        return


HEADERS = [
    "x-bluebellrun-request-id",
    "x-bluebellrun-deadline-ms",
    "x-bluebellrun-token-count",
    "x-bluebellrun-prefix-hash",
    "x-bluebellrun-length-hint",
    "x-bluebellrun-key",
    "last-event-id",
    "host",
]


@settings(max_examples=EXAMPLES)
@given(
    st.text(st.characters(max_codepoint=255), max_size=20),
    st.lists(
        st.tuples(
            st.sampled_from(HEADERS),
            st.one_of(
                st.text(st.characters(max_codepoint=255), max_size=12),
                st.sampled_from(["²", "-1", "nan", "inf", "1e999", "9" * 400, "1,", ",", "0x1"]),
            ),
        ),
        max_size=6,
    ),
)
def test_a_malformed_request_raises_bad_request(target, headers):
    try:
        PlatformWire().read_request(HttpRequest("GET", target, headers, b""), 1.0)
    except BadRequestError:
        return


ANSWERS = [
    b"HTTP/1.1 200 X\r\nKeep-Alive: timeout=\xb2\r\nContent-Length: 2\r\n\r\n{}",
    b"HTTP/1.1 200 X\r\nKeep-Alive: timeout=,timeout=x;;=\r\nContent-Length: 2\r\n\r\n{}",
    b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n[]",
    b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nnull",
    b'HTTP/1.1 200 X\r\nContent-Length: 14\r\n\r\n{"group": 1.5}',
    b"HTTP/1.1 200 X\r\nContent-Length: 99999999999999999999\r\n\r\n{}",
    b"HTTP/1.1 200 X\r\nContent-Length: -5\r\n\r\n{}",
    b"HTTP/1.1 999999 X\r\n\r\n",
    b"HTTP/9.9 200 X\r\n\r\n",
    b"\xff" * 300 + b"\r\n\r\n",
]


@pytest.mark.parametrize("answer", ANSWERS)
def test_a_malformed_engine_answer_fails_the_call(answer):
    async def main(address: Address) -> None:
        calls = EngineClient(address.port)
        upstream = Upstream("u1", "s", address, "a", 3)
        try:
            assert await calls.state(upstream) is None
        except RankCallError:
            return

    with serving(answer, b"\r\n", pause_s=0.5) as server:
        curio.run(main, server.address)


def test_statuses_of_many_nonexistent_entries_expire():
    table = PeerTable("b")
    for number in range(5_000):
        status = EntryStatus(f"entry-{number}", "i", 1, "nowhere", float("nan"), {"u1": number})
        table.record(msgspec.msgpack.decode(encode_status(status), type=EntryStatus), 1.0)
    assert table.running("u1") > 0
    table.expire(3.0)
    assert table.running("u1") == 0
    assert table.best_informed() is None
