from random import Random

from bluebellrun.gateway._peers import EntryStatus, PeerTable, decode_status, encode_status


def status(entry, number, running, incarnation="i", silence_s=1.0):
    return EntryStatus(entry, incarnation, number, "10.0.0.1:7000", silence_s, running)


def test_status_round_trips_and_invalid_datagrams_are_rejected():
    sent = status("e", 3, {"u": 2})
    assert decode_status(encode_status(sent)) == sent
    assert decode_status(b"\xc1 noise") is None
    leaving = EntryStatus("e", "i", 3, "10.0.0.1:7000", 0.0, {}, None, [("u", 7)])
    assert decode_status(encode_status(leaving)) == leaving


def test_the_work_of_all_other_entries_adds_up():
    table = PeerTable("me")
    table.record(status("a", 1, {"u": 2, "v": 1}), 0.0)
    table.record(status("b", 1, {"u": 3}), 0.0)
    table.record(status("me", 1, {"u": 50}), 0.0)
    assert (table.running("u"), table.running("v"), table.running("w")) == (5, 1, 0)


def test_an_out_of_order_datagram_is_dropped():
    table = PeerTable("me")
    table.record(status("a", 5, {"u": 1}), 0.0)
    assert not table.record(status("a", 4, {"u": 9}), 0.1)
    assert table.running("u") == 1


def test_a_restarted_entry_numbers_its_status_from_one():
    table = PeerTable("me")
    table.record(status("a", 500, {"u": 9}), 0.0)
    assert table.record(status("a", 1, {"u": 1}, incarnation="j"), 0.1)
    assert table.running("u") == 1


def test_the_work_of_a_silent_entry_is_dropped():
    table = PeerTable("me")
    table.record(status("a", 1, {"u": 4}), 0.0)
    table.expire(0.9)
    assert table.running("u") == 4
    table.expire(1.1)
    assert table.running("u") == 0


def test_totals_stay_correct_over_many_changes():
    random, table, latest = Random(1), PeerTable("me"), {}
    for number in range(1, 200):
        entry = random.choice("abcd")
        running = {u: random.randint(0, 3) for u in random.sample("uvwx", random.randint(0, 4))}
        assert table.record(status(entry, number, running), 0.01 * number)
        latest[entry] = running
        for upstream in "uvwx":
            assert table.running(upstream) == sum(r.get(upstream, 0) for r in latest.values())
    table.expire(60.0)
    assert not any(table.running(upstream) for upstream in "uvwx")


def test_the_entry_with_the_latest_store_contact_is_best_informed():
    table = PeerTable("me")
    assert table.best_informed() is None
    table.record(status("a", 1, {}, silence_s=5.0), 0.0)
    table.record(status("b", 1, {}, silence_s=0.5), 0.0)
    assert table.best_informed().entry == "b"


def table_of(entries, at):
    table = PeerTable("me")
    for entry in entries:
        table.record(status(entry, 1, {}), 0.0)
        if entry != "a":
            table.record(status(entry, 2, {}), at)
    return table


def test_an_entry_is_silent_alone_when_the_others_are_received():
    table = table_of("abcde", at=0.9)
    assert table.is_silent_alone("a", 0.6, 1.0)
    assert not table.is_silent_alone("a", 1.2, 1.0)
    assert not table.is_silent_alone("b", 0.6, 1.0)
    assert not table.is_silent_alone("unknown", 0.6, 1.0)


def test_when_many_are_silent_none_is_silent_alone():
    assert not table_of("abcde", at=0.1).is_silent_alone("a", 0.6, 1.0)
    assert not table_of("a", at=0.9).is_silent_alone("a", 0.6, 1.0)
