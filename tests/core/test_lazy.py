import subprocess
import sys

import pytest

import bluebellrun.store
from bluebellrun.core import load_at_first_use

HEAVY = ("pydantic", "numpy", "h2", "cryptography", "statsd", "typer", "yaml")


def test_a_name_is_loaded_when_it_is_first_used():
    load = load_at_first_use("bluebellrun.store", {"Backoff": "_backoff"})
    assert load("Backoff") is bluebellrun.store.Backoff


def test_an_unknown_name_is_named():
    with pytest.raises(AttributeError, match="Nothing"):
        load_at_first_use("bluebellrun.store", {})("Nothing")


@pytest.mark.parametrize("program", ["bluebellrun.gateway._process", "bluebellrun.sidecar.main"])
def test_serving_programs_load_only_what_they_serve_with(program):
    code = f"import sys, {program}; print([m for m in {HEAVY!r} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_a_gateway_listens_before_it_loads_what_it_serves_with():
    late = {"curio", "h11", "structlog"}
    code = f"import sys, bluebellrun.gateway.main; print({late!r} & {{*sys.modules}})"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "set()"
