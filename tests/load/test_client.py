import hashlib
import json
from pathlib import Path

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import HttpExchange, HttpLimits, HttpServer
from bluebellrun.load import (
    Scenario,
    load_scenario,
    plan_arrivals,
    run_arrivals,
    summarize,
)
from bluebellrun.load._verification import digest_of

SCENARIOS = sorted((Path(__file__).parents[2] / "examples" / "load").glob("*.yaml"))
SCENARIO = Scenario.model_validate(
    {
        "name": "s",
        "streams": [
            {
                "name": "a",
                "key": "k",
                "prompt_words": 3,
                "phases": [{"start_s": 0, "end_s": 0.2, "rate": 50}],
            }
        ],
    }
)


def stream_answer(messages: object, text: str, digest: str | None) -> bytes:
    event: dict[str, object] = {"choices": [{"delta": {"content": text}}]}
    last = {"choices": [], "answer_sha256": digest} if digest else {"choices": []}
    lines = [json.dumps(event), json.dumps(last), "[DONE]"]
    return "".join(f"data: {line}\n\n" for line in lines).encode()


class Fake:
    """Answers by ``mode``: right, foreign, changed, plain, cut, refused or silent of digests."""

    def __init__(self, mode: str) -> None:
        self.mode = mode

    async def handle(self, exchange: HttpExchange) -> None:
        messages = json.loads(exchange.request.body)["messages"]
        digest: str | None = digest_of(messages, "text")
        text = "text"
        if self.mode == "refused":
            problem = {"outcome": "not_run", "detail": "no"}
            await exchange.answer_json(503, problem)
            return
        if self.mode == "foreign":
            digest = digest_of([{"role": "user", "content": "other"}], "text")
        if self.mode == "changed":
            text = "tex"
        if self.mode == "silent":
            digest = None
        if self.mode == "plain":
            body = hashlib.sha256(exchange.request.body).hexdigest()
            await exchange.answer_json(200, {"body_sha256": body})
            return
        data = stream_answer(messages, text, digest)
        if self.mode == "cut":
            data = data.replace(b"data: [DONE]\n\n", b"")
        await exchange.answer(200, [("content-type", "text/event-stream")], data)


def run(mode: str):
    async def main():
        server = HttpServer(Address("127.0.0.1", 0), Fake(mode).handle, HttpLimits())
        await curio.spawn(server.run, daemon=True)
        arrivals = plan_arrivals(SCENARIO, 3)
        samples = await run_arrivals(arrivals, [server.address], 10.0, verify=True)
        await server.close()
        return arrivals, samples

    arrivals, samples = curio.run(main)
    (summary,) = summarize(arrivals, samples)
    return summary


@pytest.mark.parametrize("mode", ["right", "plain"])
def test_right_answers_are_verified(mode):
    summary = run(mode)
    assert summary.requests > 3
    assert summary.verified == summary.whole == summary.requests
    assert summary.first_byte_percentiles["50"] > 0


@pytest.mark.parametrize("mode", ["foreign", "changed"])
def test_an_answer_to_another_request_or_with_other_text_is_wrong_and_not_whole(mode):
    summary = run(mode)
    assert (summary.wrong, summary.whole) == (summary.requests, 0)
    assert summary.outcomes == {"wrong": summary.requests}


@pytest.mark.parametrize(("mode", "outcome"), [("cut", "cut"), ("refused", "not_run")])
def test_what_is_not_whole_is_not_counted_as_wrong(mode, outcome):
    summary = run(mode)
    assert (summary.wrong, summary.whole) == (0, 0)
    assert summary.outcomes == {outcome: summary.requests}
    assert sum(summary.details.values()) == summary.requests


def test_an_answer_without_a_digest_is_whole_but_not_verified():
    summary = run("silent")
    assert (summary.verified, summary.whole) == (0, summary.requests)


def test_arrivals_depend_on_the_seed_alone():
    assert plan_arrivals(SCENARIO, 1) == plan_arrivals(SCENARIO, 1)
    assert plan_arrivals(SCENARIO, 1) != plan_arrivals(SCENARIO, 2)


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_example_scenarios_are_valid(path):
    assert load_scenario(path).name == path.stem
    assert plan_arrivals(load_scenario(path), 1)
