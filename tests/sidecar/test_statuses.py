"""An engine whose answers have the status 000, behind a sidecar."""

from pathlib import Path
from typing import Any

import curio
import pytest

from bench.platform_soak._programs import FIRST_PORT, Program
from bluebellrun.core import Address
from bluebellrun.http import ClientTimeouts, HttpClient, Listener, TransportError
from tests.gateway.processes import UPSTREAM_PORT, free_network


@pytest.mark.parametrize("method, path", [("GET", "/api/report"), ("POST", "/api/order")])
def test_a_status_that_is_none_reaches_no_caller(tmp_path: Path, method: str, path: str) -> None:
    network = free_network()
    engine = Address(f"{network}.2", UPSTREAM_PORT)
    store = Address(f"{network}.3", 1)
    program = Program("sidecar1", "sidecar", f"{network}.1", "a", store, tmp_path, engine)
    answers = [b"000 Trouble", b"200 OK"]

    async def serve(sock: Any) -> None:
        while await sock.recv(65_536):
            head = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\n" % answers[0]
            await sock.sendall(head + b"Content-Length: 2\r\n\r\n{}")

    async def ask(client: HttpClient) -> tuple[int, bytes]:
        return await client.fetch(method, path, [], b"{}" if method == "POST" else b"")

    async def main() -> None:
        await curio.spawn(Listener(engine, serve).run, daemon=True)
        program.start()
        client = HttpClient(Address(program.ip, FIRST_PORT), ClientTimeouts(1.0, 5.0, 5.0))
        async with curio.timeout_after(10.0):
            while True:
                try:
                    status, body = await ask(client)
                    break
                except TransportError:
                    await curio.sleep(0.05)
        assert 500 <= status <= 599
        assert body != b"{}"
        del answers[0]
        assert await ask(client) == (200, b"{}")
        await client.close()

    try:
        curio.run(main)
    finally:
        program.end(0.0)
