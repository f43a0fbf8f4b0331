import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.store import (
    CompactedError,
    Compare,
    EtcdStore,
    Put,
    StoreAnswerLostError,
    StoreTimeouts,
    StoreUnavailableError,
)
from standins._serving import serve
from standins.platform import PlatformApp


async def start_store(call_s: float = 2.0) -> tuple[PlatformApp, EtcdStore]:
    app = PlatformApp()
    server = await serve(Address("127.0.0.1", 0), app.handle)
    return app, EtcdStore(server.address, StoreTimeouts(call_s))


def test_read_revisions_returns_keys_without_values():
    async def main() -> None:
        _, store = await start_store()
        await store.transact([], [Put("/a/1", b"x" * 100), Put("/a/2", b"y")])
        snapshot = await store.read_revisions("/a/")
        assert [(item.key, item.value) for item in snapshot.items] == [("/a/1", b""), ("/a/2", b"")]
        assert {item.mod_revision for item in snapshot.items} == {snapshot.revision}

    curio.run(main)


def test_timed_out_read_is_unavailable_and_timed_out_write_has_a_lost_answer():
    async def main() -> None:
        app, store = await start_store(call_s=0.1)
        app.faults.delay_s = 5.0
        with pytest.raises(StoreUnavailableError):
            await store.get("/a")
        with pytest.raises(StoreAnswerLostError, match="within"):
            await store.transact([Compare("/a", 0)], [Put("/a", b"1")])

    curio.run(main)


def test_outage_is_distinguished_from_a_lost_answer():
    async def main() -> None:
        app, store = await start_store()
        app.faults.down = True
        with pytest.raises(StoreUnavailableError):
            await store.transact([], [Put("/a", b"1")])
        app.faults.down = False
        app.faults.lose_next = 1
        with pytest.raises(StoreAnswerLostError):
            await store.transact([], [Put("/a", b"1")])
        item = (await store.get("/a")).get("/a")
        assert item is not None
        assert item.value == b"1"

    curio.run(main)


def test_watch_from_a_compacted_revision_raises_compacted_error():
    async def main() -> None:
        app, store = await start_store()
        await store.transact([], [Put("/a", b"1")])
        await store.transact([], [Put("/a", b"2")])
        app.store.compact(app.store.revision + 1)
        watch = await store.watch("/a", 2)
        with pytest.raises(CompactedError):
            await watch.next()
        await watch.close()

    curio.run(main)
