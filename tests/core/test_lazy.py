import subprocess
import sys

import pytest

import bluebellrun.store
from bluebellrun.core import load_at_first_use

HEAVY_MODULES = ("pydantic", "numpy", "h2", "cryptography", "statsd", "typer", "yaml")


def test_a_name_is_loaded_on_first_use():
    load = load_at_first_use("bluebellrun.store", {"Backoff": "_backoff"})
    assert load("Backoff") is bluebellrun.store.Backoff


def test_the_error_names_an_unknown_attribute():
    with pytest.raises(AttributeError, match="Nothing"):
        load_at_first_use("bluebellrun.store", {})("Nothing")


@pytest.mark.parametrize("program", ["bluebellrun.gateway._process", "bluebellrun.sidecar.main"])
def test_serving_programs_do_not_load_heavy_libraries(program):
    code = f"import sys, {program}; print([m for m in {HEAVY_MODULES!r} if m in sys.modules])"
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "[]"


def test_a_gateway_listens_before_it_loads_its_serving_modules():
    deferred = {"curio", "h11", "structlog"}
    code = f"import sys, bluebellrun.gateway.main; print({deferred!r} & {{*sys.modules}})"
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "set()"
