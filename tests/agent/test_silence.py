from bluebellrun.agent._silence import silence_limit_s
from bluebellrun.declarations import build_configuration
from bluebellrun.declarations._models import PriorityDocument


def test_silence_limit_is_shorter_for_urgent_streams_and_has_an_upper_bound():
    urgent = PriorityDocument(kind="priority", name="urgent", urgency=1, token_gap_s=0.2)
    bulk = PriorityDocument(kind="priority", name="bulk", urgency=6, token_gap_s=5.0)
    fast = PriorityDocument(kind="priority", name="fast", urgency=0, token_gap_s=0.01)
    configuration = build_configuration(1, [urgent, bulk, fast])
    limits = [silence_limit_s(configuration, priority, 10.0) for priority in (0, 1, 6)]
    assert limits == [1.0, 2.0, 10.0]
    assert silence_limit_s(None, 1, 10.0) == 10.0
