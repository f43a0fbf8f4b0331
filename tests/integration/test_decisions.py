"""Admission and routing in real processes."""

import json
import threading
import time
import urllib.error
import urllib.request

from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

KEY = "a-key"
LONG_TOKENS = 100


def start(fleet: LocalFleet, engine: tuple[str, ...], agent: tuple[str, ...]) -> None:
    fleet.start_platform()
    fleet.start_engine("engine-1", "--slots", "1", *engine)
    fleet.start_agent("draft-1", "draft-pool", "engine-1", "--concurrency", "1", *agent)
    fleet.start_entry("entry-1")
    fleet.declare(
        [
            {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)]},
            {"kind": "service", "name": "draft-pool", "protocol": "model", "models": ["draft"]},
            {"kind": "priority", "name": "urgent", "urgency": 1, "first_token_s": 20.0},
            {"kind": "priority", "name": "bulk", "urgency": 6, "first_token_s": 20.0},
            {
                "kind": "upstream",
                "name": "draft-1",
                "service": "draft-pool",
                "agent": str(fleet["draft-1"].address),
            },
        ]
    )
    fleet.wait_ready("entry-1")


def ask(fleet: LocalFleet, urgency: int, tokens: int, timeout_ms: int = 30_000) -> bytes:
    body = {"model": "draft", "max_tokens": tokens, "stream": True}
    body["messages"] = [{"role": "user", "content": "A label."}]
    headers = {"Authorization": f"Bearer {KEY}", "Priority": f"u={urgency}"}
    headers["Request-Timeout-Ms"] = str(timeout_ms)
    url = f"http://{fleet['entry-1'].address}/v1/chat/completions"
    request = urllib.request.Request(url, json.dumps(body).encode(), headers)
    with urllib.request.urlopen(request, timeout=60) as response:
        return bytes(response.read())


class Asking:
    """A request in a thread of its own."""

    def __init__(self, fleet: LocalFleet, urgency: int, tokens: int) -> None:
        self.body = b""
        self.status = 0
        self.retry_after: str | None = None
        self.problem: dict[str, object] = {}
        self._thread = threading.Thread(target=self._ask, args=(fleet, urgency, tokens))
        self._thread.start()

    @property
    def ended(self) -> bool:
        return not self._thread.is_alive()

    def join(self) -> None:
        self._thread.join()

    def _ask(self, fleet: LocalFleet, urgency: int, tokens: int) -> None:
        try:
            self.body = ask(fleet, urgency, tokens)
        except urllib.error.HTTPError as error:
            self.status = error.code
            self.retry_after = error.headers["Retry-After"]
            self.problem = json.load(error)


def wait_running(fleet: LocalFleet) -> None:
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        if fleet.ask("engine-1", "/standin/records"):
            return
        time.sleep(0.02)
    raise AssertionError("the engine runs nothing")


def test_a_running_request_is_paused_for_an_urgent_one_and_ends_whole(fleet):
    start(
        fleet,
        ("--preempts", "--step-base-s", "0.02"),
        ("--engine-preempts", "true"),
    )
    low = Asking(fleet, 6, LONG_TOKENS)
    wait_running(fleet)
    urgent = ask(fleet, 1, 5)
    assert not low.ended
    low.join()
    assert urgent.count(b"data: ") == 6
    assert low.body.count(b"data: ") == LONG_TOKENS + 1


def test_a_request_that_loses_its_place_is_answered_at_once(fleet):
    start(fleet, ("--step-base-s", "0.02"), ("--max-waiting", "1"))
    running = Asking(fleet, 6, LONG_TOKENS)
    wait_running(fleet)
    waiting = Asking(fleet, 6, 5)
    time.sleep(0.2)
    urgent = Asking(fleet, 1, 5)
    waiting.join()
    assert not running.ended
    assert waiting.status == 503
    assert waiting.problem["outcome"] == "not_run"
    assert waiting.retry_after is not None
    running.join()
    urgent.join()
    assert urgent.body.count(b"data: ") == 6


def test_a_request_that_cannot_be_on_time_is_refused_early(fleet):
    start(fleet, ("--step-base-s", "0.02"), ())
    for _ in range(2):
        ask(fleet, 6, 5)
    running = Asking(fleet, 6, LONG_TOKENS)
    wait_running(fleet)
    try:
        ask(fleet, 6, 50, timeout_ms=1_000)
        raise AssertionError("it was answered though it could not be on time")
    except urllib.error.HTTPError as error:
        assert error.code == 503
        assert json.load(error)["outcome"] == "not_run"
    assert not running.ended
    running.join()
