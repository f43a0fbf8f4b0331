"""Run the ``console`` blocks of a page in one shell, and compare what they print."""

import fnmatch
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parents[2]
BLOCK = re.compile(r"^```console\n(.*?)^```$", re.MULTILINE | re.DOTALL)
LOCAL_PORT = re.compile(r"127\.0\.0\.1:(\d{4})")
MARK = "===step==="
TIMEOUT_S = 120.0


@dataclass(slots=True)
class Step:
    """A command and the lines that the page shows after it."""

    command: str
    shown: list[str] = field(default_factory=list)


def read_steps(text: str) -> list[Step]:
    """Return the commands of all blocks in order."""
    steps: list[Step] = []
    for block in BLOCK.findall(text):
        for line in block.splitlines():
            if line.startswith("$ "):
                steps.append(Step(line[2:]))
            else:
                steps[-1].shown.append(line)
    return steps


def run_page(page: Path, folder: Path, settings: dict[str, str] | None = None) -> list[str]:
    """Run a page's commands in a folder; return what differs from the page, one line each.

    ``settings`` are environment variables that the page takes for granted.
    """
    ports: dict[str, str] = {}
    steps = read_steps(_move_ports(page.read_text(encoding="utf-8"), ports))
    _copy_examples(folder, ports)
    script: list[str] = []
    for number, step in enumerate(steps):
        script += [f"echo '{MARK}{number}'", step.command, "code=$?", f"echo '{MARK}' $code"]
    script.append("kill $(jobs -p) 2>/dev/null; wait")
    (folder / "page.sh").write_text("\n".join(script) + "\n", encoding="utf-8")
    printed, errors = _run_script(folder, settings or {})
    differences: list[str] = []
    for number, step in enumerate(steps):
        differences += _compare(step, _output_of(printed, number), errors)
    return differences


def _run_script(folder: Path, settings: dict[str, str]) -> tuple[str, str]:
    """Run the script to its end or its timeout; leave none of its processes behind."""
    process = subprocess.Popen(
        ["bash", "page.sh"],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        cwd=folder,
        env=_environment() | settings,
        start_new_session=True,
    )
    try:
        return process.communicate(timeout=TIMEOUT_S)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        return process.communicate()


def _environment() -> dict[str, str]:
    """Return an environment that finds the project's programs and no settings of its own."""
    kept = {key: value for key, value in os.environ.items() if not key.startswith("BLUEBELLRUN_")}
    programs = str(Path(sys.executable).parent)
    kept["PATH"] = f"{programs}:{kept.get('PATH', '')}"
    return kept | {"PYTHONPATH": str(ROOT), "COLUMNS": "120"}


def _move_ports(text: str, ports: dict[str, str]) -> str:
    """Return text with each local port replaced by a free one."""

    def replace(match: re.Match[str]) -> str:
        port = match.group(1)
        if port not in ports:
            ports[port] = _free_port()
        return f"127.0.0.1:{ports[port]}"

    return LOCAL_PORT.sub(replace, text)


def _free_port() -> str:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return str(probe.getsockname()[1])


def _copy_examples(folder: Path, ports: dict[str, str]) -> None:
    """Copy the examples, with the ports of the page."""
    shutil.copytree(ROOT / "examples", folder / "examples")
    for path in (folder / "examples").rglob("*.yaml"):
        text = path.read_text(encoding="utf-8")
        path.write_text(_move_ports(text, ports), encoding="utf-8")


def _output_of(output: str, number: int) -> tuple[str, int]:
    """Return what a step printed and its status."""
    begin = f"{MARK}{number}\n"
    if begin not in output:
        return "", -1
    rest = output.partition(begin)[2]
    printed, found, tail = rest.partition(f"{MARK} ")
    return printed, int(tail.split("\n", 1)[0]) if found else -1


def _compare(step: Step, result: tuple[str, int], errors: str) -> list[str]:
    """Return how a step differs from the page; ``...`` on the page stands for anything."""
    printed, status = result
    if status != 0:
        return [f"{step.command!r} exited {status}: {printed}{errors}"]
    lines = [line.strip() for line in printed.splitlines()]
    place, differences = 0, []
    for shown in step.shown:
        if shown.strip() in ("...", ""):
            continue
        pattern = re.sub(r"([\[\]?*])", r"[\1]", shown.strip()).replace("...", "*")
        found = [i for i, line in enumerate(lines) if i >= place and fnmatch.fnmatch(line, pattern)]
        if not found:
            differences.append(f"{step.command!r} did not print {shown!r} but: {printed}")
            continue
        place = found[0] + 1
    return differences
