import json

import pytest

from bluebellrun.core import NotRun, RequestId
from bluebellrun.customers import hash_key
from bluebellrun.declarations import (
    CustomerDocument,
    PriorityDocument,
    ServiceDocument,
    build_configuration,
)
from bluebellrun.entry._callers import read_request
from bluebellrun.entry._problems import CallerError
from bluebellrun.http import HttpRequest

CONFIGURATION = build_configuration(
    1,
    [
        CustomerDocument(
            name="shop", key_hashes=[hash_key("k")], most_urgent=2, services=["pool", "jobs"]
        ),
        PriorityDocument(name="soon", urgency=2, deadline_s=5.0),
        ServiceDocument(name="pool", protocol="model", models=["m"]),
        ServiceDocument(name="jobs", protocol="plain"),
        ServiceDocument(name="other", protocol="plain"),
    ],
)
CHAT = {"model": "m", "messages": [], "stream": True}


def read(path="/v1/chat/completions", method="POST", body=CHAT, **fields):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = [("authorization", "Bearer k")]
    headers = [(k.replace("_", "-"), v) for k, v in fields.items()] or headers
    if "authorization" not in fields:
        headers.append(("authorization", "Bearer k"))
    request = HttpRequest(method, path, headers, raw)
    return read_request(CONFIGURATION, request, RequestId("r"), 100.0, 60.0)


def test_a_priority_is_capped_at_the_customers_most_urgent():
    assert read(priority="u=0").priority == 2
    assert read(priority="u=5, i").priority == 5
    assert read(priority="nonsense").priority == 3


def test_the_callers_timeout_is_capped_by_the_priority():
    assert read(priority="u=1", request_timeout_ms="1500").deadline == 101.5
    assert read(priority="u=1", request_timeout_ms="99000").deadline == 105.0


def test_a_plain_request_keeps_its_path_and_query():
    request = read("/services/jobs/a/b?c=d", "PUT", b"x")
    assert (request.service.name, request.target) == ("jobs", "/a/b?c=d")
    assert read("/services/jobs?c=d", "GET", b"").target == "/?c=d"


def test_only_idempotent_requests_without_a_key_may_be_repeated():
    assert read().repeatable
    assert read("/services/jobs/x", "GET").repeatable
    assert not read("/services/jobs/x", "POST").repeatable
    assert not read(idempotency_key="once").repeatable


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        ({"authorization": "Basic k"}, 401),
        ({"authorization": "Bearer wrong"}, 401),
        ({"path": "/nowhere"}, 404),
        ({"path": "/services/none/x"}, 404),
        ({"path": "/services/other/x"}, 403),
        ({"method": "GET"}, 405),
        ({"body": b"{"}, 400),
        ({"body": b"[]"}, 400),
        ({"body": {"model": 3}}, 400),
        ({"body": {"model": "unknown"}}, 404),
        ({"request_timeout_ms": "soon"}, 400),
        ({"request_timeout_ms": "-1"}, 400),
        ({"request_timeout_ms": "nan"}, 400),
        ({"idempotency_key": ""}, 400),
        ({"idempotency_key": "k" * 256}, 400),
    ],
)
def test_invalid_requests_are_refused_as_not_run(arguments, status):
    with pytest.raises(CallerError) as caught:
        read(**arguments)
    assert caught.value.problem.status == status
    assert isinstance(caught.value.problem.outcome, NotRun)
