"""Upstreams whose answers have a status that is no status of HTTP."""

import json
from pathlib import Path
from typing import Any

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import Listener
from tests.gateway.processes import SERVICE, UPSTREAM_PORT, Gateways, run_with_gateways

STATUSES = (b"000", b"000 OK", b"0", b"001", b"099", b"-01", b"20", b"2000")


async def start_upstream(gateways: Gateways, status: bytes) -> None:
    """Start an upstream that answers each request with a status, and register it."""
    address = Address(f"{gateways.network}.101", UPSTREAM_PORT)

    async def serve(sock: Any) -> None:
        while data := await sock.recv(65_536):
            fields = dict(line.split(b": ") for line in data.split(b"\r\n") if b": " in line)
            names = {name.lower(): value for name, value in fields.items()}
            request_id = names.get(b"x-bluebellrun-request-id", b"")
            head = b"HTTP/1.1 %b\r\nX-Bluebellrun-Request-Id: %b\r\n" % (status, request_id)
            await sock.sendall(head + b"Content-Length: 2\r\n\r\nok")

    await curio.spawn(Listener(address, serve).run, daemon=True)
    fields = {"service": SERVICE, "addr": str(address), "zone": "a", "slots": 6}
    value = json.dumps({**fields, "state": "ready", "born": 1, "seq": 0})
    gateways.store.put("servers/desk1", value.encode())


@pytest.mark.parametrize("status", STATUSES, ids=[text.decode() for text in STATUSES])
def test_a_status_that_is_none_reaches_no_caller(tmp_path: Path, status: bytes) -> None:
    async def check(gateways: Gateways) -> None:
        await start_upstream(gateways, status)
        await curio.sleep(0.5)
        client = gateways.client(gateways.programs[0])
        answer, body = await gateways.request(client, 0.0)
        assert answer == 502
        assert body != b"ok"
        await client.close()

    run_with_gateways(tmp_path, check)


def test_the_upstream_of_this_test_is_reached(tmp_path: Path) -> None:
    async def check(gateways: Gateways) -> None:
        await start_upstream(gateways, b"200 OK")
        await curio.sleep(0.5)
        client = gateways.client(gateways.programs[0])
        assert await gateways.request(client, 0.0) == (200, b"ok")
        await client.close()

    run_with_gateways(tmp_path, check)
