import subprocess
import sys

VIOLATION = """
import curio
from types import SimpleNamespace
from bluebellrun.core import invariants
from bluebellrun.telemetry import configure_logs

async def violates_invariant():
    invariants.check(False, "index is sorted", where="here")

async def main():
    await curio.spawn(violates_invariant, daemon=True)
    await curio.sleep(0.2)
    print("still alive")

configure_logs(
    SimpleNamespace(log_format="json", log_level="info", fatal_invariants=FATAL), process="p"
)
curio.run(main)
"""


def run(fatal: bool) -> "subprocess.CompletedProcess[str]":
    program = VIOLATION.replace("FATAL", str(fatal))
    command = [sys.executable, "-c", program]
    return subprocess.run(command, capture_output=True, text=True, check=False, timeout=30)


def test_fatal_violation_in_any_task_exits_the_process():
    done = run(fatal=True)
    assert done.returncode == 4
    assert "index is sorted" in done.stderr
    assert "still alive" not in done.stdout


def test_non_fatal_violation_is_logged_with_its_trace():
    done = run(fatal=False)
    assert done.returncode == 0
    assert '"where": "here"' in done.stderr
    assert "still alive" in done.stdout
