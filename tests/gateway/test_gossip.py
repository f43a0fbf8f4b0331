from random import Random

from bluebellrun.core import Address, BootClock
from bluebellrun.gateway import Fleet, StoreView, UpstreamDirectory
from bluebellrun.gateway._gossip import TOLD_AT_A_TIME, Gossip, silent_after_s
from bluebellrun.gateway._peers import SILENT_S, EntryStatus, PeerTable
from bluebellrun.gateway._slow_upstreams import SlowUpstreams
from bluebellrun.platform import PlatformCatalogue, PlatformStore
from bluebellrun.store import StoreTimeouts

NOWHERE = Address("127.0.0.1", 1)


def gossip() -> Gossip:
    store = PlatformStore(NOWHERE, StoreTimeouts(1.0))
    view = StoreView(
        store, PlatformCatalogue(), UpstreamDirectory(), lambda d: True, BootClock(), Random(1)
    )
    news = EntryStatus("me", "i", 1, str(NOWHERE), 0.0, {})
    fleet = Fleet(UpstreamDirectory(), "a", Random(1))
    table, slow = PeerTable("me"), SlowUpstreams()
    return Gossip(NOWHERE, "e/me", store, view, table, slow, fleet, lambda: news)


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
