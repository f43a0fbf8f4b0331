"""Claims a second against writes a second, and the delay that a claim adds.

Claims arrive at one owner of a ledger in a steady stream; the store is the platform's stand-in
in its own process, slowed to a fixed round trip. The baseline writes once for each claim.
"""

import os
import subprocess
import sys
import time
from dataclasses import dataclass
from random import Random

import curio

from bench._results import Measure
from bluebellrun.core import MonotonicClock, parse_address
from bluebellrun.http import ClientTimeouts, HttpClient
from bluebellrun.ledger import (
    Granted,
    Ledger,
    LedgerLimits,
    LedgerRecord,
    LedgerSettings,
    key_digest,
    wall_clock_ms,
)
from bluebellrun.store import Compare, EtcdStore, Put, StoreTimeouts

ROUND_TRIP_S = 0.01
TARGET_CLAIMS_PER_S = 5_000
WRITES_PER_S = 100.0
DURATION_S = 3.0
BASELINE_CLAIMS = 200
TICK_S = 0.002
PATIENCE_S = 5.0


@dataclass(frozen=True, slots=True)
class Load:
    """How many shards one owner has, and how many claims a second arrive."""

    shards: int
    claims_per_s: int


def _record(random: Random, number: int) -> LedgerRecord:
    """Return a claim of a new key."""
    key = key_digest("customer", "service", f"{random.random()}-{number}")
    return LedgerRecord(key, key, f"r{number}", f"r{number}.1", "agent", "life", wall_clock_ms())


async def _slow_store(address: str) -> EtcdStore:
    """Return a client of the stand-in, slowed to the round trip."""
    target = parse_address(address)
    control = HttpClient(target, ClientTimeouts())
    body = f'{{"delay_s": {ROUND_TRIP_S}}}'.encode()
    await control.fetch("POST", "/standin/faults", [], body)
    await control.close()
    return EtcdStore(target, StoreTimeouts(PATIENCE_S))


async def _claim(ledger: Ledger, record: LedgerRecord, delays: list[float]) -> None:
    """Claim one key and note how long it took."""
    started = time.monotonic()
    if isinstance(await ledger.claim(record, PATIENCE_S), Granted):
        delays.append(time.monotonic() - started)


async def _grouped(address: str, seed: int, load: Load) -> tuple[list[float], float, float]:
    """Return the delays of claims, the time it took and the calls made to the store."""
    store = await _slow_store(address)
    limits = LedgerLimits(max_records=1_000_000)
    settings = LedgerSettings(shards=load.shards, writes_per_s=WRITES_PER_S, limits=limits)
    ledger = Ledger(store, f"/bench/{load.shards}-{load.claims_per_s}", settings, MonotonicClock())
    random = Random(seed)
    delays: list[float] = []
    await _claim(ledger, _record(random, 0), [])
    before, started, sent = store.calls, time.monotonic(), 0
    tasks = []
    while (elapsed := time.monotonic() - started) < DURATION_S:
        while sent < elapsed * load.claims_per_s:
            sent += 1
            tasks.append(await curio.spawn(_claim, ledger, _record(random, sent), delays))
        await curio.sleep(TICK_S)
    for task in tasks:
        await task.join()
    return delays, time.monotonic() - started, float(store.calls - before)


async def _single(address: str, seed: int) -> tuple[float, float]:
    """Return the time and the calls of one write for each claim, one after another."""
    store = await _slow_store(address)
    random = Random(seed)
    started = time.monotonic()
    for number in range(BASELINE_CLAIMS):
        record = _record(random, number)
        key = f"/bench/single/{record.key}"
        await store.transact([Compare(key, 0)], [Put(key, record.attempt.encode())])
    return time.monotonic() - started, float(store.calls)


def _percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _store_process() -> tuple["subprocess.Popen[str]", str]:
    """Start the platform's stand-in; return it and its address."""
    command = [sys.executable, "-m", "standins.platform"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, env=dict(os.environ))
    assert process.stdout is not None
    line = process.stdout.readline()
    return process, line.split()[-1]


def measure(seed: int) -> list[Measure]:
    """Return claims and writes a second, and delays in round trips, by number of shards."""
    process, address = _store_process()
    try:
        took_s, calls = curio.run(_single, address, seed)
        round_trip_s = took_s / calls
        measures = _single_measures(took_s, calls, seed)
        for shards, rate in ((1, 5_000), (4, 5_000), (4, 500)):
            load = Load(shards, rate)
            delays, spent_s, writes = curio.run(_grouped, address, seed, load)
            measures += _measures(load, delays, spent_s, writes, round_trip_s, seed)
    finally:
        process.terminate()
        process.wait()
    return measures


def _single_measures(took_s: float, calls: float, seed: int) -> list[Measure]:
    """Return the measures of the baseline."""
    return [
        Measure("ledger", "single", "claims per 100 writes", 100.0, "claims", None, seed),
        Measure("ledger", "single", "round trip", took_s / calls, "s", None, seed),
    ]


def _measures(
    load: Load,
    delays: list[float],
    took_s: float,
    calls: float,
    round_trip_s: float,
    seed: int,
) -> list[Measure]:
    """Return the measures of one run of group commit; delays in the baseline's round trips."""
    policy = f"{load.shards} shard(s), {load.claims_per_s}/s"
    per_writes = ">= 5000" if load.claims_per_s == TARGET_CLAIMS_PER_S else None

    def of(name: str, value: float, unit: str, bound: str | None) -> Measure:
        return Measure("ledger", policy, name, value, unit, bound, seed)

    return [
        of("claims per second", len(delays) / took_s, "claims/s", None),
        of("store calls per second", calls / took_s, "calls/s", f"<= {WRITES_PER_S * 1.1:g}"),
        of("claims per 100 writes", 100 * len(delays) / calls, "claims", per_writes),
        of("delay, half", _percentile(delays, 0.5) / round_trip_s, "round trips", "<= 2"),
        of("delay, 95 in 100", _percentile(delays, 0.95) / round_trip_s, "round trips", None),
    ]
