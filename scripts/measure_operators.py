"""Print sizes and costs of documents, plans and burn windows at the design size."""

import random
import sys
import time
import tracemalloc

from pydantic import TypeAdapter

from bluebellrun.customers import hash_key
from bluebellrun.declarations import CustomerDocument, UpstreamDocument, encode_documents
from bluebellrun.plans import Change, ChangeKind, Plan, encode_plan
from bluebellrun.reports import Observation, Recorder, Row, Verdict

UPSTREAMS = 2_800
CUSTOMERS = 690
PRIORITIES = (1, 3, 6)
START = 1_700_000_000.0
NAMES = [f"customer-{number}" for number in range(CUSTOMERS)]
RECORDS = 50_000
SPAN_STEP_S = 3_600


def say(name: str, value: float, unit: str) -> None:
    """Write one figure."""
    sys.stdout.write(f"{name}: {value:,.4g} {unit}\n")


def upstreams() -> list[UpstreamDocument]:
    """Return the upstreams of the design size."""
    return [
        UpstreamDocument(
            name=f"draft-pool-{number}",
            service=f"pool-{number % 16}",
            agent=f"10.{number // 250}.{number % 250}.7:9002",
            host=f"host-{number}",
            region=f"region-{number % 6}",
            failure_domain=f"domain-{number % 18}",
        )
        for number in range(UPSTREAMS)
    ]


def measure_documents() -> None:
    """Print the sizes of stored documents and of the largest usual plan."""
    listed = upstreams()
    plain = sum(len(item.model_dump_json()) for item in listed)
    say("2,800 upstreams as JSON", plain / 1e3, "KB")
    say("2,800 upstreams as stored", len(encode_documents("upstream", listed)) / 1e3, "KB")
    customers = [
        CustomerDocument(name=f"customer-{n}", key_hashes=[hash_key(str(n)), hash_key(f"{n}b")])
        for n in range(CUSTOMERS)
    ]
    stored = len(encode_documents("customer", customers))
    say("690 customers with two keys as stored", stored / 1e3, "KB")
    changes = [
        Change(
            kind="upstream",
            name=item.name,
            action=ChangeKind.CHANGE,
            before=item.model_dump(mode="json"),
            after=item.model_dump(mode="json") | {"state": "draining"},
        )
        for item in listed
    ]
    plan = Plan(plan_id="p", intent="i", base={}, changes=changes, created_at=START)
    say("plan that changes 2,800 upstreams as stored", len(encode_plan(plan)) / 1e3, "KB")


def observation(source: random.Random, customer: int, urgency: int) -> Observation:
    """Return an ended request."""
    verdict = source.choice(list(Verdict))
    return Observation(urgency, f"customer-{customer}", verdict, source.random(), source.random())


def measure_recorder() -> None:
    """Print the cost of a record, the memory of full windows and the size of a report."""
    source = random.Random(1)
    seen = [
        observation(source, source.randrange(CUSTOMERS), source.choice(PRIORITIES))
        for _ in range(RECORDS)
    ]
    recorder = Recorder(START)
    begun = time.process_time()
    for index, item in enumerate(seen):
        recorder.record(item, START + index / 100)
    say("record of one request", (time.process_time() - begun) / RECORDS * 1e6, "us")
    tracemalloc.start()
    full = Recorder(START)
    for span in range(72):
        _fill(full, START + span * SPAN_STEP_S)
    for minute in range(60):
        _fill(full, START + 72 * SPAN_STEP_S + minute * 60)
    say(
        "windows with every customer in nearly every span",
        tracemalloc.get_traced_memory()[0] / 1e6,
        "MB",
    )
    tracemalloc.stop()
    now = START + 73 * SPAN_STEP_S
    rows: list[Row] = []
    parts: list[float] = []
    begun = time.process_time()
    for part in full.row_parts(now):
        rows += part
        parts.append(time.process_time() - begun)
        begun = time.process_time()
    say("making the rows of a report", sum(parts) * 1e3, "ms")
    say("longest part of that without a pause", max(parts) * 1e3, "ms")
    begun = time.process_time()
    size = len(TypeAdapter(list[Row]).dump_json(rows))
    say("writing them as JSON", (time.process_time() - begun) * 1e3, "ms")
    say("rows of a report as JSON", size / 1e3, "KB")


def _fill(recorder: Recorder, now: float) -> None:
    """Record a request of every customer and priority."""
    for urgency in PRIORITIES:
        for customer in range(CUSTOMERS):
            recorder.record(
                Observation(urgency, f"customer-{customer}", Verdict.LATE, 0.1, 0.0), now
            )


if __name__ == "__main__":
    measure_documents()
    measure_recorder()
