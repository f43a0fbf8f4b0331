"""Each fault is found at its place, and a clean document has none."""

import pytest

from bluebellrun.configuration_check import find_faults
from bluebellrun.platform import view_configuration
from tests.configuration_check.documents import changed, clean, encode


def faults(document, most_body_bytes: int = 0) -> dict[str, str]:
    found = find_faults(view_configuration(encode(document)), most_body_bytes)
    return {item.place: item.message for item in found}


def test_a_clean_document_has_no_faults():
    assert faults(clean(), 4_194_304) == {}


@pytest.mark.parametrize(
    ("path", "value", "place", "words"),
    [
        ("routes.1.name", "ask", "routes[1].name", "already that of routes[0].name"),
        ("routes.1.name", "", "routes[1].name", "empty"),
        ("services.1.name", "s", "services[1].name", "already that of services[0].name"),
        ("tenants.1.name", "board", "tenants[1].name", "already that of tenants[0].name"),
        ("tenants.1.api_keys", ["x", "k2"], "tenants[1].api_keys[1]", "tenants[0].api_keys[1]"),
        ("tenants.0.api_keys", ["x", "x"], "tenants[0].api_keys[1]", "tenants[0].api_keys[0]"),
        ("tenants.0.api_keys", [""], "tenants[0].api_keys[0]", "empty"),
        ("routes.0.service", "u", "routes[0].service", "'u' is not declared"),
        ("routes.0.service", "", "routes[0].service", "names no service"),
        ("routes.1.service", "s", "routes[1].service", "not used"),
        ("routes.1.split.1.service", "u", "routes[1].split[1].service", "'u' is not declared"),
        ("routes.1.split.1.service", "s", "routes[1].split[1].service", "split[0].service"),
        ("routes.1.split.1.weight", -0.5, "routes[1].split[1].weight", "-0.5 is negative"),
        ("routes.1.split", [{"service": "s", "weight": 0}], "routes[1].split", "above 0"),
        ("routes.0.prefix", "ask/", "routes[0].prefix", "slash"),
        ("routes.0.prefix", "/ask", "routes[0].prefix", "slash"),
        ("routes.0.prefix", "", "routes[0].prefix", "slash"),
        ("routes.0.prefix", "/a?b/", "routes[0].prefix", "characters"),
        ("routes.0.prefix", "/a\x00/", "routes[0].prefix", "characters"),
        ("routes.0.prefix", "/talk/", "routes[0].prefix", "hidden by 'talk'"),
        ("routes.0.host", "", "routes[0].host", "empty"),
        ("routes.0.timeout_ms", 299, "routes[0].timeout_ms", "299 ms is under the 300 ms"),
        ("routes.0.timeout_ms", 0, "routes[0].timeout_ms", ""),
        ("routes.0.goal_ms", -1, "routes[0].goal_ms", "negative"),
        ("routes.1.gap_goal_ms", -1, "routes[1].gap_goal_ms", "negative"),
        ("routes.1.gap_goal_ms", 8001, "routes[1].gap_goal_ms", "over the 8000 ms"),
        ("routes.2.attempts", 2, "routes[2].attempts", "only once"),
        ("routes.1.can_resume", False, "routes[1].attempts", "only once"),
        ("routes.0.attempts", 0, "routes[0].attempts", "0 is under 1"),
        ("routes.0.kind", "Idempotent", "routes[0].kind", "'Idempotent' is none of"),
        ("routes.0.timout_ms", 5, "routes[0].timout_ms", "unknown field"),
        ("services.0.engine.slot", 5, "services[0].engine.slot", "unknown field"),
        ("route", [], "route", "unknown field"),
        ("routes.0.timeout_ms", "soon", "routes[0].timeout_ms", "wrong type"),
        ("routes.0.name", None, "routes[0].name", "wrong type"),
        ("routes.1.split", {}, "routes[1].split", "a list is expected, not an object"),
        ("routes.1.split.0", 4, "routes[1].split[0]", "an object is expected, not a number"),
        ("services.0.engine", "fast", "services[0].engine", "an object is expected"),
        ("tenants.0.api_keys", [7], "tenants[0].api_keys[0]", "wrong type"),
        ("tenants.0.priority", 1.5, "tenants[0].priority", "wrong type"),
        ("version", 1e30, "version", "wrong type or value"),
        ("routes", None, "routes", "a list is expected, not null"),
    ],
)
def test_a_fault_is_found_at_its_place(path, value, place, words):
    # Guards against a check that is silent, or that sends the operator to another entry.
    found = faults(changed(path, value))
    assert words in found[place], found


def test_a_service_that_no_route_names_is_found():
    document = clean()
    document["services"].append({"name": "u"})
    assert faults(document) == {"services[2].name": "no route names the service 'u'"}


def test_a_hidden_route_is_found_whatever_the_case_of_its_host():
    # Guards against comparing hosts otherwise than gateways do, which ignore the case.
    document = changed("routes.0.host", "H.Example")
    document["routes"][0]["prefix"] = "/once/"
    assert list(faults(document)) == ["routes[0].prefix"]


def test_routes_of_other_hosts_or_longer_prefixes_hide_nothing():
    document = changed("routes.0.prefix", "/talk/more/")
    document["routes"][2] |= {"prefix": "/talk/", "host": "other.example"}
    assert faults(document) == {}


def test_values_that_gateways_convert_are_no_faults():
    # Guards against refusing what the gateways accept: they convert numbers given as text.
    document = changed("routes.0.timeout_ms", "900")
    document["routes"][0]["attempts"] = "2"
    document["services"][0]["engine"] = None
    assert faults(document) == {}


def test_a_document_without_customers_is_clean():
    document = clean()
    del document["tenants"]
    assert faults(document) == {}
    assert faults(document | {"tenants": None}) == {}


def test_a_body_limit_over_the_smallest_gateway_is_found():
    document = clean() | {"limits": {"max_body_bytes": 1001}}
    assert faults(document, 1001) == {}
    assert "1001 bytes are more" in faults(document, 1000)["limits.max_body_bytes"]


def test_a_missing_field_is_found_and_only_the_faults_of_reading_are_listed():
    document = changed("routes.1.name", "ask")
    del document["routes"][0]["timeout_ms"]
    found = faults(document)
    assert found.pop("").startswith("gateways refuse the document")
    assert found == {"routes[0].timeout_ms": "the field is missing"}


def test_a_field_that_stands_twice_is_found():
    # JSON readers keep the last value without a word.
    data = b'{"version": 1, "routes": [], "services": [], "routes": []}'
    (found,) = find_faults(view_configuration(data))
    assert (found.place, found.message) == ("routes", "the field stands here twice")


def test_repeated_fields_in_a_replaced_value_are_not_told_of_another():
    # Guards against reporting the wrong object once the memory of the replaced one is used again.
    replaced = b'"limits": {"max_body_bytes": 1, "max_body_bytes": 2}, ' * 50
    data = b'{"version": 1, ' + replaced + b'"limits": {}, "services": [], "routes": []}'
    found = find_faults(view_configuration(data))
    assert {item.place for item in found} == {"limits"}


def test_findings_do_not_show_keys():
    # Guards against keys in terminals and logs of pipelines.
    document = changed("tenants.1.api_keys", ["secret-key", "secret-key"])
    document["tenants"][0]["api_keys"] = ["secret-key", {"secret-key": 1}]
    found = find_faults(view_configuration(encode(document)))
    document["tenants"][0]["api_keys"] = ["secret-key"]
    found += find_faults(view_configuration(encode(document)))
    assert found
    assert "secret-key" not in str(found)
