from bluebellrun.admission import GateSettings, ServiceGate


def test_a_sound_service_admits_everything():
    gate = ServiceGate(GateSettings())
    assert all(gate.admits(0.0) for _ in range(100))


def test_a_broken_group_gets_one_trial_now_and_then():
    """All ranks refuse because one is gone: fifty requests a second must not ask them all."""
    gate = ServiceGate(GateSettings())
    sent = 0
    for turn in range(100):
        now = turn * 0.02
        if gate.admits(now):
            sent += 1
            gate.note_outage(now)
    assert sent <= 2.0 / 0.15 + 2


def test_a_request_that_is_taken_up_ends_the_outage():
    gate = ServiceGate(GateSettings())
    gate.note_outage(0.0)
    assert gate.out_of_order(0.1)
    gate.note_taken_up()
    assert all(gate.admits(0.1) for _ in range(10))


def test_an_outage_that_nobody_confirms_is_forgotten():
    gate = ServiceGate(GateSettings())
    gate.note_outage(0.0)
    assert not gate.out_of_order(1.1)


def test_callers_are_told_to_come_back_when_the_group_should_be():
    gate = ServiceGate(GateSettings())
    gate.note_outage(0.0)
    assert gate.retry_after_s(0.0) == 2.2
    gate.note_outage(0.9)
    assert round(gate.retry_after_s(1.0), 3) == 1.2
    gate.note_outage(1.8)
    gate.note_outage(2.6)
    assert gate.retry_after_s(3.0) == 0.6
