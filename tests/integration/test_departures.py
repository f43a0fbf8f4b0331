"""Upstreams that leave, by the platform's host list, with real processes."""

import time
import urllib.request

from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

KEY = "a-key"
HOSTS = ("host-1", "host-2")


def start(fleet: LocalFleet) -> None:
    fleet.start_platform()
    fleet.order("platform", "/standin/hosts", dict.fromkeys(HOSTS, "live"))
    documents: list[dict[str, object]] = [
        {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)]},
        {"kind": "service", "name": "jobs", "protocol": "plain"},
    ]
    for number, host in enumerate(HOSTS, start=1):
        fleet.start_plain(f"plain-{number}")
        fleet.start_agent(
            f"jobs-{number}",
            "jobs",
            f"plain-{number}",
            *("--protocol", "plain", "--host", host, "--host-list", fleet.store),
        )
        address = str(fleet[f"jobs-{number}"].address)
        documents.append(
            {
                "kind": "upstream",
                "name": f"jobs-{number}",
                "service": "jobs",
                "agent": address,
                "host": host,
            }
        )
    fleet.start_entry("entry-1", "--host-list", fleet.store)
    fleet.declare(documents)
    fleet.wait_ready("entry-1")


def ask(fleet: LocalFleet) -> None:
    request = urllib.request.Request(
        f"http://{fleet['entry-1'].address}/services/jobs/anything",
        headers={"Authorization": f"Bearer {KEY}"},
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        response.read()


def lines(fleet: LocalFleet, name: str, event: str) -> list[dict[str, object]]:
    return [line for line in fleet[name].log_lines() if line.get("event") == event]


def new_attempts(fleet: LocalFleet, before: int, count: int) -> list[dict[str, object]]:
    """Return the attempts logged since, once there are so many: a line follows its answer."""
    deadline = time.monotonic() + 15
    while time.monotonic() < deadline:
        attempts = lines(fleet, "entry-1", "attempt ended")[before:]
        if len(attempts) >= count:
            return attempts
        time.sleep(0.05)
    raise AssertionError(f"fewer than {count} attempts were logged")


def wait_for(fleet: LocalFleet, name: str, event: str) -> None:
    deadline = time.monotonic() + 15
    while time.monotonic() < deadline:
        if lines(fleet, name, event):
            return
        time.sleep(0.05)
    raise AssertionError(f"{name} never logged {event!r}")


def test_a_leaving_host_gets_no_new_work_and_an_empty_host_list_stops_nothing(fleet):
    start(fleet)
    fleet.order("platform", "/standin/hosts", {})
    time.sleep(1.5)
    for _ in range(10):
        ask(fleet)
    assert not lines(fleet, "jobs-1", "host leaving changed")
    fleet.order("platform", "/standin/hosts", {"host-1": "leaving", "host-2": "live"})
    wait_for(fleet, "jobs-1", "host leaving changed")
    wait_for(fleet, "entry-1", "departures changed")
    before = len(lines(fleet, "entry-1", "attempt ended"))
    for _ in range(20):
        ask(fleet)
    attempts = new_attempts(fleet, before, 20)
    assert {line["upstream"] for line in attempts} == {"jobs-2"}
    assert len(attempts) == 20
    assert set(fleet.stop_all().values()) == {0}
