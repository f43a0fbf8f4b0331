"""An outage of the key-value service, with real processes."""

import time
import urllib.error
import urllib.request

import pytest

from bluebellrun.customers import hash_key
from standins.fleet import FleetError, LocalFleet

KEY = "a-key"


def start(fleet: LocalFleet) -> None:
    fleet.start_platform()
    fleet.start_plain("plain-1")
    fleet.start_agent("jobs-1", "jobs", "plain-1", "--protocol", "plain")
    fleet.start_entry("entry-1")
    fleet.declare(
        [
            {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)]},
            {"kind": "service", "name": "jobs", "protocol": "plain"},
            {
                "kind": "upstream",
                "name": "jobs-1",
                "service": "jobs",
                "agent": str(fleet["jobs-1"].address),
            },
        ]
    )
    fleet.wait_ready("entry-1")


def ask(fleet: LocalFleet, entry: str) -> int:
    request = urllib.request.Request(
        f"http://{fleet[entry].address}/services/jobs/anything",
        headers={"Authorization": f"Bearer {KEY}"},
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        response.read()
        return int(response.status)


def test_work_goes_on_and_newcomers_learn_from_peers_or_say_that_they_are_unready(fleet):
    start(fleet)
    deadline = time.monotonic() + 10
    while not any(
        line.get("event") == "configuration in force" for line in fleet["jobs-1"].log_lines()
    ):
        assert time.monotonic() < deadline
        time.sleep(0.05)
    fleet.order("platform", "/standin/faults", {"down": True})
    assert ask(fleet, "entry-1") == 200
    fleet.start_entry("entry-2", "--peers", str(fleet["jobs-1"].address))
    fleet.wait_ready("entry-2")
    assert ask(fleet, "entry-2") == 200
    fleet.start_entry("entry-3")
    with pytest.raises(urllib.error.HTTPError) as caught:
        urllib.request.urlopen(f"http://{fleet['entry-3'].address}/readyz", timeout=5)
    assert caught.value.code == 503
    with pytest.raises(FleetError):
        fleet.confirm("drain", "jobs-1")
    fleet.order("platform", "/standin/faults", {"down": False})
    fleet.wait_ready("entry-3")
    assert ask(fleet, "entry-3") == 200
