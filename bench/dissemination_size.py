"""What one process pays at the design size: documents, members and tree, in one process.

390 entries and 2,800 agents in 18 failure domains; 690 customers, 16 services and 2,800
upstreams in the configuration.
"""

import json
import time
import tracemalloc
from collections.abc import Callable

import curio

from bench._results import Measure
from bluebellrun.core import MonotonicClock
from bluebellrun.customers import hash_key
from bluebellrun.distribution import (
    ConfigurationFollower,
    DocumentSet,
    decode_delta,
    encode_delta,
)
from bluebellrun.membership import MemberRow, MemberTable, RelayTree, SuspicionTiming
from bluebellrun.messages import MemberRows, encode_message

CUSTOMERS = 690
SERVICES = 16
UPSTREAMS = 2_800
PROCESSES = 3_190
DOMAINS = 18
DOMAIN_MEMBERS = PROCESSES // DOMAINS
REPEATS = 20
CHANGES_A_DAY = 4_400
DAY_S = 86_400


def _stored(changed: int) -> dict[str, bytes]:
    """Return all documents as stored, after a number of changes to one upstream."""
    customers = [
        {"kind": "customer", "name": f"customer-{n}", "key_hashes": [hash_key(str(n))]}
        for n in range(CUSTOMERS)
    ]
    services = [
        {"kind": "service", "name": f"pool-{n}", "protocol": "model", "models": [f"model-{n}"]}
        for n in range(SERVICES)
    ]
    upstreams = [
        {
            "kind": "upstream",
            "name": f"agent-{n}",
            "service": f"pool-{n % SERVICES}",
            "agent": f"10.0.{n // 250}.{n % 250 + 1}:7000",
            "host": f"host-{n}",
            "region": f"region-{n % 6}",
            "failure_domain": f"domain-{n % DOMAINS}",
            "state": "draining" if n == changed else "active",
        }
        for n in range(UPSTREAMS)
    ]
    kinds = {"customer": customers, "service": services, "upstream": upstreams}
    return {
        kind: json.dumps({"kind": kind, "items": items}).encode() for kind, items in kinds.items()
    }


def _mean_s(work: Callable[[int], object]) -> float:
    """Return the mean processor time of some work, in seconds."""
    started = time.process_time()
    for number in range(REPEATS):
        work(number)
    return (time.process_time() - started) / REPEATS


def _documents_measures(seed: int) -> list[Measure]:
    """Return the cost of a change at a watcher and at any other process."""
    tracemalloc.start()
    watcher, other = DocumentSet(), DocumentSet()
    watcher.apply(watcher.diff(_stored(0), 1))
    whole = watcher.since(0)
    assert whole is not None
    packed = encode_delta(whole)
    other.apply(decode_delta(packed))
    follower = ConfigurationFollower(MonotonicClock())
    curio.run(follower.put_in_force, 1, other.items, "bench")
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    stored = [_stored(number + 1)["upstream"] for number in range(REPEATS)]
    deltas = []

    def change_at_watcher(number: int) -> None:
        delta = watcher.diff({"upstream": stored[number]}, number + 2)
        watcher.apply(delta)
        deltas.append(encode_delta(delta))

    async def put_all_in_force() -> float:
        started = time.process_time()
        for delta in deltas:
            other.apply(decode_delta(delta))
            await follower.put_in_force(other.version, other.items, "bench")
        return (time.process_time() - started) / len(deltas)

    at_watcher = _mean_s(change_at_watcher)
    elsewhere = curio.run(put_all_in_force)
    delta_bytes = sum(map(len, deltas)) / len(deltas)
    rate = CHANGES_A_DAY / DAY_S
    return [
        _measure("change, at a watcher", at_watcher * 1e3, "ms", None, seed),
        _measure("change, elsewhere", elsewhere * 1e3, "ms", None, seed),
        _measure("processor for changes", elsewhere * rate * 100, "% core", "<= 2.8", seed),
        _measure("a change, encoded", delta_bytes, "bytes", None, seed),
        _measure("all documents, packed", len(packed) / 1e3, "KB", None, seed),
        _measure(
            "all documents, in store", sum(map(len, _stored(0).values())) / 1e3, "KB", None, seed
        ),
        _measure(
            "largest kind, in store",
            max(map(len, _stored(0).values())) / 1e3,
            "KB",
            "<= 1000",
            seed,
        ),
        _measure("memory, documents", memory / 1e6, "MB", "<= 256", seed),
    ]


def _members_measures(seed: int) -> list[Measure]:
    """Return the cost of the member table and of the tree in one failure domain."""
    rows = [
        MemberRow(f"node-{n}", "agent", f"host-{n}", "region-1", "domain-1", "10.0.0.1:7000", n)
        for n in range(DOMAIN_MEMBERS)
    ]
    names = [row.name for row in rows]

    def merge(_: int) -> None:
        MemberTable(rows[0], SuspicionTiming()).merge(rows, 0.0)

    def plan(_: int) -> None:
        RelayTree(names).parents(names[-1])

    return [
        _measure(
            "members' rows, encoded", len(encode_message(MemberRows(rows))) / 1e3, "KB", None, seed
        ),
        _measure("members' rows, merged", _mean_s(merge) * 1e3, "ms", None, seed),
        _measure("tree and parents", _mean_s(plan) * 1e3, "ms", None, seed),
    ]


def _measure(name: str, value: float, unit: str, bound: str | None, seed: int) -> Measure:
    """Return a measure of this scenario."""
    return Measure("dissemination-size", "3,190 processes", name, value, unit, bound, seed)


def measure(seed: int) -> list[Measure]:
    """Return what one process pays at the design size."""
    return _documents_measures(seed) + _members_measures(seed)
