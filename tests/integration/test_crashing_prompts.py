"""Prompts that crash the engines that answer them, through entry and agents."""

import http.client
import json
import time
import urllib.error
import urllib.request
from functools import partial

import pytest

from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

KEY = "a-key"
ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
CRASH_TEXT = "crashes engines"
MAX_CRASHES = 2
ENDED_WITHIN_S = 2.0
CUT_OFF = 599


def start(fleet: LocalFleet) -> None:
    fleet.start_platform()
    fleet.start_together(*(partial(fleet.start_engine, name) for name in ENGINES))
    agents = {f"draft-{engine[-1]}": engine for engine in ENGINES}
    fleet.start_together(
        partial(fleet.start_entry, "entry-1"),
        *(
            partial(fleet.start_agent, agent, "draft-pool", engine)
            for agent, engine in agents.items()
        ),
    )
    documents: list[dict[str, object]] = [
        {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)]},
        {"kind": "service", "name": "draft-pool", "protocol": "model", "models": ["draft-large"]},
    ]
    for agent in agents:
        address = str(fleet[agent].address)
        documents.append(
            {"kind": "upstream", "name": agent, "service": "draft-pool", "agent": address}
        )
    fleet.declare(documents)
    fleet.wait_ready("entry-1")
    for engine in ENGINES:
        fleet.order(engine, "/standin/faults", {"crash_text": CRASH_TEXT})


def chat(fleet: LocalFleet, text: str, stream: bool) -> int:
    message = {"role": "user", "content": text}
    body = {"model": "draft-large", "messages": [message], "max_tokens": 4, "stream": stream}
    url = f"http://{fleet['entry-1'].address}/v1/chat/completions"
    headers = {"Authorization": f"Bearer {KEY}"}
    request = urllib.request.Request(url, json.dumps(body).encode(), headers, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            response.read()
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except http.client.IncompleteRead:
        return CUT_OFF


# Guards against one request that ends one engine after the other.
@pytest.mark.parametrize("stream", [True, False])
def test_one_request_ends_two_engines_at_most(tmp_path, stream):
    with LocalFleet(tmp_path) as fleet:
        start(fleet)
        assert chat(fleet, "A label.", stream) == 200
        assert chat(fleet, f"This {CRASH_TEXT}.", stream) >= 500
        deadline = time.monotonic() + ENDED_WITHIN_S
        while time.monotonic() < deadline:
            ended = [name for name in ENGINES if fleet[name].process.poll() is not None]
            time.sleep(0.1)
        assert 1 <= len(ended) <= MAX_CRASHES
