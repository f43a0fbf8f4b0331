"""Show the whole path on this machine: stand-ins, two entries, three agents, one operator."""

import json
import os
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from pathlib import Path

from bluebellrun.declarations import read_folder, relocate
from standins.fleet import LocalFleet

EXAMPLES = Path(__file__).parents[1] / "examples"
PLOT = Path("build") / "burn.png"
KEY = "counter-1-key"
OPERATOR_TOKEN = "operator-token"
ENTRIES = ("entry-1", "entry-2")
ANSWER_TOKENS = 300
ENGINE_SLOTS = "16"
FLOOD = """
name: demo
streams:
  - {name: urgent, key: counter-2-key, priority: 1, answer_tokens: 20, first_token_s: 0.5,
     phases: [{start_s: 0, end_s: 14, rate: 3}]}
  - {name: desk, key: district-radio-key, priority: 3, answer_tokens: 30,
     phases: [{start_s: 0, end_s: 14, rate: 3}]}
  - {name: flood, key: school-orders-key, priority: 6, answer_tokens: 120, deadline_s: 8,
     phases: [{start_s: 5, end_s: 9, rate: 60}]}
"""


def say(text: str) -> None:
    """Write one line."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


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
    """Start all processes and declare the Board's fleet, as far as it runs here."""
    fleet.start_platform()
    say(f"platform stand-in at {fleet.store}")
    for name in ("engine-1", "engine-2"):
        fleet.start_engine(name, "--slots", ENGINE_SLOTS)
    fleet.start_plain("ledger")
    for number in ("1", "2"):
        name, engine = f"draft-pool-{number}", f"engine-{number}"
        fleet.start_agent(name, "draft-pool", engine, "--concurrency", ENGINE_SLOTS)
    fleet.start_agent("job-ledger-1", "job-ledger", "ledger", "--protocol", "plain")
    say("three agents beside two engines and one plain service")
    for name in ENTRIES:
        fleet.start_entry(name)
    plan_id = declare(fleet)
    for name in ENTRIES:
        fleet.wait_ready(name)
    say(f"two entries ready; declarations in force by plan {plan_id}")


def declare(fleet: LocalFleet) -> str:
    """Declare the Board's example with the addresses of the agents here."""
    agents = {
        name: fleet[name].address for name in ("draft-pool-1", "draft-pool-2", "job-ledger-1")
    }
    documents = relocate(read_folder(EXAMPLES / "board"), agents)
    return fleet.declare([document.model_dump(mode="json") for document in documents])


def stream_urgent(fleet: LocalFleet) -> None:
    """Stream one urgent answer."""
    started = time.monotonic()
    answer = ask(fleet, "entry-1", "/v1/chat/completions", chat(20), Priority="u=1")
    events = answer.count("data: ") - 1
    took = time.monotonic() - started
    say(f"urgent answer: {events} tokens in {took:.2f} s, ended by [DONE]")


def order_twice(fleet: LocalFleet) -> bool:
    """Send one keyed order twice, to two entries; return whether it ran once."""
    for entry in ENTRIES:
        body: dict[str, object] = {"reel": 7}
        answer = ask(fleet, entry, "/services/job-ledger/jobs", body, Idempotency_Key="reel-7")
        say(f"keyed order through {entry}: {answer}")
    runs = fleet.ask("ledger", "/standin/counts")["by_key"]
    say(f"the service itself counts its runs by key: {runs}")
    return runs == {"reel-7": 1}


def entry_flags(fleet: LocalFleet) -> list[str]:
    """Return the flags that name the entries."""
    return [flag for name in ENTRIES for flag in ("--entry", str(fleet[name].address))]


def drain_under_load(fleet: LocalFleet) -> None:
    """Drain an upstream by plan and confirm while answers are in progress."""
    answers: list[str] = []

    def work() -> None:
        answers.append(ask(fleet, "entry-1", "/v1/chat/completions", chat(ANSWER_TOKENS)))

    threads = [threading.Thread(target=work) for _ in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    store, entries = ("--store", fleet.store), entry_flags(fleet)
    intent = ("drain", "draft-pool-1", *entries)
    say(fleet.control(*intent, *store).strip())
    plan_id = fleet.confirm(*intent)
    say(f"drain of draft-pool-1 confirmed by plan {plan_id} while six answers are in progress")
    lines = fleet.control("progress", plan_id, *store, *entries).splitlines()
    say(f"progress: {lines[-1]}")
    for thread in threads:
        thread.join()
    whole = sum(answer.rstrip().endswith("[DONE]") for answer in answers)
    say(f"answers whole after the drain: {whole} of {len(threads)}")
    undo = json.loads(fleet.control("undo", plan_id, *store, "--output", "json"))["plan_id"]
    fleet.control("confirm", undo, *store)
    say(f"drain taken back by plan {undo}")


def run_module(module: str, *arguments: str) -> str:
    """Run a module of the project and return its output."""
    command = [sys.executable, "-m", module, *arguments]
    done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
    if done.returncode != 0:
        raise RuntimeError(f"{module} exited {done.returncode}: {done.stderr}{done.stdout}")
    return done.stdout


def flood(fleet: LocalFleet) -> None:
    """Flood the lowest priority for four seconds and verify every answer."""
    scenario = fleet.folder / "flood.yaml"
    scenario.write_text(FLOOD, encoding="utf-8")
    say("fourteen seconds of load, four of them a flood of the lowest priority")
    say(run_module("bluebellrun.load.main", "run", str(scenario), *entry_flags(fleet)).strip())


def report(fleet: LocalFleet) -> None:
    """Print the burn report and write its plot."""
    PLOT.parent.mkdir(exist_ok=True)
    flags = (*entry_flags(fleet), "--store", fleet.store, "--plot", str(PLOT))
    say(run_module("bluebellrun.reports.main", *flags).rstrip())
    say(f"plot written to {PLOT}")


def main() -> int:
    """Run the demo; return its exit status."""
    os.environ["BLUEBELLRUN_OPERATOR_TOKEN"] = OPERATOR_TOKEN
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        start(fleet)
        stream_urgent(fleet)
        once = order_twice(fleet)
        drain_under_load(fleet)
        flood(fleet)
        report(fleet)
        statuses = fleet.stop_all()
    say(f"all stopped: {statuses}")
    return 0 if once and not any(statuses.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
