"""Answers whose status is no status of HTTP."""

from typing import Any

import curio
import pytest

from bluebellrun.core import Address
from bluebellrun.http import (
    BadResponseError,
    ClientTimeouts,
    HttpClient,
    Listener,
)


def fetch(status_line: bytes) -> int:
    """Return the status of an answer that begins with a line."""

    async def serve(sock: Any) -> None:
        await sock.recv(4096)
        await sock.sendall(status_line + b"\r\nContent-Length: 2\r\n\r\nok")

    async def main() -> int:
        listener = Listener(Address("127.0.0.1", 0), serve)
        await curio.spawn(listener.run, daemon=True)
        client = HttpClient(listener.address, ClientTimeouts(1.0, 2.0, 2.0))
        return (await client.fetch("GET", "/", []))[0]

    return int(curio.run(main))


@pytest.mark.parametrize("status", [b"000", b"001", b"099"])
def test_a_status_outside_the_protocol_is_no_answer(status: bytes) -> None:
    with pytest.raises(BadResponseError):
        fetch(b"HTTP/1.1 " + status + b" Trouble")


@pytest.mark.parametrize("status", [200, 299, 404, 503, 599])
def test_a_status_of_the_protocol_is_an_answer(status: int) -> None:
    assert fetch(b"HTTP/1.1 %d Any" % status) == status
