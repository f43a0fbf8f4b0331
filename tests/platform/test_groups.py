"""Requests to a service with several groups, of which one breaks."""

import time
from typing import Any

import curio
import pytest

from bluebellrun.gateway import _relay
from bluebellrun.routing import GroupMembers
from tests.platform.upstreams import GatewayBench, events, reply, sends, sends_and_closes, stream

NOT_RUN = reply(503, X_Bluebellrun_Not_Run="1")
DONE = reply(200, b"done")


@pytest.fixture(autouse=True)
def _no_resumption_after_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    """A stream that pauses before it is resumed is not resumed within the test."""
    monkeypatch.setattr(_relay, "RESUME_PAUSE_S", 60.0)


def run_check(check: Any, scripts: dict[str, Any], busy: tuple[str, ...] = ()) -> GatewayBench:
    """Run a check; groups are the first letters of upstreams, those that begin so have work."""
    bench = GatewayBench()

    async def main() -> None:
        await bench.start(*scripts.items())
        members = [
            GroupMembers(group, 1, 2, frozenset(name for name in scripts if name[0] == group))
            for group in sorted({name[0] for name in scripts})
        ]
        bench.fleet.groups.table.replace("s", members)
        for name in scripts:
            bench.fleet.stats(name).running = 3 * name.startswith(busy)
        await check(bench)

    curio.run(main)
    return bench


def break_group(bench: GatewayBench, rank: str) -> None:
    """Let two requests be refused by the group of a rank."""
    for _ in range(2):
        bench.gateway._controls.admission("s").gate.record_refusal(time.monotonic(), rank)


# Guards: a stream of a broken group waited, and was then offered to another rank of that group.
def test_a_broken_stream_goes_on_in_another_group_at_once():
    async def check(bench: GatewayBench) -> None:
        answer = await bench.send_request("/talk/a", deadline="8000")
        assert (answer.body, answer.is_complete) == (events(1, 2, 3, 4), True)

    broken = sends_and_closes(stream(1, 2, complete=False))
    scripts = dict.fromkeys(("a0", "a1"), broken) | {"b0": sends(stream(3, 4))}
    bench = run_check(check, scripts, busy=("b",))
    assert bench.names()[1] == "b0" and len(bench.names()) == 2
    assert bench.arrivals[1].headers["last-event-id"] == "2"


# Guards: two ranks of one broken group refused, and the request was refused though another is open.
def test_a_request_that_a_broken_group_refuses_is_served_by_another():
    async def check(bench: GatewayBench) -> None:
        for _ in range(6):
            answer = await bench.send_request("/ask/a", deadline="8000")
            assert (answer.status, answer.body) == (200, b"done")

    refuses = dict.fromkeys(("a0", "a1"), sends(NOT_RUN))
    bench = run_check(check, refuses | {"b0": sends(DONE), "b1": sends(DONE)}, busy=("b",))
    # Two refusals show the outage; the other requests go to the open group at once.
    assert [name[0] for name in bench.names()] == ["a", "b", "a", "b", "b", "b", "b", "b"]


# Guards: a refused probe used up the one refusal that a request may get from a full upstream.
def test_a_refused_probe_does_not_count_as_a_refusal_of_a_full_group():
    async def check(bench: GatewayBench) -> None:
        break_group(bench, "a0")
        bench.gateway._controls.admission("s").gate._probed_at.clear()
        answer = await bench.send_request("/ask/a", deadline="8000")
        assert answer.status == 200

    scripts = {"a0": sends(NOT_RUN), "b0": sends(NOT_RUN), "c0": sends(DONE)}
    run_check(check, scripts, busy=("c",))


# Guards: with no other group open, a stream was broken off instead of being offered to its own.
def test_a_stream_of_the_only_open_group_is_resumed_there(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(_relay, "RESUME_PAUSE_S", 0.01)

    async def check(bench: GatewayBench) -> None:
        break_group(bench, "b0")
        answer = await bench.send_request("/talk/a", deadline="8000")
        assert (answer.body, answer.is_complete) == (events(1, 2, 3), True)

    scripts = {
        "a0": sends_and_closes(stream(1, 2, complete=False)),
        "a1": sends(stream(3)),
        "b0": sends(NOT_RUN),
    }
    run_check(check, scripts, busy=("a1",))


# Guards: in an outage of all groups a stream tried each rank of one group before it came back to
# another, which had formed first.
def test_a_stream_that_all_groups_refused_is_offered_to_any_of_them(
    monkeypatch: pytest.MonkeyPatch,
):
    monkeypatch.setattr(_relay, "RESUME_PAUSE_S", 0.01)

    async def check(bench: GatewayBench) -> None:
        bench.fleet.stats("a1").running = 1
        answer = await bench.send_request("/talk/a", deadline="8000")
        assert (answer.body, answer.is_complete) == (events(1, 2, 3), True)

    breaks, forms = sends_and_closes(stream(1, 2, complete=False)), sends(stream(3))
    refusing = {f"b{rank}": sends(NOT_RUN) for rank in range(4)}
    bench = run_check(check, {"a0": breaks, "a1": forms} | refusing, busy=("b",))
    names = bench.names()
    assert (names[0], names[1][0], names[2:]) == ("a0", "b", ["a1"])
