from random import Random

from bluebellrun.core import parse_address
from bluebellrun.expert_maps._slow_upstreams import VALIDITY_S, SlowUpstreams
from bluebellrun.gateway import Fleet, Upstream, UpstreamDirectory
from bluebellrun.gateway._peers import EntryStatus, PeerTable, decode_status, encode_status


def directory(count: int) -> UpstreamDirectory:
    found = UpstreamDirectory()
    for number in range(count):
        address = parse_address(f"10.0.0.{number + 1}:80")
        found.put(Upstream(f"u{number}", "model", address, "a", slots=6))
    return found


def fleet(slow: SlowUpstreams, count: int = 12) -> Fleet:
    return Fleet(directory(count), "a", Random(1), slow_now=slow.current)


def chosen(subject: Fleet, now: float) -> set[str]:
    return {subject.choose("model", (), now).instance for _ in range(200)}


def test_a_slow_rank_gets_no_requests_and_its_slots_do_not_count():
    slow = SlowUpstreams()
    subject = fleet(slow)
    assert "u4" in chosen(subject, 0.0)
    slow.replace({"u4": 4.0}, 0.0)
    assert chosen(subject, 0.0) == {f"u{n}" for n in range(12)} - {"u4"}
    assert subject.slot_usage("model", 0.0).total == 11 * 6


def test_a_recovered_rank_gets_requests_again():
    slow = SlowUpstreams()
    slow.replace({"u4": 4.0}, 0.0)
    slow.replace({"u4": 1.0}, 0.1)
    assert "u4" in chosen(fleet(slow), 0.1)


def test_a_report_expires_unless_it_is_repeated():
    slow = SlowUpstreams()
    slow.replace({"u4": 4.0}, 0.0)
    assert slow.of("u4", VALIDITY_S - 0.1) == 4.0
    assert slow.of("u4", VALIDITY_S + 0.1) == 1.0


def test_a_slow_rank_serves_when_all_healthy_ranks_are_excluded():
    slow = SlowUpstreams()
    slow.replace({"u0": 4.0}, 0.0)
    subject = fleet(slow, 3)
    assert subject.choose("model", ("u1", "u2"), 0.0).instance == "u0"


def test_slow_ranks_are_sent_only_by_the_holder_of_the_placement_role():
    status = EntryStatus("a", "i", 1, "10.0.0.1:7000", 0.0, {}, {"u1": 2.0})
    assert decode_status(encode_status(status)).slow == {"u1": 2.0}
    table = PeerTable("me")
    assert table.record(EntryStatus("b", "i", 1, "10.0.0.1:7000", 0.0, {}), 0.0)
    assert table.best_informed().slow is None
