"""Load patterns around a group whose ranks refuse all work at the same time."""

from bluebellrun.admission import GateSettings, ServiceGate


def unavailable(at=0.0):
    gate = ServiceGate(GateSettings())
    gate.record_refusal(at)
    gate.record_refusal(at)
    return gate


def test_a_healthy_service_admits_everything():
    gate = ServiceGate(GateSettings())
    assert all(gate.admits(0.0) for _ in range(100))


def test_one_refusal_is_no_outage():
    gate = ServiceGate(GateSettings())
    gate.record_refusal(0.0)
    assert not gate.is_unavailable(0.0)
    gate.record_accepted(0.1)
    gate.record_refusal(0.1)
    assert not gate.is_unavailable(0.1)


def test_an_unavailable_group_gets_occasional_probes():
    """All ranks refuse as one is missing: fifty requests a second must not all be sent."""
    gate = unavailable()
    probes = 0
    for turn in range(100):
        now = turn * 0.02
        if gate.admits(now):
            probes += 1
            gate.record_refusal(now)
    assert probes <= 2.0 / 0.15 + 2


def test_an_accepted_request_ends_the_outage():
    gate = unavailable()
    assert gate.is_unavailable(0.1)
    gate.record_accepted(0.1)
    assert all(gate.admits(0.1) for _ in range(10))


def test_an_outage_without_further_refusals_expires():
    gate = unavailable()
    assert gate.is_unavailable(0.9)
    assert not gate.is_unavailable(1.1)


def test_independent_upstreams_never_make_the_service_unavailable():
    gate = ServiceGate(GateSettings(), fails_together=False)
    for _ in range(10):
        gate.record_refusal(0.0)
    assert gate.admits(0.0)
    assert gate.admits(0.0)


def test_callers_retry_when_the_group_should_be_available():
    gate = unavailable()
    assert gate.retry_after_s(0.0) == 3.0
    assert round(gate.retry_after_s(0.9), 3) == 2.1
    assert gate.retry_after_s(2.9) == 1.0


def test_callers_of_a_full_service_retry_soon():
    assert ServiceGate(GateSettings()).retry_after_s(0.0) == 0.6
