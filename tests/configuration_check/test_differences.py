"""Differences are named, and what callers lose is told first."""

from bluebellrun.configuration_check import Effect, compare, find_version_fault
from bluebellrun.platform import view_configuration
from tests.configuration_check.documents import changed, clean, encode


def differences(new, old=None) -> list[tuple[Effect, str, str, str]]:
    views = [view_configuration(encode(document)) for document in (old or clean(), new)]
    found = compare(*views)
    return [(item.effect, item.part, item.name, item.message) for item in found]


def test_equal_documents_do_not_differ():
    assert differences(clean() | {"version": 9}) == []


def test_the_order_of_entries_is_no_difference():
    document = clean()
    for part in ("routes", "services", "tenants"):
        document[part].reverse()
    assert differences(document) == []


def test_what_callers_lose_is_listed_first():
    # Guards against a dropped route below hundreds of changed limits.
    document = clean()
    document["routes"] = [
        document["routes"][0] | {"service": "u", "timeout_ms": 950},
        document["routes"][1] | {"name": "added", "split": [], "service": "u"},
    ]
    document["services"] = [document["services"][0], {"name": "u"}]
    document["tenants"] = [{"name": "board", "api_keys": ["k2", "k4"], "priority": 2}]
    document["limits"] = {"max_body_bytes": 10}
    found = differences(document)
    assert [item[:3] for item in found] == [
        (Effect.TAKEN_AWAY, "route", "once"),
        (Effect.TAKEN_AWAY, "route", "talk"),
        (Effect.TAKEN_AWAY, "key", "board"),
        (Effect.TAKEN_AWAY, "key", "club"),
        (Effect.TAKEN_AWAY, "customer", "club"),
        (Effect.TAKEN_AWAY, "service", "t"),
        (Effect.MOVED, "route", "ask"),
        (Effect.LIMITS, "limits", ""),
        (Effect.LIMITS, "route", "ask"),
        (Effect.LIMITS, "customer", "board"),
        (Effect.ADDED, "route", "added"),
        (Effect.ADDED, "key", "board"),
        (Effect.ADDED, "service", "u"),
    ]


def test_a_dropped_route_tells_what_becomes_of_its_requests():
    document = clean()
    document["routes"][0] |= {"name": "any", "prefix": "/"}
    assert differences(document)[0][3] == "dropped; requests to h.example/ask/ go to route 'any'"
    del document["routes"][0]
    assert differences(document)[0][3] == "dropped; no route takes requests to h.example/ask/"


def test_a_route_at_another_address_takes_its_old_one_away():
    ((effect, part, name, message),) = differences(changed("routes.0.prefix", "/asks/"))
    assert (effect, part, name) == (Effect.TAKEN_AWAY, "route", "ask")
    assert "no route takes requests to h.example/ask/" in message


def test_an_added_route_tells_whose_requests_it_takes():
    # Guards against an addition listed last that takes requests from a route that stays.
    document = clean()
    document["routes"].append(document["routes"][2] | {"name": "new", "prefix": "/ask/fast/"})
    found = differences(document)
    assert [item[:3] for item in found] == [
        (Effect.MOVED, "route", "new"),
        (Effect.ADDED, "route", "new"),
    ]
    assert found[0][3] == "requests to h.example/ask/fast/ went to route 'ask' before"
    document["routes"][3]["prefix"] = "/fast/"
    assert [item[0] for item in differences(document)] == [Effect.ADDED]


def test_a_renamed_route_takes_its_requests_along():
    found = differences(changed("routes.0.name", "asks"))
    assert [item[:3] for item in found] == [
        (Effect.TAKEN_AWAY, "route", "ask"),
        (Effect.ADDED, "route", "asks"),
    ]
    assert found[0][3] == "dropped; requests to h.example/ask/ go to route 'asks'"


def test_a_split_is_moved_with_its_weights():
    ((effect, _, name, message),) = differences(changed("routes.1.split.0.weight", 1))
    assert (effect, name) == (Effect.MOVED, "talk")
    assert message == (
        "goes to 's' (weight 1), 't' (weight 1), before to 's' (weight 3), 't' (weight 1)"
    )


def test_a_key_of_another_customer_is_moved_not_taken_away():
    document = changed("tenants.0.api_keys", ["k1"])
    document["tenants"][1]["api_keys"] = ["k3", "k2"]
    assert differences(document) == [
        (Effect.MOVED, "key", "board", "1 of 2 keys now of customer 'club'")
    ]


def test_a_renamed_customer_keeps_its_keys():
    found = differences(changed("tenants.0.name", "committee"))
    assert [item[:3] for item in found] == [
        (Effect.TAKEN_AWAY, "customer", "board"),
        (Effect.MOVED, "key", "board"),
        (Effect.ADDED, "customer", "committee"),
    ]


def test_the_begin_of_key_checks_takes_access_away():
    old = clean()
    del old["tenants"]
    assert differences(clean(), old)[0][:2] == (Effect.TAKEN_AWAY, "key")
    assert differences(old, clean())[-1][3] == "keys are no longer checked"


def test_a_route_that_is_no_longer_public_takes_access_away():
    public = changed("routes.0.public", True)
    assert differences(clean(), public) == [(Effect.TAKEN_AWAY, "route", "ask", "no longer public")]
    assert differences(public) == [(Effect.ADDED, "route", "ask", "public now")]


def test_terms_of_engines_are_named():
    found = differences(changed("services.0.engine.slots", 8))
    assert found == [(Effect.LIMITS, "service", "s", "engine.slots 8, before 4")]


def test_limits_have_the_names_and_units_of_the_file():
    # Guards against internal names, which operators do not know, and values in other units.
    found = differences(changed("routes.0.timeout_ms", 950.5) | {"limits": {"idle_timeout_ms": 7}})
    assert [item[3] for item in found] == [
        "idle_timeout_ms 7, before 15000",
        "timeout_ms 950.5, before 900",
    ]
    delay = {"from": "a", "target_ver": "b", "delay_ms": 1}
    old = changed("services.0.engine.delays", [delay])
    new = changed("services.0.engine.delays", [delay | {"delay_ms": 2}])
    assert differences(new, old)[0][3] == "engine.delays[0].delay_ms 2, before 1"


def test_a_default_that_is_written_out_is_no_difference():
    assert differences(changed("routes.0.priority", 0) | {"limits": {}}) == []


def test_values_that_only_differ_in_type_after_conversion_are_equal():
    assert differences(changed("routes.0.timeout_ms", "900")) == []


def test_differences_do_not_show_keys():
    document = changed("tenants.0.api_keys", ["secret-key", "k3"])
    assert "secret-key" not in str(differences(document) + differences(clean(), document))


def test_a_version_that_gateways_ignore_is_a_fault():
    # Guards against a document that is sent and has no effect.
    assert _version_fault(clean()) is None
    assert _version_fault(changed("routes.0.attempts", 1)).place == "version"
    assert _version_fault(changed("routes.0.attempts", 1) | {"version": 4}) is None


def _version_fault(new):
    views = [view_configuration(encode(document)) for document in (clean(), new)]
    return find_version_fault(*views, compare(*views))
