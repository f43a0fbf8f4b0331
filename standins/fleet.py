"""Start a fleet of stand-ins and real processes on this machine's loopback address.

For tests, the demo and the bench. Each process listens on a free port and says which one on
its standard output or in its log; its output goes to a file in the fleet's folder.
"""

import json
import re
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import yaml

from bluebellrun.core import Address, parse_address

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
ADDRESS = re.compile(r'(?:listens on |"listen": ")(\d+\.\d+\.\d+\.\d+:\d+)')


class FleetError(Exception):
    """A process of the fleet did not do what was asked."""


@dataclass(slots=True)
class FleetProcess:
    """A running process, where it listens and where its output goes."""

    name: str
    process: "subprocess.Popen[bytes]"
    output: Path
    address: Address
    module: str = ""
    arguments: tuple[str, ...] = ()

    def log_lines(self) -> list[dict[str, object]]:
        """Return the structured lines of its log."""
        lines = self.output.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class LocalFleet:
    """Processes on the loopback address, stopped together at the end."""

    def __init__(self, folder: Path, extra: Sequence[str] = ()) -> None:
        self._folder = folder
        self._extra = list(extra)
        self._processes: dict[str, FleetProcess] = {}
        self._folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "LocalFleet":
        """Return the fleet."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop all processes."""
        self.stop_all()

    def __getitem__(self, name: str) -> FleetProcess:
        """Return a process by name."""
        return self._processes[name]

    @property
    def names(self) -> list[str]:
        """Return the names of the processes that were not killed."""
        return list(self._processes)

    @property
    def folder(self) -> Path:
        """Return the folder of logs and declarations."""
        return self._folder

    @property
    def store(self) -> str:
        """Return the address of the platform's stand-in."""
        return str(self._processes["platform"].address)

    def start(self, name: str, module: str, *arguments: str) -> FleetProcess:
        """Start a Python module as a process and wait until it listens."""
        output = self._folder / f"{name}.log"
        command = [sys.executable, "-m", module, *arguments]
        with output.open("wb") as stream:
            process = subprocess.Popen(command, stdout=stream, stderr=subprocess.STDOUT)
        address = self._wait_for_address(name, process, output)
        started = FleetProcess(name, process, output, address, module, arguments)
        self._processes[name] = started
        return started

    def start_together(self, *starts: Callable[[], object]) -> None:
        """Run several calls that start processes at the same time."""
        with ThreadPoolExecutor(len(starts)) as pool:
            for done in [pool.submit(start) for start in starts]:
                done.result()

    def restart(self, name: str) -> FleetProcess:
        """Start a process again that has ended, at the address it had; keep its old log."""
        old = self._processes[name]
        old.process.wait(STOP_TIMEOUT_S)
        kept = old.output.with_suffix(f".{time.monotonic_ns()}.log")
        old.output.rename(kept)
        arguments = [item for item in old.arguments if item != "--listen"]
        if "--listen" in old.arguments:
            arguments.remove(str(old.address))
        listen = ("--listen", str(old.address))
        return self.start(name, old.module, *arguments, *listen)

    def start_platform(self) -> FleetProcess:
        """Start the platform's stand-in."""
        return self.start("platform", "standins.platform")

    def start_engine(self, name: str, *arguments: str) -> FleetProcess:
        """Start a model engine."""
        return self.start(name, "standins.engine", "--name", name, *arguments)

    def start_plain(self, name: str, *arguments: str) -> FleetProcess:
        """Start a plain service."""
        return self.start(name, "standins.plain", "--name", name, *arguments)

    def start_agent(self, name: str, service: str, upstream: str, *arguments: str) -> FleetProcess:
        """Start an agent beside an upstream that has been started."""
        return self.start(
            name,
            "bluebellrun.agent.main",
            *("--name", name, "--service", service, "--store", self.store),
            *("--upstream", str(self._processes[upstream].address), "--fatal-invariants", "true"),
            *self._extra,
            *arguments,
        )

    def start_entry(self, name: str, *arguments: str) -> FleetProcess:
        """Start an entry."""
        return self.start(
            name,
            "bluebellrun.entry.main",
            *("--name", name, "--store", self.store, "--fatal-invariants", "true"),
            *self._extra,
            *arguments,
        )

    def control(self, *arguments: str) -> str:
        """Run ``bluebellrun-ctl`` and return its output; raise ``FleetError`` if it fails."""
        command = [sys.executable, "-m", "bluebellrun.management.main", *arguments]
        done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)
        if done.returncode != 0:
            raise FleetError(f"{arguments} exited {done.returncode}: {done.stderr}")
        return done.stdout

    def declare(self, documents: Sequence[dict[str, object]]) -> str:
        """Write documents to a folder, plan them and confirm the plan."""
        folder = self._folder / "declarations"
        folder.mkdir(exist_ok=True)
        text = yaml.safe_dump_all(documents, sort_keys=False)
        (folder / "all.yaml").write_text(text, encoding="utf-8")
        return self.confirm("plan", "--folder", str(folder))

    def confirm(self, *intent: str) -> str:
        """Make a plan by an intent, confirm it and return its id."""
        store = ("--store", self.store)
        made = self.control(*intent, *store, "--output", "json")
        plan_id = str(json.loads(made)["plan_id"])
        self.control("confirm", plan_id, *store)
        return plan_id

    def wait_ready(self, entry: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until an entry says that it is ready."""
        deadline = time.monotonic() + timeout_s
        url = f"http://{self._processes[entry].address}/readyz"
        while time.monotonic() < deadline:
            try:
                with urllib.request.urlopen(url, timeout=2):
                    return
            except OSError:
                time.sleep(POLL_S)
        raise FleetError(f"{entry} is not ready after {timeout_s} s")

    def order(self, name: str, path: str, body: dict[str, object]) -> None:
        """Order a fault of a stand-in."""
        url = f"http://{self._processes[name].address}{path}"
        request = urllib.request.Request(url, json.dumps(body).encode(), method="POST")
        with urllib.request.urlopen(request, timeout=5):
            return

    def ask(self, name: str, path: str) -> dict[str, object]:
        """Return the JSON that a process answers at a path."""
        url = f"http://{self._processes[name].address}{path}"
        with urllib.request.urlopen(url, timeout=5) as response:
            return dict(json.load(response))

    def crash(self, name: str) -> None:
        """Kill a process at once, but remember it so that it can be restarted."""
        process = self._processes[name].process
        process.kill()
        process.wait()

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        process = self._processes.pop(name).process
        process.kill()
        process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].process.send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a process has ended and return its status."""
        return self._processes[name].process.wait(timeout_s)

    def stop_all(self) -> dict[str, int]:
        """Stop all processes, callers' side first; return their exit statuses."""
        statuses = {}
        for name in reversed(list(self._processes)):
            item = self._processes.pop(name)
            statuses[name] = self._stop(item.process)
        return statuses

    def _stop(self, process: "subprocess.Popen[bytes]") -> int:
        """Stop one process, by force when it does not end in time."""
        if process.poll() is None:
            process.terminate()
            try:
                return process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
        return process.wait()

    def _wait_for_address(
        self, name: str, process: "subprocess.Popen[bytes]", output: Path
    ) -> Address:
        """Return the address that a process says it listens on."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            found = ADDRESS.search(output.read_text(encoding="utf-8"))
            if found:
                return parse_address(found.group(1))
            if process.poll() is not None:
                break
            time.sleep(POLL_S)
        process.kill()
        process.wait()
        raise FleetError(f"{name} did not start: {output.read_text(encoding='utf-8')}")
