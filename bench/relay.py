"""Cost of relaying one token through entry and agent, in tokens a second of one core."""

import json
import os
import tempfile
import threading
import urllib.request
from pathlib import Path

from bench._results import Measure
from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

KEY = "bench-key"
STREAMS = 150
TOKENS = 200
FLUSH_INTERVALS_S = (0.0, 0.002, 0.01)
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def _processor_seconds(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii").rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS


def _declare(fleet: LocalFleet) -> None:
    """Declare one model service with one upstream."""
    fleet.declare(
        [
            {"kind": "customer", "name": "bench", "key_hashes": [hash_key(KEY)]},
            {"kind": "service", "name": "pool", "protocol": "model", "models": ["draft-large"]},
            {
                "kind": "upstream",
                "name": "agent-1",
                "service": "pool",
                "agent": str(fleet["agent-1"].address),
            },
        ]
    )
    fleet.wait_ready("entry-1")


def _stream(url: str) -> None:
    """Ask for one streamed answer and read it."""
    body = {
        "model": "draft-large",
        "messages": [{"role": "user", "content": "A label."}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    request = urllib.request.Request(url, json.dumps(body).encode(), headers)
    with urllib.request.urlopen(request, timeout=120) as response:
        response.read()


def _measure_flush(flush_s: float, seed: int) -> list[Measure]:
    """Return tokens a second of one core for the entry and for the agent."""
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        fleet.start_platform()
        fleet.start_engine("engine-1", "--slots", str(STREAMS), "--step-base-s", "0.02")
        limits = ("--concurrency", str(STREAMS), "--flush-interval-s", str(flush_s))
        fleet.start_agent("agent-1", "pool", "engine-1", *limits)
        fleet.start_entry("entry-1")
        _declare(fleet)
        processes = {name: fleet[name].process.pid for name in ("entry-1", "agent-1")}
        before = {name: _processor_seconds(pid) for name, pid in processes.items()}
        url = f"http://{fleet['entry-1'].address}/v1/chat/completions"
        threads = [threading.Thread(target=_stream, args=(url,)) for _ in range(STREAMS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        used = {name: _processor_seconds(pid) - before[name] for name, pid in processes.items()}
    policy = f"flush {flush_s * 1000:g} ms"
    return [
        Measure(
            scenario="relay",
            policy=policy,
            measure=f"{name.removesuffix('-1')} tokens per core second",
            value=STREAMS * TOKENS / cost,
            unit="tokens/s",
            bound=None,
            seed=seed,
        )
        for name, cost in used.items()
    ]


def measure(seed: int) -> list[Measure]:
    """Return the cost for several times in which pieces of answers are collected."""
    measures: list[Measure] = []
    for flush_s in FLUSH_INTERVALS_S:
        measures += _measure_flush(flush_s, seed)
    return measures
