"""Load patterns around a group whose ranks refuse all work at the same time."""

from bluebellrun.admission import GateSettings, ServiceGate


def broken(at=0.0):
    gate = ServiceGate(GateSettings())
    gate.record_refusal(at)
    gate.record_refusal(at)
    return gate


def test_a_sound_service_admits_everything():
    gate = ServiceGate(GateSettings())
    assert all(gate.admits(0.0) for _ in range(100))


def test_one_refusal_is_no_outage():
    gate = ServiceGate(GateSettings())
    gate.record_refusal(0.0)
    assert not gate.is_unavailable(0.0)
    gate.record_accepted()
    gate.record_refusal(0.1)
    assert not gate.is_unavailable(0.1)


def test_a_broken_group_gets_one_trial_now_and_then():
    """All ranks refuse because one is gone: fifty requests a second must not ask them all."""
    gate = broken()
    sent = 0
    for turn in range(100):
        now = turn * 0.02
        if gate.admits(now):
            sent += 1
            gate.record_refusal(now)
    assert sent <= 2.0 / 0.15 + 2


def test_a_request_that_is_taken_up_ends_the_outage():
    gate = broken()
    assert gate.is_unavailable(0.1)
    gate.record_accepted()
    assert all(gate.admits(0.1) for _ in range(10))


def test_an_outage_that_nobody_confirms_is_forgotten():
    gate = broken()
    assert gate.is_unavailable(0.9)
    assert not gate.is_unavailable(1.1)


def test_upstreams_that_fail_one_by_one_are_never_out_of_order_together():
    gate = ServiceGate(GateSettings(), fails_together=False)
    for _ in range(10):
        gate.record_refusal(0.0)
    assert gate.admits(0.0)
    assert gate.admits(0.0)


def test_callers_are_told_to_come_back_when_the_group_should_be():
    gate = broken()
    assert gate.retry_after_s(0.0) == 3.0
    assert round(gate.retry_after_s(0.9), 3) == 2.1
    assert gate.retry_after_s(2.9) == 1.0


def test_a_full_service_has_its_callers_back_soon():
    assert ServiceGate(GateSettings()).retry_after_s(0.0) == 0.6
