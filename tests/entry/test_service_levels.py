import pytest

from bluebellrun.core import AlreadyRan, NotRun, Ran, Unknown
from bluebellrun.declarations import PriorityRule
from bluebellrun.entry._service_levels import Delivery, determine_verdict
from bluebellrun.reports import Verdict

RULE = PriorityRule("urgent", 1, first_token_s=0.5, deadline_s=10.0)


def delivery(first: float = 0.1, total: float = 1.0, status: int = 200, started: bool = True):
    return Delivery(status=status, started=started, first_byte_s=first, total_s=total)


@pytest.mark.parametrize(
    ("outcome", "sent", "streamed", "verdict"),
    [
        (Ran(), delivery(), True, Verdict.GOOD),
        (Ran(), delivery(first=0.6), True, Verdict.LATE),
        (Ran(), delivery(first=0.6), False, Verdict.GOOD),
        (Ran(), delivery(total=10.1), False, Verdict.LATE),
        (Ran(), delivery(status=502), True, Verdict.FAILED),
        (Ran(), delivery(status=404), True, Verdict.GOOD),
        (AlreadyRan("r"), delivery(status=0, started=False), False, Verdict.GOOD),
        (NotRun("no"), delivery(started=False), True, Verdict.REFUSED),
        (Unknown("lost"), delivery(started=True), True, Verdict.FAILED),
        (Unknown("lost"), delivery(started=False), True, Verdict.UNKNOWN),
    ],
)
def test_the_verdict_matches_what_the_caller_sees(outcome, sent, streamed, verdict):
    assert determine_verdict(outcome, sent, RULE, streamed) is verdict
