from random import Random

import msgspec

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


# Guards: with several managers each report replaced those of the others.
def test_the_reports_of_several_managers_are_merged():
    slow = SlowUpstreams()
    slow.replace({"u1": 4.0}, 0.0, "a")
    slow.replace({"u7": 2.0}, 0.1, "b")
    slow.replace({}, 0.2, "c")
    assert slow.current(0.2) == {"u1": 4.0, "u7": 2.0}
    slow.replace({"u1": 4.0}, VALIDITY_S, "a")
    assert slow.current(VALIDITY_S + 0.15) == {"u1": 4.0}


# Guards: a rank that recovered stayed out of use until the report of its former manager expired.
def test_the_report_of_a_new_manager_counts_for_its_ranks():
    former, new, third = SlowUpstreams(), SlowUpstreams(), SlowUpstreams()
    former.replace({"u1": 4.0, "u2": 1.0}, 0.0)
    assert former.outgoing(0.1) == {"u1": 4.0}
    for subject in (new, third):
        subject.replace(former.outgoing(0.1), 0.1, "former")
    new.replace({"u1": 1.0, "u2": 1.0}, 0.2)
    assert new.outgoing(0.2) == {"u1": 1.0}
    third.replace(new.outgoing(0.2), 0.3, "new")
    assert (new.current(0.3), third.current(0.3)) == ({}, {})


# Guards: a process that lost a role went on sending an old report.
def test_an_old_own_report_is_not_sent():
    slow = SlowUpstreams()
    slow.replace({"u1": 4.0}, 0.0)
    assert slow.outgoing(VALIDITY_S + 0.1) == {}


def test_slow_ranks_are_sent_only_by_the_holder_of_the_placement_role():
    status = EntryStatus("a", "i", 1, "10.0.0.1:7000", 0.0, {}, {"u1": 2.0})
    assert decode_status(encode_status(status)).slow == {"u1": 2.0}
    table = PeerTable("me")
    assert table.record(EntryStatus("b", "i", 1, "10.0.0.1:7000", 0.0, {}), 0.0)
    assert table.best_informed().slow is None


# Guards: builds from before there were several managers send shorter messages.
def test_a_status_of_an_older_build_is_read_without_the_new_field():
    status = EntryStatus("a", "i", 1, "10.0.0.1:7000", 0.0, {}, {"u1": 2.0}, group_slow={"u1": 3.0})
    assert decode_status(encode_status(status)).group_slow == {"u1": 3.0}
    fields_before = EntryStatus.__struct_fields__.index("group_slow")
    older = msgspec.msgpack.encode(msgspec.to_builtins(status)[:fields_before])
    assert decode_status(older).group_slow is None
    assert decode_status(older).slow == {"u1": 2.0}
