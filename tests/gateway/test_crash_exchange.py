"""Crash reports between entries: by datagrams, by the store, and beside older builds."""

import time
from random import Random

import curio
import msgspec
import pytest

from bluebellrun.core import Address, BootClock
from bluebellrun.gateway import StoreView, UpstreamDirectory
from bluebellrun.gateway._crash_exchange import (
    FRESH_S,
    MAX_PARTS_PER_MESSAGE,
    OLD_REPORTS_ROUNDS,
    CrashExchange,
)
from bluebellrun.gateway._peers import EntryStatus, decode_status, encode_status
from bluebellrun.gateway._store_changes import RecordWritten
from bluebellrun.platform import PlatformCatalogue
from bluebellrun.quarantine import PromptQuarantine, Quarantined, QuarantineSettings
from bluebellrun.store import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    StoreUnavailableError,
    TransactionResult,
)

SETTINGS = QuarantineSettings()
PREFIX = "bluebellrun/crashes/"


class MemoryStore:
    """Keys and leases in memory; down while ``is_down``."""

    era = 1

    def __init__(self) -> None:
        self.items: dict[str, bytes] = {}
        self.ttls: list[int] = []
        self.is_down = False

    async def grant_lease(self, ttl_s: int) -> int:
        if self.is_down:
            raise StoreUnavailableError("down")
        self.ttls.append(ttl_s)
        return len(self.ttls)

    async def transact(self, compares: list[Compare], puts: list[Put]) -> TransactionResult:
        if self.is_down:
            raise StoreUnavailableError("down")
        self.items.update({put.key: put.value or b"" for put in puts})
        return TransactionResult(True, len(self.items))


class Entry:
    """One entry's exchange, and its view of the store."""

    def __init__(self, store: MemoryStore, host: str) -> None:
        self.quarantine = PromptQuarantine(SETTINGS)
        self.view = StoreView(
            store,  # type: ignore[arg-type]
            PlatformCatalogue(),
            UpstreamDirectory(),
            lambda d: True,
            BootClock(),
            Random(1),
        )
        self.exchange = CrashExchange(
            self.quarantine,
            SETTINGS,
            store,  # type: ignore[arg-type]
            self.view,
            PREFIX,
            host,
        )

    def crash(self, *parts: str, upstream: str = "u1", at: float | None = None) -> None:
        now = time.monotonic() if at is None else at
        self.quarantine.record_crash("s", (upstream, 1), parts, beginning=True, now=now)

    def decide(self, *parts: str) -> object:
        return self.quarantine.decide("s", parts, time.monotonic() + SETTINGS.settle_s)

    async def read(self, store: MemoryStore) -> None:
        items = tuple(KeyValue(key, value, 1) for key, value in store.items.items())
        await self.view._apply_snapshot(Snapshot(items, 1))
        self.exchange._read_stored()


# Guards against a quarantine that is lost when all entries restart at once.
def test_an_entry_that_starts_learns_from_the_store_alone():
    async def main() -> None:
        store = MemoryStore()
        first, second = Entry(store, "a"), Entry(store, "b")
        first.crash("dead")
        await first.exchange._write_own()
        assert store.ttls == [int(SETTINGS.retention_s)]
        await second.read(store)
        assert isinstance(second.decide("dead"), Quarantined)

    curio.run(main)


def test_a_report_is_stored_again_only_when_it_has_changed():
    async def main() -> None:
        store = MemoryStore()
        first, second = Entry(store, "a"), Entry(store, "b")
        first.crash("dead", "sound")
        for _ in range(3):
            await first.exchange._write_own()
        assert len(store.ttls) == 1
        first.quarantine.record_answer("s", ["sound"], time.monotonic())
        await first.exchange._write_own()
        assert len(store.ttls) == 2
        await second.read(store)
        assert list(second.quarantine.suspects("s")) == ["dead"]

    curio.run(main)


def test_a_report_is_stored_once_the_store_is_back():
    async def main() -> None:
        store = MemoryStore()
        entry = Entry(store, "a")
        entry.crash("dead")
        store.is_down = True
        with pytest.raises(StoreUnavailableError):
            await entry.exchange._write_own()
        store.is_down = False
        await entry.exchange._write_own()
        assert len(store.items) == 1

    curio.run(main)


@pytest.mark.parametrize("value", [b"", b"\xff", msgspec.msgpack.encode(["s", 1])])
def test_a_stored_report_that_cannot_be_read_is_ignored(value):
    entry = Entry(MemoryStore(), "a")
    entry.view._records = {PREFIX + "x": RecordWritten(PREFIX + "x", value, 1)}
    entry.exchange._read_stored()
    assert entry.quarantine.suspect_count() == 0


# Guards against a report that is lost with the few datagrams after a crash.
def test_reports_are_sent_often_at_first_and_for_as_long_as_they_are_known():
    entry, now = Entry(MemoryStore(), "a"), 1_000.0
    assert entry.exchange.outgoing(now) == []
    entry.crash("dead", at=now)
    assert all(entry.exchange.outgoing(now + 0.1 * turn) for turn in range(10))
    late = [entry.exchange.outgoing(now + FRESH_S + 0.1 * turn) for turn in range(100)]
    assert sum(map(bool, late)) == 100 // OLD_REPORTS_ROUNDS


def test_a_message_stays_small_and_all_reports_are_sent_in_turn():
    entry, now = Entry(MemoryStore(), "a"), 1_000.0
    for number in range(SETTINGS.max_crashes):
        entry.crash(*(f"{number:x}{part:015x}" for part in range(60)), upstream=str(number), at=now)
    sent: set[str] = set()
    for _ in range(40):
        reports = entry.exchange.outgoing(now)
        assert sum(len(report.beginning) for report in reports) <= MAX_PARTS_PER_MESSAGE
        sent.update(report.instance for report in reports)
    assert len(sent) == SETTINGS.max_crashes


class StatusOf8b20017(msgspec.Struct, frozen=True, array_like=True):
    """The datagram of the builds before crash reports."""

    entry: str
    incarnation: str
    number: int
    address: str
    silence_s: float
    running: dict[str, int]
    slow: dict[str, float] | None = None
    leaving: list[tuple[str, int]] = msgspec.field(default_factory=list)


# Guards against entries that ignore each other while hosts are upgraded one by one.
def test_older_builds_and_this_one_read_each_other_s_status():
    entry = Entry(MemoryStore(), "a")
    entry.crash("dead")
    reports = entry.exchange.outgoing(time.monotonic())
    status = EntryStatus("a", "i", 1, str(Address("10.0.0.1", 1)), 0.5, {"u": 2}, crashes=reports)
    old = msgspec.msgpack.decode(encode_status(status), type=StatusOf8b20017)
    assert (old.entry, old.running) == ("a", {"u": 2})
    old = StatusOf8b20017("b", "i", 3, "10.0.0.2:1", 0.1, {"u": 1}, None, [("u9", 5)])
    new = decode_status(msgspec.msgpack.encode(old))
    assert new is not None
    assert (new.entry, new.leaving, new.crashes, new.probing) == ("b", [("u9", 5)], [], [])
