"""The promises, checked against what callers were told and what the upstreams ran."""

from collections import Counter

from bench.platform_soak._callers import Told
from bench.platform_soak._upstreams import Record, Run, event, event_count, whole_answer
from bench.platform_soak._world import DEADLINE_S, DRAIN_S

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
OK = 200
MOST_ATTEMPTS = {"draft": 3, "order": 1, "look": 2}
DEADLINE_SLACK_S = 0.5
# What a request takes from a gateway to an upstream.
ARRIVAL_S = 0.05
# Of the requests that began after the faults had ended, this part has to be served.
LEAST_SERVED_AFTER = 0.95
# In any window an upstream that names a limit gets half more than that and a slack at most, from
# gateways that it has told, once it has named the limit for some seconds.
LIMIT_WINDOW_S, LIMIT_RATIO, LIMIT_SLACK = 4.0, 1.5, 5
LIMIT_TOLD_S, LIMIT_KNOWN_S = 0.5, 3.0
# After the fifth crash by a part, and the time in which entries learn of it, at most this many
# requests with it may reach upstreams.
KNOWN_AFTER_CRASHES, KNOWN_AFTER_S, MAX_ARRIVALS_ONCE_KNOWN = 5, 3.0, 3


def find_violations(told: list[Told], record: Record) -> list[str]:
    """Return each broken promise in one line."""
    found: list[str] = []
    by_id = {item.request_id: item for item in told}
    for request_id, runs in record.runs.items():
        caller = by_id.get(request_id)
        if caller is None:
            found.append(f"{request_id!r} ran and no caller sent it")
            continue
        found += _check_runs(caller, runs)
    for item in told:
        found += _check_answer(item, record.runs.get(item.request_id, []))
    found += _check_limits(by_id, record) + _check_departures(by_id, record)
    return found + _check_crashing_parts(record)


def _check_limits(by_id: dict[str, Told], record: Record) -> list[str]:
    """Check that upstreams get no more than the limits that they named."""
    found = []
    for period in record.limits:
        told_at: dict[str, float] = {}
        counted = []
        for at, request_id in period.arrivals:
            told = by_id.get(request_id)
            if told is None or told.disturbed:
                continue
            known_at = told_at.setdefault(told.gateway.name, told.ended) + LIMIT_TOLD_S
            if at >= max(known_at, period.began + LIMIT_KNOWN_S):
                counted.append(at)
        allowed = LIMIT_RATIO * LIMIT_WINDOW_S * period.per_s + LIMIT_SLACK
        most = max(
            (sum(0 <= at - t < LIMIT_WINDOW_S for at in counted) for t in counted), default=0
        )
        if most > allowed:
            found.append(f"{period.upstream} got {most} requests, its limit allows {allowed:.0f}")
    return found


def _check_departures(by_id: dict[str, Told], record: Record) -> list[str]:
    """Check that upstreams that have left get no requests."""
    found = []
    for request_id, runs in record.runs.items():
        told = by_id.get(request_id)
        for run in runs:
            left_at = record.left.get(run.upstream)
            if left_at is None or told is None or told.disturbed:
                continue
            if run.began > left_at + DRAIN_S + ARRIVAL_S:
                late_s = run.began - left_at
                found.append(f"{request_id} ran at {run.upstream} {late_s:.1f} s after it left")
    return found


def _check_crashing_parts(record: Record) -> list[str]:
    """Check that requests known to crash upstreams are kept from them."""
    found = []
    for part, crashing in record.crashing.items():
        if len(crashing.crashes) < KNOWN_AFTER_CRASHES:
            continue
        known_at = crashing.crashes[KNOWN_AFTER_CRASHES - 1] + KNOWN_AFTER_S
        late = sum(at > known_at for at in crashing.arrivals)
        if late > MAX_ARRIVALS_ONCE_KNOWN:
            found.append(f"{late} requests with part {part} reached upstreams once it was known")
    return found


def _check_runs(told: Told, runs: list[Run]) -> list[str]:
    """Check what ran for one request."""
    what, found = f"{told.kind} {told.request_id}", []
    if told.kind == "order" and len(runs) > 1:
        found.append(f"{what} ran {len(runs)} times")
    if told.status in NOT_RUN_STATUSES:
        found.append(f"{what} was told {told.status} and ran")
    if len({run.upstream for run in runs}) > MOST_ATTEMPTS[told.kind]:
        found.append(f"{what} ran at {[run.upstream for run in runs]}")
    for run in runs:
        if run.body != told.sent:
            found.append(f"{what} ran with another body")
        if run.customer != told.customer or run.keyed:
            found.append(f"{what} ran for {run.customer!r}, key passed on: {run.keyed}")
        left_s = DEADLINE_S - (run.began - told.began)
        if told.disturbed and run.deadline_ms is not None:
            continue
        if run.deadline_ms is None or run.deadline_ms / 1000 > left_s + DEADLINE_SLACK_S:
            found.append(f"{what} was handed {run.deadline_ms} ms with {left_s:.1f} s left")
    return found


def _check_answer(told: Told, runs: list[Run]) -> list[str]:
    """Check the answer to one request."""
    what = f"{told.kind} {told.request_id} at {told.gateway.name}"
    if told.ending == "silent" and not told.disturbed:
        return [f"{what} got no answer in time"]
    if told.ending == "cut" and not told.disturbed:
        return [f"{what} was cut off with {told.status} and {len(told.body)} bytes"]
    if told.status == OK and told.kind == "draft":
        return _check_stream(what, told)
    if told.ending != "whole":
        return []
    if told.status == OK:
        right = whole_answer(told.request_id, told.sent)
        if told.body != right or not any(run.ended for run in runs):
            return [f"{what} got a body that is not the upstream's: {told.body[:60]!r}"]
        if not told.stamp.endswith(f".{told.request_id}"):
            return [f"{what} has the stamp {told.stamp!r}"]
    if told.status in (400, 401, 403, 404):
        return [f"{what} was refused with {told.status}"]
    if told.status == 422 and (not told.crashing or runs):
        return [f"{what} was refused with 422, crashing: {told.crashing}, runs: {len(runs)}"]
    if told.status == 503 and not told.retry_after:
        return [f"{what} was refused without a time to come back"]
    return []


def _check_stream(what: str, told: Told) -> list[str]:
    """Check that a stream holds each event once and in order, and ends whole only if it is."""
    count = event_count(told.sent)
    right = b"".join(event(told.request_id, number) for number in range(1, count + 1))
    if not right.startswith(told.body):
        return [f"{what} has events missing, twice or of another: {told.body[-80:]!r}"]
    if told.ending == "whole" and told.body != right:
        return [f"{what} ends as complete after {len(told.body)} of {len(right)} bytes"]
    return []


def find_unrecovered(told: list[Told], whole_since: float) -> list[str]:
    """Return a line if too few of the requests after the faults were served."""
    after = [item for item in told if item.began >= whole_since]
    served = sum(item.status == OK and item.ending == "whole" for item in after)
    if after and served >= LEAST_SERVED_AFTER * len(after):
        return []
    endings = Counter(f"{item.kind} {item.status} {item.ending}" for item in after)
    return [f"after the faults {served} of {len(after)} were served: {dict(endings)}"]
