"""A fleet whose links use mutual TLS, and whose entry serves callers over TLS."""

import json
import socket
import ssl
import time
import urllib.request
from collections.abc import Callable

import pytest
import trustme

from bluebellrun.core import Address
from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

SETTINGS_FRAME = 4


def test_a_fleet_with_mutual_tls_answers_and_refuses_plain_links(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert("node.fleet", "127.0.0.1")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    issued.cert_chain_pems[0].write_to_path(tmp_path / "cert.pem")
    authority.cert_pem.write_to_path(tmp_path / "authority.pem")
    flags = [
        *("--link-certificate", str(tmp_path / "cert.pem")),
        *("--link-key", str(tmp_path / "key.pem")),
        *("--link-authority", str(tmp_path / "authority.pem")),
        *("--link-peer-names", "node.fleet"),
    ]
    with LocalFleet(tmp_path / "fleet", flags) as fleet:
        fleet.start_platform()
        fleet.start_engine("engine-1")
        agent = fleet.start_agent("a-1", "pool", "engine-1")
        caller_flags = ("--callers-certificate", str(tmp_path / "cert.pem"))
        entry = fleet.start_entry(
            "entry-1", *caller_flags, "--callers-key", str(tmp_path / "key.pem")
        )
        fleet.declare(
            [
                {"kind": "customer", "name": "c", "key_hashes": [hash_key("k")]},
                {"kind": "service", "name": "pool", "protocol": "model", "models": ["m"]},
                {
                    "kind": "upstream",
                    "name": "a-1",
                    "service": "pool",
                    "agent": str(agent.address),
                },
            ]
        )
        context = ssl.create_default_context()
        authority.configure_trust(context)
        wait_ready(f"https://{entry.address}/readyz", context)
        body = {"model": "m", "messages": [], "max_tokens": 3, "stream": True}
        request = urllib.request.Request(
            f"https://{entry.address}/v1/chat/completions",
            json.dumps(body).encode(),
            {"Authorization": "Bearer k"},
        )
        with urllib.request.urlopen(request, timeout=10, context=context) as answer:
            assert answer.read().endswith(b"data: [DONE]\n\n")
        assert not speaks_plain_http2(agent.address)
        secret = (tmp_path / "key.pem").read_text(encoding="utf-8").splitlines()[1]
        for name in ("entry-1", "a-1"):
            assert secret not in fleet[name].output.read_text(encoding="utf-8")
        wait_until(lambda: "link refused" in agent.output.read_text(encoding="utf-8"))


def speaks_plain_http2(address: Address) -> bool:
    """Return whether a process answers the preface of HTTP/2 by a SETTINGS frame."""
    with socket.create_connection((address.ip, address.port), 5) as plain:
        plain.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
        try:
            answer = plain.recv(1_000)
        except ConnectionResetError:
            return False
    return len(answer) > 3 and answer[3] == SETTINGS_FRAME


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def wait_ready(url: str, context: ssl.SSLContext) -> None:
    for _ in range(200):
        try:
            with urllib.request.urlopen(url, timeout=2, context=context):
                return
        except OSError:
            continue
    pytest.fail(f"{url} is not ready")
