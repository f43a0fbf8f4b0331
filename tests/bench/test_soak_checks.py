from collections import Counter

import pytest

from bench.soak._checks import Truth, find_violations, unknown_share
from bench.soak._records import Diary, Kind, Told, Window


def told(kind: Kind, outcome: str, **changes: object) -> Told:
    fields = {
        "kind": kind,
        "key": "k" if kind is Kind.KEYED_ORDER else "",
        "request_id": "r",
        "status": 200,
        "outcome": outcome,
        "detail": "",
        "digest": "d",
        "replayed": False,
        "started": 10.0,
        "ended": 11.0,
    }
    return Told(**(fields | changes))


def truth(keys=(), requests=(), records=()) -> Truth:
    found = Truth(Counter(dict(keys)), Counter(dict(requests)))
    for request, digest in records:
        found.records[request].append({"sha256": digest})
    return found


BROKEN = {
    "a key ran twice": ([], truth(keys=[("k", 2)])),
    "an unkeyed order ran twice": ([], truth(requests=[("r", 2)])),
    "told not_run and ran": ([told(Kind.ORDER, "not_run")], truth(requests=[("r", 1)])),
    "told ran and did not": ([told(Kind.ORDER, "ran")], truth()),
    "a stream told not_run and ran": (
        [told(Kind.STREAM, "not_run")],
        truth(records=[("r", "d")]),
    ),
    "an answer that is not the engine's": (
        [told(Kind.STREAM, "ran")],
        truth(records=[("r", "other")]),
    ),
    "a key told ran that never did": (
        [told(Kind.KEYED_ORDER, "ran", replayed=True)],
        truth(),
    ),
    "a key told only not_run that ran": (
        [told(Kind.KEYED_ORDER, "not_run", request_id="")],
        truth(keys=[("k", 1)]),
    ),
    "a key answered in two ways": (
        [
            told(Kind.KEYED_ORDER, "ran", replayed=True),
            told(Kind.KEYED_ORDER, "ran", replayed=True, digest="e"),
        ],
        truth(keys=[("k", 1)]),
    ),
    "an answer without an outcome": ([told(Kind.ORDER, "malformed")], truth()),
}


@pytest.mark.parametrize("name", BROKEN)
def test_each_broken_promise_is_found(name):
    answers, counted = BROKEN[name]
    assert find_violations(Diary(list(answers)), counted)


def test_kept_promises_are_no_violations():
    answers = [
        told(Kind.KEYED_ORDER, "ran"),
        told(Kind.KEYED_ORDER, "ran", replayed=True, request_id="r2"),
        told(Kind.KEYED_ORDER, "unknown", request_id="r3"),
        told(Kind.ORDER, "not_run", request_id="r4"),
        told(Kind.STREAM, "ran", request_id="r5"),
        told(Kind.STREAM, "cut", request_id="r6"),
    ]
    counted = truth([("k", 1)], [("r", 1)], [("r5", "d"), ("r6", "e")])
    assert find_violations(Diary(answers), counted) == []


def test_unknown_answers_are_counted_outside_kills_only():
    inside = told(Kind.STREAM, "cut", started=1.0, ended=2.0)
    outside = told(Kind.STREAM, "cut", started=5.0, ended=6.0)
    unknown, total = unknown_share(Diary([inside, outside]), [Window(0.0, 3.0)])
    assert (unknown, total) == ([outside], 1)
