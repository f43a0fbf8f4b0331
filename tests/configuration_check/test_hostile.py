"""Hostile documents are refused or reported, in a bounded time and without a traceback."""

import time

import pytest

from bluebellrun.configuration_check import compare, find_faults
from bluebellrun.platform import ConfigurationError, view_configuration
from tests.configuration_check.documents import changed, clean, encode

DEPTH = 100_000
ROUTES = 5_000


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[" * DEPTH,
        b'{"version":1,"routes":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
        b'{"version":1,"x":' + b'{"a":' * DEPTH + b"1" + b"}" * DEPTH + b"}",
        b'{"version":' + b"9" * 5_000 + b"}",
        b'{"version":NaN}',
        b'{"version":1,"routes":[]}\x00',
        b"\x00" * 100,
        b"\xff\xfe{}",
        b'\xef\xbb\xbf{"version":1}',
        b'{"version":1,"x":"\xff"}',
        '{"version": 1}'.encode("utf-16"),
    ],
)
def test_what_is_not_json_is_refused(data):
    with pytest.raises(ConfigurationError):
        view_configuration(data)


@pytest.mark.parametrize(
    "data",
    [
        b"null",
        b"[]",
        b"7",
        b'"\\ud800"',
        b"{}",
        b'{"version":1e400}',
        b'{"version":1,"routes":[{"timeout_ms":1e999}]}',
        b'{"version":1,"routes":[{"timeout_ms":' + b"9" * 400 + b"}]}",
        b'{"version":1,"services":[{"name":"\\ud800"}]}',
    ],
)
def test_json_that_gateways_refuse_has_findings_and_no_deployment(data):
    view = view_configuration(data)
    assert view.deployment is None
    assert find_faults(view)[0].message.startswith("gateways refuse the document")


@pytest.mark.parametrize("value", [None, True, 0, -1, 1.5, "", "\x00", [], [[]], {}, {"a": 1}])
def test_each_value_in_each_place_is_read_or_reported(value):
    # Guards against a traceback: any value may stand in any place.
    for path in _paths(clean()):
        document = changed(path, value)
        view = view_configuration(encode(document))
        found = find_faults(view, 1_000)
        if view.deployment is None:
            assert len(found) > 1, path
        else:
            assert compare(view, view) == []


def _paths(value, prefix=""):
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for name, item in items:
        yield f"{prefix}{name}"
        if isinstance(item, dict | list):
            yield from _paths(item, f"{prefix}{name}.")


def test_a_file_of_wrong_values_has_a_bounded_number_of_problems():
    view = view_configuration(encode({"version": 1, "routes": [0] * 100_000}))
    assert len(view.problems) == 1_001


def _large(number: int) -> dict:
    document = clean()
    document["routes"] = [
        document["routes"][1] | {"name": f"r{index}", "prefix": f"/{index}/"}
        for index in range(number)
    ]
    document["services"] += [{"name": f"s{index}"} for index in range(number)]
    document["tenants"] = [
        {"name": f"c{index}", "api_keys": [f"k{index}", f"m{index}"]} for index in range(number)
    ]
    return document


def test_a_file_of_5000_routes_is_checked_and_compared_in_time():
    # Guards against a quadratic search: that takes minutes here. The bound holds for processor
    # time, as other work on the machine lengthens the wall time.
    one, other = encode(_large(ROUTES)), _large(ROUTES)
    for route in other["routes"]:
        route["name"] += "-new"
    for customer in other["tenants"]:
        customer["name"] += "-new"
    other = encode(other)
    start = time.process_time()
    views = [view_configuration(one), view_configuration(other)]
    faults = find_faults(views[1])
    found = compare(*views)
    assert time.process_time() - start < 2.0
    assert len(faults) == ROUTES
    assert len(found) == 5 * ROUTES


def test_routes_that_all_hide_each_other_are_checked_in_time():
    document = _large(ROUTES)
    for route in document["routes"]:
        route |= {"name": "r", "prefix": "/"}
    start = time.process_time()
    found = find_faults(view_configuration(encode(document)))
    assert time.process_time() - start < 2.0
    assert len(found) == 2 * (ROUTES - 1) + ROUTES
