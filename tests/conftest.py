import os
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from bluebellrun.core import invariants
from standins.fleet import LocalFleet

pytest_plugins = ["pytester"]

settings.register_profile(
    "ci", derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
settings.register_profile(
    "long", max_examples=20_000, deadline=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture(autouse=True)
def fatal_invariants() -> None:
    invariants.configure(True, None)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path / "fleet") as running:
        yield running
