from random import Random

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.gateway import Fleet, Upstream, UpstreamDirectory
from bluebellrun.gateway._outcomes import Lost
from bluebellrun.gateway._prompt_guard import LossCause, PromptGuard
from bluebellrun.quarantine import PromptQuarantine, QuarantineSettings

UPSTREAM = Upstream("u", "s", Address("127.0.0.1", 1), "a", 4)


class CheckedFleet(Fleet):
    """A fleet whose upstreams have all ended, or none."""

    def __init__(self, ended: bool) -> None:
        super().__init__(UpstreamDirectory(), "a", Random(1))
        self.ended = ended

    async def has_ended(self, upstream: Upstream, checks: int = 1) -> bool:
        return self.ended


# Guards: other entries that learn of a crash only with the next round of status.
@pytest.mark.parametrize(
    ("ended", "has_head", "events", "cause"),
    [
        (True, True, 0, LossCause.CRASH),
        (True, False, 0, LossCause.ENDED),
        (False, True, 0, LossCause.CLOSED),
        (True, True, 3, LossCause.CLOSED),
    ],
)
def test_only_a_crash_that_accuses_a_part_is_told_at_once(ended, has_head, events, cause):
    async def main() -> None:
        recorded = curio.Event()
        quarantine = PromptQuarantine(QuarantineSettings())
        guard = PromptGuard(quarantine, CheckedFleet(ended), "a", crash_recorded=recorded)
        lost = Lost("closed", ended_by_peer=True)
        assert await guard.record_lost(UPSTREAM, ["p"], lost, has_head, events) is cause
        assert recorded.is_set() is bool(quarantine.suspect_count())
        assert recorded.is_set() is (ended and not events)

    curio.run(main)
