"""The soak of the platform's programs: its checks see what they are for, and a short run holds."""

from dataclasses import replace
from pathlib import Path

import pytest

from bench.platform_soak.__main__ import run
from bench.platform_soak._callers import Told
from bench.platform_soak._checks import find_unrecovered, find_violations
from bench.platform_soak._programs import Program
from bench.platform_soak._upstreams import (
    CrashingPart,
    LimitPeriod,
    Record,
    Run,
    event,
    event_count,
    whole_answer,
)
from bluebellrun.core import Address

GATEWAY = Program("g1", "gateway", "127.0.0.1", "a", Address("127.0.0.1", 1), Path())
BODY = b"body"
RUN = Run("i-1", 100.0, 5_900.0, "one", False, 0, BODY, ended=True)
EVENTS = [event("r1", number) for number in range(1, event_count(BODY) + 1)]


def told(kind="order", **more):
    base = Told("r1", kind, "one", BODY, GATEWAY, 100.0, 101.0, 200, ending="whole")
    base.body = whole_answer("r1", BODY) if kind != "draft" else b"".join(EVENTS)
    base.stamp = "i-1.r1"
    return replace(base, **more)


def violations(answer, *runs):
    record = Record()
    for item in runs:
        record.runs.setdefault("r1", []).append(item)
    return find_violations([answer], record)


@pytest.mark.parametrize("kind", ["order", "draft"])
def test_a_right_answer_breaks_nothing(kind):
    assert violations(told(kind), RUN) == []


@pytest.mark.parametrize(
    ("answer", "runs", "found"),
    [
        (told(), [RUN, replace(RUN, upstream="i-2")], "ran 2 times"),
        (told(status=503, retry_after="1", body=b""), [RUN], "was told 503 and ran"),
        (told(status=503, body=b""), [], "without a time to come back"),
        (told(body=b"another"), [RUN], "not the upstream's"),
        (told(), [], "not the upstream's"),
        (told(stamp="i-1.r2"), [RUN], "stamp"),
        (told(), [replace(RUN, body=b"other")], "another body"),
        (told(), [replace(RUN, customer="two")], "ran for 'two'"),
        (told(), [replace(RUN, keyed=True)], "key passed on"),
        (told(), [replace(RUN, deadline_ms=None)], "handed None"),
        (told(), [replace(RUN, began=103.0)], "handed 5900.0"),
        (told(ending="cut"), [RUN], "cut off"),
        (told(ending="silent"), [RUN], "no answer in time"),
        (told(status=404, body=b""), [], "refused with 404"),
        (told("draft", body=b"".join(EVENTS[:2])), [RUN], "ends as complete"),
        (told("draft", body=EVENTS[0] + EVENTS[2]), [RUN], "events missing"),
        (told("draft", body=EVENTS[0] + EVENTS[0]), [RUN], "events missing"),
        (
            told("look"),
            [RUN, replace(RUN, upstream="i-2"), replace(RUN, upstream="i-3")],
            "ran at",
        ),
    ],
)
def test_each_broken_promise_is_seen(answer, runs, found):
    lines = violations(answer, *runs)
    assert any(found in line for line in lines), lines


def test_requests_that_go_on_crashing_upstreams_are_seen():
    crashes = [float(number) for number in range(5)]
    sent = Record(crashing={"dead": CrashingPart(crashes, [8.0, 8.1, 8.2, 8.3])})
    assert "once it was known" in find_violations([], sent)[0]
    kept = Record(crashing={"dead": CrashingPart(crashes, [6.9, 8.1, 8.2, 8.3])})
    assert find_violations([], kept) == []


def test_requests_beyond_a_named_limit_are_seen():
    arrivals = [(100.0, "r1"), *((105.0 + 0.1 * number, "r1") for number in range(12))]
    record = Record({"r1": [RUN]}, [LimitPeriod("i-1", 1.0, 100.0, arrivals)])
    assert "its limit allows 11" in find_violations([told()], record)[0]
    record.limits[0].arrivals.pop()
    assert find_violations([told()], record) == []


def test_a_sound_request_that_is_refused_for_good_is_seen():
    assert violations(told("draft", status=422, body=b""))
    assert not violations(told("draft", status=422, body=b"", crashing=True))


def test_a_request_that_nobody_sent_is_seen():
    record = Record({"smuggled": [RUN]})
    assert "no caller sent it" in find_violations([told()], record)[0]


def test_a_cut_beside_a_disturbance_is_no_broken_promise():
    assert violations(told(ending="cut", disturbed=True), RUN) == []


def test_a_system_that_does_not_serve_again_is_seen():
    refused = [told(status=503, began=200.0 + n) for n in range(10)]
    assert find_unrecovered(refused, 150.0)
    assert find_unrecovered([], 150.0)
    assert not find_unrecovered([told(began=200.0)], 150.0)


def test_a_short_run_keeps_all_promises(tmp_path):
    assert run(4, 6.0, tmp_path, "127.201") == 0


def test_a_request_at_an_upstream_that_has_left_is_found():
    record = Record({"r1": [RUN]}, left={RUN.upstream: RUN.began - 2.2})
    found = find_violations([told()], record)
    assert "after it left" in found[0]
    record.left[RUN.upstream] = RUN.began - 1.9
    assert find_violations([told()], record) == []
