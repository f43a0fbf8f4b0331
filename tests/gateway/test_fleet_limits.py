"""Upstreams that limit their rate, as routing and admission see them."""

from random import Random

import curio

from bluebellrun.core import Address
from bluebellrun.gateway import Fleet, Upstream, UpstreamDirectory

TYPICAL_S = 2.0


def fleet_of(*limits: float | None) -> Fleet:
    """Return a fleet of upstreams with six slots each and these limits."""
    directory = UpstreamDirectory()
    fleet = Fleet(directory, "a", Random(1))
    for number, per_s in enumerate(limits):
        upstream = Upstream(f"u{number}", "s", Address("10.0.0.1", 80 + number), "a", 6)
        directory.put(upstream)
        fleet.record_result(upstream.instance, False, TYPICAL_S, 100.0)
        if per_s is not None:
            fleet.permits.limits.record_named(upstream.incarnation, per_s, 100.0)
    return fleet


def test_a_limited_upstream_has_as_many_slots_as_its_rate_fills():
    assert fleet_of(None, None).slot_usage("s", 101.0).total == 12
    assert fleet_of(None, 1.5).slot_usage("s", 101.0).total == 9
    assert fleet_of(None, 100.0).slot_usage("s", 101.0).total == 12
    assert fleet_of(0.0, 0.0).slot_usage("s", 101.0).total == 1


def test_upstreams_without_a_permit_are_not_chosen_and_say_when_to_come_back():
    async def main() -> None:
        fleet = fleet_of(0.5, 0.5)
        assert fleet.choose("s", (), 101.0) is None
        assert fleet.is_at_limits("s", 101.0)
        assert 0 < fleet.available_in_s("s", 101.0) <= 2.0
        chosen = fleet.choose("s", (), 104.0)
        assert chosen is not None
        assert fleet.choose("s", (), 104.0, unlimited=True) is None
        assert not fleet.has_unlimited_other(chosen, 104.0)

    curio.run(main)


def test_unlimited_upstreams_are_chosen_while_limited_ones_wait():
    fleet = fleet_of(0.5, None)
    chosen = [fleet.choose("s", (), 101.0) for _ in range(20)]
    assert {item.instance for item in chosen if item is not None} == {"u1"}
    assert fleet.available_in_s("s", 101.0) == 0.0
    assert not fleet.is_at_limits("s", 101.0)
