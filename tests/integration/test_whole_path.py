"""The whole path with real processes: callers, entry, agents, engines, platform."""

import hashlib
import http.client
import json
import signal
import threading
import time
import urllib.error
import urllib.request

import pytest

from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

KEY = "a-key"


def declare(fleet: LocalFleet, agents: dict[str, str]) -> None:
    documents: list[dict[str, object]] = [
        {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)], "most_urgent": 2},
        {"kind": "service", "name": "draft-pool", "protocol": "model", "models": ["draft-large"]},
        {"kind": "service", "name": "job-ledger", "protocol": "plain"},
    ]
    for name, service in agents.items():
        address = str(fleet[name].address)
        documents.append({"kind": "upstream", "name": name, "service": service, "agent": address})
    fleet.declare(documents)
    fleet.wait_ready("entry-1")


def start(fleet: LocalFleet, engines: int = 1, *agent_arguments: str) -> None:
    fleet.start_platform()
    agents = {}
    for number in range(1, engines + 1):
        fleet.start_engine(f"engine-{number}")
        agents[f"draft-{number}"] = "draft-pool"
        fleet.start_agent(f"draft-{number}", "draft-pool", f"engine-{number}", *agent_arguments)
    fleet.start_entry("entry-1")
    declare(fleet, agents)


def open_chat(fleet: LocalFleet, tokens: int, **headers: str):
    body = {
        "model": "draft-large",
        "messages": [{"role": "user", "content": "A label."}],
        "max_tokens": tokens,
        "stream": True,
    }
    fields = {"Authorization": f"Bearer {KEY}"} | headers
    request = urllib.request.Request(
        f"http://{fleet['entry-1'].address}/v1/chat/completions",
        json.dumps(body).encode(),
        fields,
    )
    return urllib.request.urlopen(request, timeout=30)


def test_a_streamed_answer_equals_the_engines_record(fleet):
    start(fleet)
    with open_chat(fleet, 50) as response:
        body = response.read()
        request_id = response.headers["Request-Id"]
    record = fleet.ask("engine-1", "/standin/records")[f"{request_id}.1"]
    assert record["sha256"] == hashlib.sha256(body).hexdigest()
    assert body.endswith(b"data: [DONE]\n\n")
    assert set(fleet.stop_all().values()) == {0}


def test_an_unknown_key_is_refused_as_not_run(fleet):
    start(fleet)
    with pytest.raises(urllib.error.HTTPError) as caught:
        open_chat(fleet, 5, Authorization="Bearer other")
    assert caught.value.code == 401
    assert json.load(caught.value)["outcome"] == "not_run"


def test_an_engine_killed_in_mid_answer_breaks_the_transfer_without_done(fleet):
    start(fleet)
    response = open_chat(fleet, 500)
    first = response.read(100)
    fleet.kill("engine-1")
    rest = b""
    with pytest.raises(http.client.IncompleteRead), response:
        while data := response.read1(1_000):
            rest += data
    assert first.startswith(b"data: ")
    assert b"[DONE]" not in rest
    assert b"event: error" in rest


def test_a_caller_that_hangs_up_frees_the_upstream(fleet):
    start(fleet)
    response = open_chat(fleet, 5_000)
    response.read(100)
    response.close()
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        url = f"http://{fleet['engine-1'].address}/metrics"
        with urllib.request.urlopen(url) as metrics:
            if b"engine_requests_running 0" in metrics.read():
                return
        time.sleep(0.05)
    pytest.fail("the engine still runs the request")


def test_a_slow_reader_gets_its_whole_answer(fleet):
    start(fleet, 1, "--answer-window-bytes", "4096")
    with open_chat(fleet, 300) as response:
        body = b""
        while data := response.read1(2_000):
            body += data
            time.sleep(0.02)
    assert body.count(b"data: ") == 301


def test_two_hundred_streams_at_once_all_end_whole(fleet):
    start(fleet, 3, "--concurrency", "100")
    bodies = []

    def work() -> None:
        with open_chat(fleet, 20) as response:
            bodies.append(response.read())

    threads = [threading.Thread(target=work) for _ in range(200)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(bodies) == 200
    assert all(body.endswith(b"data: [DONE]\n\n") for body in bodies)


@pytest.mark.parametrize("stopped", ["entry-1", "draft-1"])
def test_a_stop_cuts_off_no_answer_in_progress(fleet, stopped):
    start(fleet)
    with open_chat(fleet, 200) as response:
        body = response.read(100)
        fleet.send_signal(stopped, signal.SIGTERM)
        body += response.read()
    assert body.endswith(b"data: [DONE]\n\n")
    assert fleet.wait(stopped) == 0
