"""An upstream beside an agent whose answers have the status 000."""

import http.client
import socket
import threading
from collections.abc import Iterator

import pytest

from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

SERVICE, KEY = "job-ledger", "a-key"
ANSWER = b"HTTP/1.1 %b Trouble\r\nContent-Length: 2\r\n\r\nok"


@pytest.fixture(params=[b"000", b"200"], ids=["none", "sound"])
def status(request) -> bytes:
    return request.param


@pytest.fixture
def upstream(status: bytes) -> Iterator[str]:
    """Return the address of an upstream that answers each request with a status."""
    listening = socket.create_server(("127.0.0.1", 0))

    def serve(sock: socket.socket) -> None:
        with sock:
            while sock.recv(65_536):
                sock.sendall(ANSWER % status)

    def accept() -> None:
        while True:
            try:
                sock, _ = listening.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=[sock], daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    yield "{}:{}".format(*listening.getsockname())
    listening.close()


def test_a_status_that_is_none_reaches_no_caller(
    fleet: LocalFleet, status: bytes, upstream: str
) -> None:
    fleet.start_platform()
    agent = fleet.start(
        "jobs-1",
        "bluebellrun.agent.main",
        *("--name", "jobs-1", "--service", SERVICE, "--store", fleet.store),
        *("--upstream", upstream, "--protocol", "plain"),
    )
    entry = fleet.start_entry("entry-1")
    fleet.declare(
        [
            {"kind": "customer", "name": "counter", "key_hashes": [hash_key(KEY)]},
            {"kind": "service", "name": SERVICE, "protocol": "plain"},
            {
                "kind": "upstream",
                "name": "jobs-1",
                "service": SERVICE,
                "agent": str(agent.address),
            },
        ]
    )
    fleet.wait_ready("entry-1")
    connection = http.client.HTTPConnection(entry.address.ip, entry.address.port, timeout=20.0)
    connection.request("POST", f"/services/{SERVICE}/x", b"x", {"Authorization": f"Bearer {KEY}"})
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    if status == b"200":
        assert (answer.status, body) == (200, b"ok")
    else:
        assert 500 <= answer.status <= 599
        assert body != b"ok"
