from bluebellrun.transport._control_limit import ControlLimit, ControlLimitSettings

SETTINGS = ControlLimitSettings(burst=10, per_second=2.0)


def count(limit: ControlLimit, now: float) -> int:
    """Return how many frames are allowed at a moment."""
    allowed = 0
    while limit.allow(now):
        allowed += 1
    return allowed


def test_a_burst_is_allowed_then_as_many_as_time_passes():
    limit = ControlLimit(100.0, SETTINGS)
    assert count(limit, 100.0) == 10
    assert count(limit, 103.0) == 5


def test_no_more_than_a_burst_is_saved():
    limit = ControlLimit(0.0, SETTINGS)
    assert count(limit, 3_600.0) == 10


def test_a_ping_a_second_is_always_allowed():
    limit = ControlLimit(0.0)
    assert all(limit.allow(float(second)) for second in range(100_000))
