"""All processes restarted at once while the key-value service is slow.

The directory holds only contacts of the dead; each process must find the others, or become
the first of its failure domain, without a flood of calls.
"""

import os
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import curio

from bench._results import Measure
from bluebellrun.distribution import fetch_status
from bluebellrun.store import Compare, EtcdStore, Put, StoreTimeouts
from bluebellrun.transport import LinkTiming
from standins.fleet import LocalFleet

PROCESSES = int(os.environ.get("BENCH_NODES", "40"))
DOMAINS = 3
STARTS_AT_ONCE = 8
STORE_DELAY_S = 0.5
POLL_S = 0.25
SETTLE_S = 8.0
LONGEST_S = 120.0
KEY = "/bluebellrun/config/service"
VALUE = b'{"kind": "service", "items": [{"kind": "service", "name": "a", "protocol": "plain"}]}'
LINK = LinkTiming(2.0, 5.0, 10.0)


def _calls(fleet: LocalFleet) -> int:
    """Return how many calls the store has taken."""
    counts: Any = fleet.ask("platform", "/standin/counts")
    return int(counts["reads"]) + int(counts["writes"]) + int(counts["watches"])


def _start_all(fleet: LocalFleet, names: list[str]) -> None:
    """Start all nodes, several at once."""

    def start(number: int) -> None:
        fleet.start(
            names[number],
            "standins.node",
            *("--name", names[number], "--store", fleet.store),
            *("--fleet-size", str(len(names)), "--fatal-invariants", "true"),
            *("--failure-domain", f"domain-{number % DOMAINS}", "--log-level", "warning"),
        )

    with ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
        list(pool.map(start, range(len(names))))


async def _watchers(fleet: LocalFleet, names: list[str]) -> int:
    """Return how many processes watch the store."""
    statuses = [await fetch_status(fleet[name].address, LINK, timeout_s=10.0) for name in names]
    return sum(status.watcher for status in statuses)


def _wait_in_force(fleet: LocalFleet, names: list[str]) -> float:
    """Wait until every process has a configuration; return the most calls in one second."""
    most = 0.0
    last, last_at = _calls(fleet), time.monotonic()
    deadline = last_at + LONGEST_S
    while time.monotonic() < deadline:
        time.sleep(POLL_S)
        calls, at = _calls(fleet), time.monotonic()
        most = max(most, (calls - last) / (at - last_at))
        last, last_at = calls, at
        if all("in force" in fleet[name].output.read_text(encoding="utf-8") for name in names):
            return most
    raise TimeoutError("some process has no configuration")


def measure(seed: int) -> list[Measure]:
    """Return the calls and the time of a restart of all processes."""
    names = [f"node-{number}" for number in range(PROCESSES)]
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        fleet.start_platform()
        store = EtcdStore(fleet["platform"].address, StoreTimeouts(5.0))
        curio.run(store.transact, [Compare(KEY, 0)], [Put(KEY, VALUE)])
        _start_all(fleet, names)
        _wait_in_force(fleet, names)
        time.sleep(SETTLE_S)
        for name in names:
            fleet.kill(name)
        fleet.order("platform", "/standin/faults", {"delay_s": STORE_DELAY_S})
        before = _calls(fleet)
        started = time.monotonic()
        _start_all(fleet, names)
        running = time.monotonic()
        most = _wait_in_force(fleet, names)
        ready = time.monotonic()
        calls = _calls(fleet) - before
        time.sleep(SETTLE_S)
        watchers = curio.run(_watchers, fleet, names)
        each = calls / PROCESSES
    rows = [
        ("store calls, each", each, "calls", None),
        ("store calls, most in a second", most, "1/s", None),
        ("from first start to last start", running - started, "s", None),
        ("from last start to all in force", ready - running, "s", None),
        ("watchers in the end", float(watchers), "processes", None),
    ]
    policy = f"{PROCESSES} processes"
    return [
        Measure("dissemination-restart", policy, name, value, unit, bound, seed)
        for name, value, unit, bound in rows
    ]
