"""Registrations that another writer left among those of the upstreams."""

import json
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.gateway._peers import decode_status
from bluebellrun.gateway._permit_messages import decode_permit_message
from bluebellrun.leases import LeaseError, decode_record
from bluebellrun.platform._configuration import ConfigurationError, read_configuration
from bluebellrun.platform._registrations import RegistrationError, read_registration
from tests.platform.test_view import Watched, configuration, registration, run_check

FIELDS = {"service": "s", "addr": "10.0.0.1:80", "zone": "a", "state": "ready", "slots": 6}
DEPTH = 5_000
NESTED = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
NESTED_LISTS = b"[" * 100 * DEPTH
NESTED_MESSAGE = b"\x91" * 100 * DEPTH


def with_field(name: str, value: bytes) -> bytes:
    """Return a registration with a field whose value is given as JSON."""
    fields = {key: json.dumps(known).encode() for key, known in FIELDS.items()} | {name: value}
    return b"{" + b",".join(f'"{key}":'.encode() + text for key, text in fields.items()) + b"}"


ODD = {
    "nested objects": with_field("more", NESTED),
    "nested lists": with_field("more", NESTED_LISTS),
    "too many slots": with_field("slots", b"1" + b"0" * 30),
    "endless number": with_field("slots", b"1" + b"0" * 6_000),
    "number out of range": with_field("slots", b"1e400"),
    "start out of range": with_field("born", b"1" + b"0" * 30),
    "start below zero": with_field("born", b"-5"),
    "port 0": with_field("addr", b'"10.0.0.1:0"'),
    "port out of range": with_field("addr", b'"10.0.0.1:70000"'),
    "endless port": with_field("addr", b'"10.0.0.1:' + b"9" * 6_000 + b'"'),
    "NUL in the address": with_field("addr", b'"10.0.0\\u0000.1:80"'),
    "a name as address": with_field("addr", b'"example:80"'),
    "no address": with_field("addr", b'":80"'),
    "half a surrogate": with_field("addr", b'"\\ud800:80"'),
}


# Guards: one such entry ended the task that follows the store; later upstreams never appeared.
@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
def test_an_odd_registration_names_no_upstream_and_the_store_is_followed_on(odd):
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/odd", odd)
        await watched.start()
        watched.fake.put("servers/i1", registration())
        await watched.until(lambda: watched.usable() == ["i1"])
        watched.fake.put("servers/odd2", odd)
        watched.fake.put("servers/i2", registration(addr="10.0.0.2:80"))
        await watched.until(lambda: watched.usable() == ["i1", "i2"])

    run_check(check)


def test_an_odd_configuration_leaves_the_one_in_force_and_the_store_is_followed_on():
    async def check(watched: Watched) -> None:
        watched.fake.put("op/config", configuration(3))
        await watched.start()
        await watched.until(lambda: watched.versions == [3])
        watched.fake.put("op/config", b'{"version":4,"more":' + NESTED + b"}")
        watched.fake.put("op/config", configuration(5))
        await watched.until(lambda: watched.versions == [3, 5])

    run_check(check)


def test_a_reader_that_fails_does_not_end_the_following_of_the_store(monkeypatch):
    async def check(watched: Watched) -> None:
        await watched.start()
        assert watched.view is not None
        read = watched.view._reader.read

        def fails(key: str, value: bytes | None, revision: int) -> Any:
            if key == "servers/odd":
                raise RuntimeError("a fault of the reader")
            return read(key, value, revision)

        monkeypatch.setattr(watched.view._reader, "read", fails, raising=False)
        watched.fake.put("servers/odd", registration())
        watched.fake.put("servers/i1", registration())
        await watched.until(lambda: watched.usable() == ["i1"])
        await curio.sleep(0)

    run_check(check)


def test_messages_that_are_nested_too_deeply_are_malformed():
    assert decode_status(NESTED_MESSAGE) is None
    assert decode_permit_message(NESTED_MESSAGE) is None
    with pytest.raises(LeaseError):
        decode_record(b'{"holder":"h","nonce":"n","lease":1,"more":' + NESTED + b"}")
    with pytest.raises(ConfigurationError):
        read_configuration(b'{"version":4,"more":' + NESTED + b"}", 1)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)


@given(st.sampled_from([*FIELDS, "born", "seq", "more"]), JSON_VALUES | st.binary())
def test_any_value_of_a_field_is_read_or_refused(name, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    try:
        upstream = read_registration("servers/x", with_field(name, data))
    except RegistrationError:
        return
    assert 0 < upstream.address.port < 65_536
    assert 0 < upstream.slots <= 1_000_000
    msgspec.msgpack.encode(upstream.incarnation)
