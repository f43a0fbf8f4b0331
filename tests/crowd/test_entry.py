"""Crowds of callers outside the limits at an entry with little memory."""

import urllib.request

import curio
import pytest

from standins.fleet import LocalFleet
from tests.crowd.callers import MEGABYTE
from tests.crowd.checks import check_crowd, crowds
from tests.gateway.processes import ROUTE_TIMEOUT_S

MEMORY_MB = 160
MAX_BODY_BYTES = 4_194_304
KINDS = crowds(MAX_BODY_BYTES)


# Guards: an entry read every body whole with no bound on their sum.
@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_leaves_memory_and_room_for_an_ordinary_request(
    fleet: LocalFleet, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    # By the environment: a build that does not know the setting ignores it.
    monkeypatch.setenv("BLUEBELLRUN_MEMORY_MB", str(MEMORY_MB))
    fleet.start_platform()
    entry = fleet.start_entry("entry-1", "--max-body-bytes", str(MAX_BODY_BYTES))
    fleet.declare([{"kind": "service", "name": "job-ledger", "protocol": "plain"}])
    fleet.wait_ready("entry-1")

    def ask() -> bool:
        try:
            with urllib.request.urlopen(
                f"http://{entry.address}/readyz", timeout=ROUTE_TIMEOUT_S
            ) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    async def ordinary() -> bool:
        return bool(await curio.run_in_thread(ask))

    async def check() -> None:
        memory = MEMORY_MB * MEGABYTE
        await check_crowd(entry.process, entry.address, "/x", KINDS[kind], memory, ordinary)

    curio.run(check)
