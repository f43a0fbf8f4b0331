"""The names of the users' platform stay in the folder that translates them."""

import re
from pathlib import Path

import bluebellrun

ROOT = Path(bluebellrun.__file__).parent
WIRE_NAME = re.compile(
    r"x-bluebellrun-|/api/(report|picked|order|ready|kv-)|kv-txn|op/config|"
    r"BLUEBELLRUN_NODE_FILE|can_resume|gap_goal|at-server|health_path\"|\"servers/",
    re.IGNORECASE,
)


def test_only_the_adapter_knows_the_names_on_the_wire():
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in sorted(ROOT.rglob("*.py"))
        if path.parent.name != "platform"
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAME.search(line)
    ]
    assert found == []


def test_the_adapter_stays_small():
    lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").rglob("*.py"))
    assert lines < 2_000
