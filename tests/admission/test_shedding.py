"""What load shedding keeps of the requests that it decided on."""

from bluebellrun.admission import Capacity, LoadShedder, SheddingRequest, SheddingSettings


# Guards: a service without upstreams kept the time of every request sent since the start.
def test_what_was_sent_is_forgotten_while_a_service_has_no_slots() -> None:
    shedder = LoadShedder(SheddingSettings(), lambda urgency: 1.0)
    nothing = Capacity(0, 0, 1.0, 1.0, 12)
    for number in range(1_000):
        now = number * 0.01
        request = SheddingRequest(str(number), 0, False, now + 1.0, now + 2.0, now + 8.0)
        shedder.decide(request, nothing, now)
        shedder.finish(request.id)
    assert len(shedder._sent) < 20
