"""The gateway's view of the store during outages, bad records and compaction."""

import json
from random import Random
from typing import Any

import curio

from bluebellrun.core import Address, MonotonicClock
from bluebellrun.gateway import StoreView, UpstreamDirectory
from bluebellrun.gateway._catch_up import CatchUp
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._peers import EntryStatus, PeerTable
from bluebellrun.platform import PlatformCatalogue, PlatformStore
from bluebellrun.store import Snapshot, StoreTimeouts
from standins.users_platform import FakeStore


def registration(state: str = "ready", **more: Any) -> bytes:
    fields = {"service": "s", "addr": "10.0.0.1:80", "zone": "a", "state": state, "slots": 6}
    return json.dumps({**fields, **more}).encode()


WAIT_S = 3.0


def configuration(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


class Watched:
    """A ``StoreView`` of a fake store."""

    def __init__(self) -> None:
        self.fake = FakeStore()
        self.directory = UpstreamDirectory()
        self.versions: list[int] = []
        self.view: StoreView | None = None

    async def start(self, cold: ColdUpstreams | None = None) -> None:
        store = PlatformStore(await self.fake.start(), StoreTimeouts(0.5))
        clock = MonotonicClock()
        self.view = StoreView(
            store, PlatformCatalogue(), self.directory, self.apply, clock, Random(1), cold=cold
        )
        await curio.spawn(self.view.run, daemon=True)

    def apply(self, deployment: Any) -> bool:
        self.versions.append(deployment.version)
        return True

    async def until(self, holds: Any) -> None:
        async with curio.timeout_after(3):
            while not holds():
                await curio.sleep(0.02)

    def usable(self) -> list[str]:
        return sorted(u.instance for u in self.directory.usable("s", MonotonicClock().now()))


def run_check(check: Any) -> None:
    async def main() -> None:
        watched = Watched()
        await check(watched)

    curio.run(main)


def test_changes_are_applied_at_once():
    async def check(watched: Watched) -> None:
        watched.fake.put("op/config", configuration(3))
        watched.fake.put("servers/i1", registration())
        await watched.start()
        await watched.until(lambda: watched.versions == [3] and watched.usable() == ["i1"])
        watched.fake.put("op/config", configuration(9))
        watched.fake.put("servers/i2", registration())
        await watched.until(lambda: watched.versions == [3, 9])
        await watched.until(lambda: watched.usable() == ["i1", "i2"])
        watched.fake.put("servers/i1", registration("draining"))
        await watched.until(lambda: watched.usable() == ["i2"])
        watched.fake.delete("servers/i2")
        await watched.until(lambda: watched.usable() == [])

    run_check(check)


def test_malformed_registrations_add_no_upstream():
    async def check(watched: Watched) -> None:
        for number, garbage in enumerate(
            [
                b"\xff\x00",
                b"[]",
                registration("resting"),
                registration(slots="many"),
                registration(slots=0),
                registration(addr="nowhere"),
                json.dumps({"service": "s"}).encode(),
            ]
        ):
            watched.fake.put(f"servers/g{number}", garbage)
        watched.fake.put("servers/good", registration())
        watched.fake.put("op/config", b"{broken")
        await watched.start()
        await watched.until(lambda: watched.usable() == ["good"])
        watched.fake.put("servers/good", b"garbage now")
        await watched.until(lambda: watched.usable() == [])
        assert watched.versions == []

    run_check(check)


def test_all_keys_are_read_again_after_compaction():
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/i1", registration())
        await watched.start()
        await watched.until(lambda: watched.usable() == ["i1"])
        watched.fake.refuse = 503
        await curio.sleep(0.1)
        watched.fake.put("servers/i2", registration())
        watched.fake.delete("servers/i1")
        watched.fake.compact()
        watched.fake.refuse = 0
        await watched.until(lambda: "i2" in watched.usable())
        await watched.until(lambda: watched.usable() == ["i2"])

    run_check(check)


def test_a_registration_that_expired_during_a_store_outage_is_kept_for_a_while():
    async def check(watched: Watched) -> None:
        watched.fake.put("servers/i1", registration())
        await watched.start()
        await watched.until(lambda: watched.usable() == ["i1"])
        watched.fake.refuse = 503
        assert watched.view is not None
        await watched.until(lambda: watched.view.is_cut_off(0.0))
        watched.fake.delete("servers/i1")
        watched.fake.put("servers/i2", registration())
        watched.fake.refuse = 0
        await watched.until(lambda: "i2" in watched.usable())
        assert watched.usable() == ["i1", "i2"]
        await watched.until(lambda: watched.usable() == ["i2"])

    run_check(check)


def test_an_entry_refused_by_the_store_catches_up_from_a_peer():
    async def check(watched: Watched) -> None:
        other = Watched()
        watched.fake.put("op/config", configuration(3))
        watched.fake.put("servers/i1", registration())
        await watched.start()
        await other.start()
        other.fake.refuse = 503
        await watched.until(lambda: watched.versions == [3])
        await other.until(lambda: other.view.is_cut_off(0.0))
        table = PeerTable("b")
        first = CatchUp(Address("127.0.0.1", 0), watched.view, PeerTable("a"), WAIT_S)
        await curio.spawn(first.serve, daemon=True)
        second = CatchUp(Address("127.0.0.1", 0), other.view, table, WAIT_S)
        await curio.spawn(second.run, daemon=True)
        table.record(EntryStatus("a", "i", 1, str(first.address), 0.1, {}), 0.0)
        await other.until(lambda: other.versions == [3] and other.usable() == ["i1"])
        watched.fake.put("op/config", configuration(7))
        await other.until(lambda: 7 in other.versions)

    run_check(check)


def test_an_older_snapshot_from_a_peer_restores_no_removed_upstream():
    async def check(watched: Watched) -> None:
        other = Watched()
        for side in (watched, other):
            side.fake.put("servers/i1", registration())
            side.fake.put("servers/i2", registration())
            await side.start()
            await side.until(lambda side=side: side.usable() == ["i1", "i2"])
        watched.fake.delete("servers/i1")
        await watched.until(lambda: watched.usable() == ["i2"])
        older = Snapshot(tuple(other.view.shared), other.view.revision)
        assert not watched.view.apply_peer_snapshot(older)
        assert watched.usable() == ["i2"]
        newer = Snapshot(tuple(watched.view.shared), watched.view.revision)
        assert other.view.apply_peer_snapshot(newer)
        await other.until(lambda: other.usable() == ["i2"])

    run_check(check)


def test_own_records_are_kept_until_they_are_removed():
    async def check(watched: Watched) -> None:
        watched.fake.put("bluebellrun/entries/e1", b"10.0.0.1:7000")
        await watched.start()
        assert watched.view is not None
        view = watched.view
        await watched.until(lambda: len(view.records_below("bluebellrun/entries/")) == 1)
        watched.fake.delete("bluebellrun/entries/e1")
        await watched.until(lambda: view.record("bluebellrun/entries/e1") is None)

    run_check(check)
