import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.store import HostList, WeightsBusyError, WeightsNotFoundError, WeightStore
from standins._serving import serve
from standins.platform import PlatformApp


def test_weights_are_stored_by_name_and_the_rate_is_enforced():
    async def main() -> None:
        app = PlatformApp()
        server = await serve(Address("127.0.0.1", 0), app.handle)
        client = WeightStore(server.address, 2.0)
        put = await client.put("experts/7 a", b"x" * 1_000)
        assert await client.get("experts/7 a") == put
        with pytest.raises(WeightsNotFoundError):
            await client.get("other")
        app.weights.rate_bytes_per_s = 100.0
        await client.get("experts/7 a")
        with pytest.raises(WeightsBusyError) as caught:
            await client.get("experts/7 a")
        assert 1 < caught.value.retry_after_s <= 10

    curio.run(main)


def test_unchanged_host_list_is_not_transferred_again():
    async def main() -> None:
        app = PlatformApp()
        app.hosts = {"h-1": "live", "h-2": "leaving"}
        server = await serve(Address("127.0.0.1", 0), app.handle)
        hosts = HostList(server.address, 2.0)
        first = await hosts.read()
        assert [entry.state for entry in first] == ["live", "leaving"]
        assert await hosts.read() is first
        app.hosts = {"h-1": "live"}
        assert len(await hosts.read()) == 1

    curio.run(main)
