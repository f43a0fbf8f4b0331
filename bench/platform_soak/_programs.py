"""The real programs as processes, each with an address of its own on loopback."""

import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from bluebellrun.core import Address

MODULES = {"gateway": "bluebellrun.gateway.main", "sidecar": "bluebellrun.sidecar.main"}
FIRST_PORT, LAST_PORT = 7400, 7415
CALLERS_PORT, READY_PORT = 8227, 8220
SETTINGS_VARIABLE = "BLUEBELLRUN_NODE_FILE"
STOP_GRACE_S = 8.0
SETTINGS = """node = "{name}"
role = "{role}"
ip = "{ip}"
zone = "{zone}"
port_range = [{first}, {last}]
{app}
[limits]
{limits}
[listen]
{listen}
[platform]
addr = "{store}"
[bounds]
grace_s = {grace}
drain_ms = 2000
"""


@dataclass
class Program:
    """One process and how to start it again."""

    name: str
    role: str
    ip: str
    zone: str
    store: Address
    folder: Path
    app: Address | None = None
    # A checkout of an older build; every other start runs that build.
    older: Path | None = None
    # What the host grants to the process, by the name of the setting.
    limits: dict[str, float] = field(default_factory=dict)
    process: "subprocess.Popen[bytes] | None" = None
    frozen: bool = False
    stopping: bool = False
    starts: int = 0
    # Until when an outage of this process may show, on the monotonic clock in seconds.
    disturbed_until: float = 0.0
    statuses: list[int] = field(default_factory=list)

    @property
    def callers(self) -> Address:
        """Return the address that callers use."""
        return Address(self.ip, CALLERS_PORT)

    @property
    def ready(self) -> Address:
        """Return the address of the readiness question."""
        return Address(self.ip, READY_PORT)

    @property
    def runs(self) -> bool:
        """Return whether the process is there and not frozen."""
        return self.process is not None and self.process.poll() is None and not self.frozen

    def start(self) -> None:
        """Write the settings and start the process; its output goes on in one file."""
        path = self.folder / f"{self.name}.toml"
        listen = f'front = "{self.callers}"\nready = "{self.ready}"'
        path.write_text(
            SETTINGS.format(
                name=self.name,
                role=self.role,
                ip=self.ip,
                zone=self.zone,
                first=FIRST_PORT,
                last=LAST_PORT,
                app="" if self.app is None else f'app = "{self.app}"',
                limits="\n".join(f"{name} = {value}" for name, value in self.limits.items()),
                listen=listen if self.role == "gateway" else "",
                store=self.store,
                grace=STOP_GRACE_S,
            )
        )
        self.starts += 1
        self.stopping = False
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", MODULES[self.role]],
                stdout=output,
                stderr=subprocess.STDOUT,
                env={SETTINGS_VARIABLE: str(path)},
                cwd=self.older if self.starts % 2 else None,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, and to no other."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.frozen = {signal.SIGSTOP: True, signal.SIGCONT: False}.get(number, self.frozen)

    def end(self, timeout_s: float) -> int | None:
        """Kill the process if it does not end in time; return its status."""
        if self.process is None:
            return None
        self.signal(signal.SIGCONT)
        until = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < until:
            time.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        return self.process.wait()
