"""Calls to a sidecar whose bodies unpack to far more than came over the network."""

import curio

from bluebellrun.core import Address
from bluebellrun.http import (
    COMPRESSED,
    ClientTimeouts,
    HttpClient,
    HttpExchange,
    HttpLimits,
    HttpServer,
    MemoryGate,
    MemorySettings,
    compress_body,
)
from bluebellrun.platform import EngineRelay

ORDER = b'{"op": "arm"}' + b" " * 250_000
SETTINGS = MemorySettings(total_bytes=300_000)


# Guards: small compressed bodies unpacked to 4 MB each, on all connections at once.
def test_an_order_that_unpacks_to_more_than_there_is_room_for_is_refused() -> None:
    carried_out: list[int] = []

    async def engine(exchange: HttpExchange) -> None:
        carried_out.append(len(exchange.request.body))
        await curio.sleep(0.03)
        await exchange.answer_json(200, {})

    async def serve(handler, memory: MemoryGate | None = None) -> Address:
        server = HttpServer(Address("127.0.0.1", 0), handler, HttpLimits(), memory=memory)
        await curio.spawn(server.run, daemon=True)
        return server.address

    async def order(address: Address) -> int:
        client = HttpClient(address, ClientTimeouts(5.0, 5.0, 5.0))
        body = compress_body(ORDER)
        status, headers, _ = await client.fetch_with_headers(
            "POST", "/api/order", [COMPRESSED], body
        )
        assert status != 503 or ("retry-after", "1") in headers
        await client.close()
        return status

    async def main() -> None:
        memory = MemoryGate(SETTINGS)
        address = await serve(EngineRelay(await serve(engine)).handle, memory)
        calls = [await curio.spawn(order, address) for _ in range(5)]
        statuses = sorted([await call.join() for call in calls])
        assert statuses[0] == 200
        assert statuses[-1] == 503
        assert len(carried_out) == statuses.count(200)
        assert await order(address) == 200

    curio.run(main)
