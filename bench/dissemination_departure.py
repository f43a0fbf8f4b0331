"""Time until a leaving upstream gets no new work, by the host list and by SIGTERM.

One entry and three agents beside plain services. Requests go one after the other; the measure is
the time from the news to the last attempt that the leaving agent took.
"""

import signal
import tempfile
import time
import urllib.request
from datetime import datetime
from pathlib import Path

from bench._results import Measure
from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

KEY = "bench-key"
AGENTS = 3
LOAD_S = 5.0
BOUND = "<= 3"


def _start(fleet: LocalFleet) -> None:
    """Start the fleet and declare it."""
    fleet.start_platform()
    fleet.order("platform", "/standin/hosts", {f"host-{n}": "live" for n in range(AGENTS)})
    documents: list[dict[str, object]] = [
        {"kind": "customer", "name": "bench", "key_hashes": [hash_key(KEY)]},
        {"kind": "service", "name": "jobs", "protocol": "plain"},
    ]
    for number in range(AGENTS):
        fleet.start_plain(f"plain-{number}")
        fleet.start_agent(
            f"agent-{number}",
            "jobs",
            f"plain-{number}",
            *("--protocol", "plain", "--host", f"host-{number}", "--host-list", fleet.store),
        )
        documents.append(
            {
                "kind": "upstream",
                "name": f"agent-{number}",
                "service": "jobs",
                "agent": str(fleet[f"agent-{number}"].address),
                "host": f"host-{number}",
            }
        )
    fleet.start_entry("entry-1", "--host-list", fleet.store)
    fleet.declare(documents)
    fleet.wait_ready("entry-1")


def _load(fleet: LocalFleet, seconds: float) -> int:
    """Send requests one after the other; return how many were not answered."""
    url = f"http://{fleet['entry-1'].address}/services/jobs/anything"
    failed = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        request = urllib.request.Request(url, headers={"Authorization": f"Bearer {KEY}"})
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                response.read()
        except OSError:
            failed += 1
    return failed


def _last_attempt_s(fleet: LocalFleet, upstream: str, since: float) -> float:
    """Return the seconds from a moment of the wall clock to the last attempt at an upstream."""
    last = since
    for line in fleet["entry-1"].log_lines():
        if line.get("event") == "attempt ended" and line.get("upstream") == upstream:
            last = max(last, datetime.fromisoformat(str(line["timestamp"])).timestamp())
    return last - since


def measure(seed: int) -> list[Measure]:
    """Return the times, and the requests that failed meanwhile."""
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        _start(fleet)
        _load(fleet, 1.0)
        states: dict[str, object] = {f"host-{n}": "live" for n in range(AGENTS)}
        states["host-0"] = "leaving"
        listed_at = time.time()
        fleet.order("platform", "/standin/hosts", states)
        failed = _load(fleet, LOAD_S)
        stopped_at = time.time()
        fleet.send_signal("agent-1", signal.SIGTERM)
        failed += _load(fleet, LOAD_S)
        by_list = _last_attempt_s(fleet, "agent-0", listed_at)
        by_signal = _last_attempt_s(fleet, "agent-1", stopped_at)
    rows = [
        ("host list", "last new work after the news", by_list, "s", BOUND),
        ("SIGTERM", "last new work after the news", by_signal, "s", BOUND),
        ("both", "requests not answered", float(failed), "requests", "<= 0"),
    ]
    return [
        Measure("dissemination-departure", policy, name, value, unit, bound, seed)
        for policy, name, value, unit, bound in rows
    ]
