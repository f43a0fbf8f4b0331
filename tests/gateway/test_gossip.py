import socket
from random import Random

from bluebellrun.core import Address, BootClock
from bluebellrun.gateway import StoreView, UpstreamDirectory
from bluebellrun.gateway._gossip import (
    CHANGES_TOLD_AT_ONCE,
    TOLD_AT_A_TIME,
    Gossip,
    silent_after_s,
)
from bluebellrun.gateway._peers import SILENT_S, EntryNews, PeerTable, WorkChange, decode_news
from bluebellrun.gateway._slow_upstreams import SlowUpstreams
from bluebellrun.platform import PlatformCatalogue, PlatformStore
from bluebellrun.store import StoreTimeouts

NOWHERE = Address("127.0.0.1", 1)


def gossip() -> Gossip:
    store = PlatformStore(NOWHERE, StoreTimeouts(1.0))
    view = StoreView(
        store, PlatformCatalogue(), UpstreamDirectory(), lambda d: True, BootClock(), Random(1)
    )
    news = EntryNews("me", "i", 1, str(NOWHERE), 0.0, {})
    return Gossip(
        NOWHERE,
        "e/me",
        store,
        view,
        PeerTable("me"),
        SlowUpstreams(),
        lambda: news,
        lambda instance, running: WorkChange("me", "i", 2, {instance: running}),
    )


def peers(count: int) -> list[Address]:
    return [Address("10.0.0.1", 7000 + number) for number in range(count)]


def test_a_few_entries_are_all_told_at_each_turn():
    subject = gossip()
    assert subject._next_told(peers(13)) == peers(13)
    assert subject._next_told(peers(13)) == peers(13)


def test_of_many_entries_a_bounded_number_is_told_at_a_time_and_all_in_turn():
    subject, many = gossip(), peers(50)
    told = [subject._next_told(many) for _ in range(8)]
    assert all(len(turn) == TOLD_AT_A_TIME for turn in told)
    heard = [address for turn in told for address in turn]
    assert {heard.count(address) for address in many} <= {2, 3}


def test_entries_that_are_told_seldom_are_not_taken_to_be_silent():
    assert silent_after_s(5) == SILENT_S
    assert silent_after_s(390) > 2 * 0.1 * 390 / TOLD_AT_A_TIME


def test_a_change_of_work_is_told_at_once_to_all_entries():
    listeners = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(30)]
    for listener in listeners:
        listener.bind(("127.0.0.1", 0))
        listener.settimeout(1)
    subject = gossip()
    subject._told_at_once = [Address(*listener.getsockname()) for listener in listeners]
    subject.tell_change("u1", 3)
    for listener in listeners:
        assert decode_news(listener.recv(1_000)) == WorkChange("me", "i", 2, {"u1": 3})
        listener.close()


def test_changes_of_work_cost_a_bounded_number_of_datagrams():
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.bind(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_000_000)
    listener.setblocking(False)
    subject = gossip()
    subject._told_at_once = [Address(*listener.getsockname())] * 35
    for _ in range(100):
        subject.tell_change("u1", 3)
    told = 0
    try:
        while listener.recv(1_000):
            told += 1
    except BlockingIOError:
        listener.close()
    assert CHANGES_TOLD_AT_ONCE <= told < 2 * CHANGES_TOLD_AT_ONCE


def test_where_changes_are_too_many_all_entries_hear_of_some():
    listeners = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(200)]
    for listener in listeners:
        listener.bind(("127.0.0.1", 0))
        listener.setblocking(False)
    subject = gossip()
    subject._told_at_once = [Address(*listener.getsockname()) for listener in listeners]
    for _ in range(10):
        subject.tell_change("u1", 3)
    for listener in listeners:
        assert listener.recv(1_000)
        listener.close()
