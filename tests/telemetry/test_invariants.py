import subprocess
import sys

VIOLATION = """
import curio
from types import SimpleNamespace
from bluebellrun.core import invariants
from bluebellrun.telemetry import configure_logs

async def broken():
    invariants.check(False, "water flows down", where="here")

async def main():
    await curio.spawn(broken, daemon=True)
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


def test_a_violation_in_any_task_ends_the_process_where_it_is_fatal():
    done = run(fatal=True)
    assert done.returncode == 4
    assert "water flows down" in done.stderr
    assert "still alive" not in done.stdout


def test_a_violation_is_logged_with_its_trace_where_it_is_not():
    done = run(fatal=False)
    assert done.returncode == 0
    assert '"where": "here"' in done.stderr
    assert "still alive" in done.stdout
