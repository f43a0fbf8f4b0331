from random import Random

from bluebellrun.gateway._peers import EntryStatus, PeerTable, decode_status, encode_status


def news(entry, number, running, incarnation="i", silence_s=1.0):
    return EntryStatus(entry, incarnation, number, "10.0.0.1:7000", silence_s, running)


def test_news_survive_the_wire_and_noise_is_no_news():
    sent = news("e", 3, {"u": 2})
    assert decode_status(encode_status(sent)) == sent
    assert decode_status(b"\xc1 noise") is None
    leaving = EntryStatus("e", "i", 3, "10.0.0.1:7000", 0.0, {}, None, [("u", 7)])
    assert decode_status(encode_status(leaving)) == leaving


def test_the_work_of_all_other_entries_adds_up():
    table = PeerTable("me")
    table.record(news("a", 1, {"u": 2, "v": 1}), 0.0)
    table.record(news("b", 1, {"u": 3}), 0.0)
    table.record(news("me", 1, {"u": 50}), 0.0)
    assert (table.running("u"), table.running("v"), table.running("w")) == (5, 1, 0)


def test_a_datagram_that_was_overtaken_is_dropped():
    table = PeerTable("me")
    table.record(news("a", 5, {"u": 1}), 0.0)
    assert not table.record(news("a", 4, {"u": 9}), 0.1)
    assert table.running("u") == 1


def test_an_entry_that_started_again_counts_from_one():
    table = PeerTable("me")
    table.record(news("a", 500, {"u": 9}), 0.0)
    assert table.record(news("a", 1, {"u": 1}, incarnation="j"), 0.1)
    assert table.running("u") == 1


def test_a_silent_entry_counts_for_nothing():
    table = PeerTable("me")
    table.record(news("a", 1, {"u": 4}), 0.0)
    table.expire(0.9)
    assert table.running("u") == 4
    table.expire(1.1)
    assert table.running("u") == 0


def test_the_sum_stays_right_over_many_changes():
    random, table, latest = Random(1), PeerTable("me"), {}
    for number in range(1, 200):
        entry = random.choice("abcd")
        running = {u: random.randint(0, 3) for u in random.sample("uvwx", random.randint(0, 4))}
        assert table.record(news(entry, number, running), 0.01 * number)
        latest[entry] = running
        for upstream in "uvwx":
            assert table.running(upstream) == sum(r.get(upstream, 0) for r in latest.values())
    table.expire(60.0)
    assert not any(table.running(upstream) for upstream in "uvwx")


def test_the_entry_that_heard_the_store_last_is_the_one_to_ask():
    table = PeerTable("me")
    assert table.best_informed() is None
    table.record(news("a", 1, {}, silence_s=5.0), 0.0)
    table.record(news("b", 1, {}, silence_s=0.5), 0.0)
    assert table.best_informed().entry == "b"


def heard(entries, at):
    table = PeerTable("me")
    for entry in entries:
        table.record(news(entry, 1, {}), 0.0)
        if entry != "a":
            table.record(news(entry, 2, {}), at)
    return table


def test_an_entry_is_silent_alone_when_the_others_are_heard():
    table = heard("abcde", at=0.9)
    assert table.is_silent_alone("a", 0.6, 1.0)
    assert not table.is_silent_alone("a", 1.2, 1.0)
    assert not table.is_silent_alone("b", 0.6, 1.0)
    assert not table.is_silent_alone("unknown", 0.6, 1.0)


def test_where_many_are_silent_it_may_be_this_process_that_does_not_hear():
    assert not heard("abcde", at=0.1).is_silent_alone("a", 0.6, 1.0)
    assert not heard("a", at=0.9).is_silent_alone("a", 0.6, 1.0)
