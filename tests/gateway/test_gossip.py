from random import Random

import curio

from bluebellrun.core import Address, BootClock
from bluebellrun.expert_maps import SlowUpstreams
from bluebellrun.gateway import Fleet, StoreView, UpstreamDirectory
from bluebellrun.gateway._crash_exchange import CrashExchange
from bluebellrun.gateway._gossip import PEERS_PER_ROUND, SEND_INTERVAL_S, Gossip, silent_after_s
from bluebellrun.gateway._peers import SILENT_S, EntryStatus, PeerTable
from bluebellrun.gateway._store_changes import RecordWritten
from bluebellrun.platform import PlatformCatalogue, PlatformStore
from bluebellrun.quarantine import PromptQuarantine, QuarantineSettings
from bluebellrun.store import StoreTimeouts
from standins.users_platform import FakeStore

NOWHERE = Address("127.0.0.1", 1)


def gossip(store: PlatformStore | None = None, key: str = "e/me") -> Gossip:
    store = store or PlatformStore(NOWHERE, StoreTimeouts(1.0))
    view = StoreView(
        store, PlatformCatalogue(), UpstreamDirectory(), lambda d: True, BootClock(), Random(1)
    )
    status = EntryStatus("me", "i", 1, str(NOWHERE), 0.0, {})
    fleet = Fleet(UpstreamDirectory(), "a", Random(1))
    table, slow = PeerTable("me"), SlowUpstreams()
    settings = QuarantineSettings()
    crashes = CrashExchange(PromptQuarantine(settings), settings, store, view, "c/", "me")
    return Gossip(NOWHERE, key, store, view, table, slow, fleet, lambda: status, crashes)


def peers(count: int) -> list[Address]:
    return [Address("10.0.0.1", 7000 + number) for number in range(count)]


def test_a_few_entries_all_get_the_status_in_each_round():
    subject = gossip()
    assert subject._next_peers(peers(13)) == peers(13)
    assert subject._next_peers(peers(13)) == peers(13)


def test_each_round_sends_to_a_bounded_number_of_entries_and_reaches_all_in_turn():
    subject, many = gossip(), peers(50)
    rounds = [subject._next_peers(many) for _ in range(8)]
    assert all(len(turn) == PEERS_PER_ROUND for turn in rounds)
    heard = [address for turn in rounds for address in turn]
    assert {heard.count(address) for address in many} <= {2, 3}


def test_the_silence_timeout_grows_with_the_interval_between_datagrams():
    assert silent_after_s(5) == SILENT_S
    assert silent_after_s(390) > 2 * 0.1 * 390 / PEERS_PER_ROUND


class SentDatagrams:
    """A socket that keeps the ports that datagrams are sent to."""

    def __init__(self) -> None:
        self.ports: set[int] = set()

    async def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.ports.add(address[1])


# Guards: an entry was killed 53 ms after it saw a crash, before its next round of status: no other
# entry knew of the crash, and the same part crashed one more upstream.
def test_a_crash_is_told_to_all_entries_at_once():
    async def main() -> None:
        subject, sock, many = gossip(), SentDatagrams(), peers(3 * PEERS_PER_ROUND)
        subject._view._records = {
            f"e/{peer.port}": RecordWritten(f"e/{peer.port}", str(peer).encode(), 1)
            for peer in many
        }
        sending = await curio.spawn(subject._send_rounds, sock)
        await curio.sleep(0)
        await subject._crashes._crash_recorded.set()
        await curio.sleep(SEND_INTERVAL_S / 10)
        assert sock.ports == {peer.port for peer in many}
        sock.ports.clear()
        await curio.sleep(SEND_INTERVAL_S / 2)
        assert not sock.ports
        await sending.cancel()

    curio.run(main)


# Guards: a registration that was written late went with an older lease, and the entry renewed
# another lease while no other entry knew of it.
def test_an_entry_whose_registration_went_registers_again():
    async def main() -> None:
        fake = FakeStore()
        subject = gossip(PlatformStore(await fake.start(), StoreTimeouts(1.0)), "bluebellrun/e/me")
        await curio.spawn(subject._view.run, daemon=True)
        await subject._register()
        key = subject._key
        fake.delete(key)
        async with curio.timeout_after(3.0):
            while subject._view.confirmed_at is None or subject._view.record(key) is not None:
                await curio.sleep(0.01)
        await subject._register()
        assert fake.items[key]["lease"] == subject._lease
        calls = fake.calls
        async with curio.timeout_after(3.0):
            while subject._view.record(key) is None:
                await curio.sleep(0.01)
        await subject._register()
        assert len([item for item in fake.events if item["key"] == key]) == 3
        assert fake.calls > calls

    curio.run(main)


# Guards: an entry that started while the store refused it took itself for the only one, and with
# that the whole slack of the retry budget that all entries share.
def test_an_entry_that_has_not_read_the_register_does_not_count_the_others():
    async def main() -> None:
        fake = FakeStore()
        fake.put("bluebellrun/e/other", b"10.0.0.1:7000")
        fake.refuse = 503
        subject = gossip(PlatformStore(await fake.start(), StoreTimeouts(1.0)), "bluebellrun/e/me")
        await curio.spawn(subject._view.run, daemon=True)
        await curio.sleep(0.2)
        assert subject.others is None
        fake.refuse = 0
        async with curio.timeout_after(3.0):
            while subject.others is None:
                await curio.sleep(0.01)
        assert subject.others == 1

    curio.run(main)
