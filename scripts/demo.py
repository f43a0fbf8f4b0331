"""Show the whole path on this machine: stand-ins, two entries, three agents, one operator."""

import json
import sys
import tempfile
import threading
import time
import urllib.request
from pathlib import Path

from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

KEY = "demo-key"
ANSWER_TOKENS = 300


def say(text: str) -> None:
    """Write one line."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def documents(fleet: LocalFleet) -> list[dict[str, object]]:
    """Return the declarations of the demo."""

    def upstream(name: str, service: str) -> dict[str, object]:
        address = str(fleet[name].address)
        return {"kind": "upstream", "name": name, "service": service, "agent": address}

    return [
        {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)]},
        {"kind": "priority", "name": "urgent", "urgency": 1, "first_token_s": 1.0},
        {"kind": "priority", "name": "bulk", "urgency": 6, "floor": 0.1},
        {"kind": "service", "name": "draft-pool", "protocol": "model", "models": ["draft-large"]},
        {"kind": "service", "name": "job-ledger", "protocol": "plain"},
        upstream("draft-1", "draft-pool"),
        upstream("draft-2", "draft-pool"),
        upstream("jobs-1", "job-ledger"),
    ]


def ask(fleet: LocalFleet, entry: str, path: str, body: dict[str, object], **headers: str) -> str:
    """Send a request to an entry and return its answer."""
    fields = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{fleet[entry].address}{path}"
    request = urllib.request.Request(url, json.dumps(body).encode(), fields, method="POST")
    with urllib.request.urlopen(request, timeout=30) as response:
        return str(response.read().decode())


def chat(tokens: int) -> dict[str, object]:
    """Return a chat request for a streamed answer."""
    message = {"role": "user", "content": "Draft a label for reel 7."}
    return {
        "model": "draft-large",
        "messages": [message],
        "max_tokens": tokens,
        "stream": True,
    }


def start(fleet: LocalFleet) -> None:
    """Start all processes and declare the fleet."""
    fleet.start_platform()
    say(f"platform stand-in at {fleet.store}")
    for name in ("engine-1", "engine-2"):
        fleet.start_engine(name)
    fleet.start_plain("ledger")
    fleet.start_agent("draft-1", "draft-pool", "engine-1")
    fleet.start_agent("draft-2", "draft-pool", "engine-2")
    fleet.start_agent("jobs-1", "job-ledger", "ledger", "--protocol", "plain")
    say("three agents beside two engines and one plain service")
    for name in ("entry-1", "entry-2"):
        fleet.start_entry(name)
    plan_id = fleet.declare(documents(fleet))
    for name in ("entry-1", "entry-2"):
        fleet.wait_ready(name)
    say(f"two entries ready; declarations in force by plan {plan_id}")


def stream_urgent(fleet: LocalFleet) -> None:
    """Stream one urgent answer."""
    started = time.monotonic()
    answer = ask(fleet, "entry-1", "/v1/chat/completions", chat(20), Priority="u=1")
    events = answer.count("data: ") - 1
    took = time.monotonic() - started
    say(f"urgent answer: {events} tokens in {took:.2f} s, ended by [DONE]")


def order_twice(fleet: LocalFleet) -> bool:
    """Send one keyed order twice, to two entries; return whether it ran once."""
    for entry in ("entry-1", "entry-2"):
        body: dict[str, object] = {"reel": 7}
        answer = ask(fleet, entry, "/services/job-ledger/jobs", body, Idempotency_Key="reel-7")
        say(f"keyed order through {entry}: {answer}")
    runs = fleet.ask("ledger", "/standin/counts")["by_key"]
    say(f"the service itself counts its runs by key: {runs}")
    return runs == {"reel-7": 1}


def drain_under_load(fleet: LocalFleet) -> None:
    """Drain an upstream by plan and confirm while answers are in progress."""
    answers: list[str] = []

    def work() -> None:
        answers.append(ask(fleet, "entry-1", "/v1/chat/completions", chat(ANSWER_TOKENS)))

    threads = [threading.Thread(target=work) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    say(fleet.control("drain", "draft-1", "--store", fleet.store).strip())
    plan_id = fleet.confirm("drain", "draft-1")
    say(f"drain of draft-1 confirmed by plan {plan_id} while six answers are in progress")
    for thread in threads:
        thread.join()
    whole = sum(answer.rstrip().endswith("[DONE]") for answer in answers)
    say(f"answers whole after the drain: {whole} of {len(threads)}")


def main() -> int:
    """Run the demo; return its exit status."""
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        start(fleet)
        stream_urgent(fleet)
        once = order_twice(fleet)
        drain_under_load(fleet)
        statuses = fleet.stop_all()
    say(f"all stopped: {statuses}")
    return 0 if once and not any(statuses.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
