"""Time and cost of bringing a change of configuration to every process.

Bare nodes, one process each, in ``BENCH_DOMAINS`` failure domains (three by default). A change
is accepted when the store has answered the compare-and-swap; it is in force in a process when its
listeners are told. All processes of one machine read the same monotonic clock.
"""

import json
import os
import re
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import curio

from bench._results import Measure
from bluebellrun.distribution import fetch_status
from bluebellrun.messages import NodeStatus
from bluebellrun.store import Compare, EtcdStore, Put, StoreTimeouts
from bluebellrun.transport import LinkTiming
from standins.fleet import LocalFleet

DOMAINS = int(os.environ.get("BENCH_DOMAINS", "3"))
DOCUMENTS = 200
STARTS_AT_ONCE = 3
CHANGES = 15
CHANGE_EVERY_S = 2.0
REST_S = 20.0
SETTLE_S = 12.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
LINE = re.compile(r"^in force (\d+) ([0-9.]+)$", re.MULTILINE)
KEY = "/bluebellrun/config/service"
LINK = LinkTiming(2.0, 5.0, 10.0)


@dataclass(frozen=True, slots=True)
class _Sample:
    """Counters of all processes and of the store at one moment."""

    at: float
    processor_s: dict[str, float]
    bytes_moved: dict[str, int]
    calls: int


@dataclass(frozen=True, slots=True)
class _Cost:
    """What a stretch of time cost: per process, and at the store."""

    processor: list[float]
    bytes_per_s: list[float]
    calls: float
    seconds: float


def _processor_s(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii").rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS


def _memory_bytes(process_id: int, field: str) -> int:
    """Return a field of a process's memory, such as Rss or Pss, in bytes."""
    text = Path(f"/proc/{process_id}/smaps_rollup").read_text(encoding="ascii")
    found = re.search(rf"^{field}:\s+(\d+) kB", text, re.MULTILINE)
    return int(found.group(1)) * 1024 if found else 0


def _value(change: int) -> bytes:
    """Return the stored documents after a number of changes: each changes one document."""
    items = [
        {"kind": "service", "name": f"service-{n}", "protocol": "plain", "models": []}
        for n in range(DOCUMENTS)
    ]
    items[change % DOCUMENTS]["models"] = [f"model-{change}"]
    return json.dumps({"kind": "service", "items": items}).encode()


async def _change(store: EtcdStore, change: int) -> tuple[int, float]:
    """Make one change; return its revision and when it was accepted."""
    held = (await store.get(KEY)).get(KEY)
    revision = held.mod_revision if held is not None else 0
    result = await store.transact([Compare(KEY, revision)], [Put(KEY, _value(change))])
    return result.revision, time.monotonic()


async def _ask_all(fleet: LocalFleet, names: list[str]) -> dict[str, NodeStatus]:
    """Return the status of each process."""
    return {name: await fetch_status(fleet[name].address, LINK, timeout_s=10.0) for name in names}


def _store_calls(fleet: LocalFleet) -> int:
    """Return how many calls the store has taken; a watch counts as one, and so does an event."""
    counts: Any = fleet.ask("platform", "/standin/counts")
    return int(counts["reads"]) + int(counts["writes"]) + int(counts["watches"])


def _sample(fleet: LocalFleet, names: list[str]) -> _Sample:
    """Return the counters now; the bytes on a link count at both of its ends."""
    statuses = curio.run(_ask_all, fleet, names)
    moved = dict.fromkeys(names, 0)
    for name, status in statuses.items():
        for parent in status.parents:
            count = parent.bytes_sent + parent.bytes_received
            moved[name] += count
            if parent.name in moved:
                moved[parent.name] += count
    processor = {name: _processor_s(fleet[name].process.pid) for name in names}
    return _Sample(time.monotonic(), processor, moved, _store_calls(fleet))


def _cost(before: _Sample, after: _Sample) -> _Cost:
    """Return the cost between two samples."""
    seconds = after.at - before.at
    processor = [
        (after.processor_s[name] - before.processor_s[name]) / seconds
        for name in before.processor_s
    ]
    moved = [
        max(0, after.bytes_moved[name] - before.bytes_moved[name]) / seconds
        for name in before.bytes_moved
    ]
    return _Cost(processor, moved, after.calls - before.calls, seconds)


def _start(fleet: LocalFleet, count: int) -> list[str]:
    """Start nodes spread over the failure domains."""
    names = [f"node-{number}" for number in range(count)]

    def start(number: int) -> None:
        fleet.start(
            names[number],
            "standins.node",
            *("--name", names[number], "--store", fleet.store, "--fleet-size", str(count)),
            *("--failure-domain", f"domain-{number % DOMAINS}", "--fatal-invariants", "true"),
            *("--log-level", "warning"),
        )

    with ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
        list(pool.map(start, range(count)))
    return names


def _in_force(fleet: LocalFleet, name: str) -> dict[int, float]:
    """Return when each version came into force in a process."""
    text = fleet[name].output.read_text(encoding="utf-8")
    return {int(version): float(at) for version, at in LINE.findall(text)}


def _wait_for(fleet: LocalFleet, names: list[str], version: int, timeout_s: float = 60.0) -> None:
    """Wait until every process has a version in force."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if all(version in _in_force(fleet, name) for name in names):
            return
        time.sleep(0.2)
    late = [name for name in names if version not in _in_force(fleet, name)]
    raise TimeoutError(f"version {version} is not in force in {late}")


def _make_changes(fleet: LocalFleet) -> dict[int, float]:
    """Make changes at the pace of ten times the planned rate; return when each was accepted."""
    store = EtcdStore(fleet["platform"].address, StoreTimeouts(5.0))
    accepted: dict[int, float] = {}

    async def work() -> None:
        for change in range(1, CHANGES + 1):
            started = time.monotonic()
            version, at = await _change(store, change)
            accepted[version] = at
            await curio.sleep(max(0.0, CHANGE_EVERY_S - (time.monotonic() - started)))

    curio.run(work)
    return accepted


def _delays(fleet: LocalFleet, names: list[str], accepted: dict[int, float]) -> list[float]:
    """Return the seconds from accepted to in force of each change in each process.

    A version that a process passed over counts when a later one came into force.
    """
    delays = []
    for name in names:
        seen = _in_force(fleet, name)
        for version, at in accepted.items():
            reached = [when for other, when in seen.items() if other >= version]
            delays.append(max(0.0, min(reached) - at))
    return delays


def measure_fleet(count: int, seed: int) -> list[Measure]:
    """Return the measures of one size of fleet."""
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        fleet.start_platform()
        store = EtcdStore(fleet["platform"].address, StoreTimeouts(5.0))
        first, _ = curio.run(_change, store, 0)
        names = _start(fleet, count)
        _wait_for(fleet, names, first)
        time.sleep(SETTLE_S)
        before = _sample(fleet, names)
        time.sleep(REST_S)
        rest = _sample(fleet, names)
        accepted = _make_changes(fleet)
        _wait_for(fleet, names, max(accepted))
        busy = _sample(fleet, names)
        delays = sorted(_delays(fleet, names, accepted))
        statuses = curio.run(_ask_all, fleet, names)
        memory = [_memory_bytes(fleet[name].process.pid, "Rss") for name in names]
        shared = [_memory_bytes(fleet[name].process.pid, "Pss") for name in names]
    watchers = sum(status.watcher for status in statuses.values())
    hops = max(status.hops for status in statuses.values())
    measures = _delay_measures(count, seed, delays)
    resting, changing = _cost(before, rest), _cost(rest, busy)
    measures += _cost_measures(count, seed, "at rest", resting)
    measures += _cost_measures(count, seed, "changing", changing)
    policy = f"{count} processes"
    calls = _calls_a_change(resting, changing, len(accepted), watchers)
    measures.append(_measure(policy, "store calls a change", calls, "calls", None, seed))
    to_start = before.calls / count
    measures.append(_measure(policy, "store calls to start, each", to_start, "calls", None, seed))
    measures.append(_measure(policy, "watchers", watchers, "processes", None, seed))
    measures.append(_measure(policy, "hops, most", hops, "hops", None, seed))
    measures.append(_measure(policy, "memory, most", max(memory) / 1e6, "MB", "<= 256", seed))
    measures.append(_measure(policy, "memory, own share", max(shared) / 1e6, "MB", None, seed))
    return measures


def _measure(
    policy: str, name: str, value: float, unit: str, bound: str | None, seed: int
) -> Measure:
    """Return a measure of this scenario."""
    return Measure("dissemination", policy, name, value, unit, bound, seed)


def _delay_measures(count: int, seed: int, delays: list[float]) -> list[Measure]:
    """Return the measures of the time from accepted to in force."""
    policy = f"{count} processes"
    p99 = delays[min(len(delays) - 1, int(len(delays) * 0.99))]
    return [
        _measure(policy, "in force, p50", statistics.median(delays), "s", None, seed),
        _measure(policy, "in force, p99", p99, "s", "<= 1", seed),
        _measure(policy, "in force, most", delays[-1], "s", "<= 3", seed),
    ]


def _calls_a_change(resting: _Cost, changing: _Cost, changes: int, watchers: int) -> float:
    """Return the store's calls for each change, the writer's own two left out.

    Each watcher's event counts as a call; what is called at rest is taken off.
    """
    quiet = resting.calls / resting.seconds * changing.seconds
    return (changing.calls - quiet) / changes - 2 + watchers


def _cost_measures(count: int, seed: int, when: str, cost: _Cost) -> list[Measure]:
    """Return the measures of a stretch of time."""
    policy = f"{count} processes"
    mean_cpu = statistics.mean(cost.processor) * 100
    most_cpu = max(cost.processor) * 100
    mean_bytes = statistics.mean(cost.bytes_per_s) / 1e3
    most_bytes = max(cost.bytes_per_s) / 1e3
    return [
        _measure(policy, f"processor {when}, mean", mean_cpu, "% core", "<= 2.8", seed),
        _measure(policy, f"processor {when}, most", most_cpu, "% core", "<= 2.8", seed),
        _measure(policy, f"bytes {when}, mean", mean_bytes, "KB/s", "<= 17", seed),
        _measure(policy, f"bytes {when}, most", most_bytes, "KB/s", "<= 17", seed),
        _measure(policy, f"store calls {when}", cost.calls / cost.seconds, "1/s", None, seed),
    ]


def measure(seed: int) -> list[Measure]:
    """Return the measures at the sizes named by BENCH_NODES, by default 20 and 100."""
    sizes = [int(size) for size in os.environ.get("BENCH_NODES", "20,100").split(",")]
    return [item for size in sizes for item in measure_fleet(size, seed)]
