import subprocess
import sys

import pytest

PROGRAM = """
from types import SimpleNamespace
from bluebellrun.telemetry import configure_logs, get_logger
settings = SimpleNamespace(log_format={format!r}, log_level="info", fatal_invariants=False)
configure_logs(settings, process="a")
get_logger("test").info("request sent", {field}="secret-value", status=200)
"""


@pytest.mark.parametrize("log_format", ["json", "console"])
@pytest.mark.parametrize("field", ["authorization", "token", "api_key", "password"])
def test_secret_fields_are_redacted(log_format, field):
    program = PROGRAM.format(format=log_format, field=field)
    command = [sys.executable, "-c", program]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=30)
    assert "request sent" in done.stderr
    assert "secret-value" not in done.stderr + done.stdout
