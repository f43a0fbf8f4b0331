from bluebellrun.routing import RequestedLimits


def test_a_limit_holds_until_an_answer_to_a_later_request_names_none():
    limits: RequestedLimits[str] = RequestedLimits()
    assert limits.record_named("u", 2.0, 10.0)
    assert not limits.record_named("u", 2.0, 11.0)
    assert not limits.record_absent("u", 10.9, 12.0)
    assert limits.limit("u") == 2.0
    assert limits.record_absent("u", 11.1, 12.0)
    assert limits.limit("u") is None
    assert limits.limited() == []


def test_the_latest_observation_of_any_entry_counts():
    limits: RequestedLimits[str] = RequestedLimits()
    assert limits.apply_peer("u", 2.0, 1.0, 10.0)
    assert not limits.apply_peer("u", 5.0, 2.0, 10.5)
    assert limits.limit("u") == 2.0
    assert limits.apply_peer("u", 1.0, 0.1, 10.5)
    assert limits.apply_peer("u", None, 0.0, 11.0)
    assert limits.limit("u") is None


def test_an_observation_that_comes_back_does_not_become_newer():
    limits: RequestedLimits[str] = RequestedLimits()
    limits.record_named("u", 2.0, 10.0)
    for turn in range(100):
        now = 10.1 + 0.1 * turn
        age_s = limits.age_s("u", now)
        limits.apply_peer("u", 2.0, age_s - 0.004, now)
    assert limits.age_s("u", 20.0) == 10.0


def test_the_end_of_a_limit_is_told_for_some_seconds():
    limits: RequestedLimits[str] = RequestedLimits()
    limits.record_named("u", 2.0, 10.0)
    limits.record_absent("u", 10.5, 11.0)
    assert [key for key, _ in limits.reports(12.0)] == ["u"]
    assert limits.reports(15.0) == []


def test_upstreams_that_are_gone_are_forgotten():
    limits: RequestedLimits[str] = RequestedLimits()
    limits.record_named("u", 2.0, 10.0)
    limits.record_named("v", 0.0, 10.0)
    limits.retain({"v"})
    assert limits.limited() == ["v"]
    assert limits.limit("v") == 0.0
