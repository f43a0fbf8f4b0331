import os
import ssl
from collections.abc import Iterator
from pathlib import Path

import curio
import pytest
import trustme

from bluebellrun.core import Address
from bluebellrun.http import (
    ConnectError,
    HttpExchange,
    HttpLimits,
    HttpServer,
    Listener,
    PeerNotAllowedError,
    Tls,
    TlsError,
    TlsFiles,
    link_security,
)
from bluebellrun.http._connect import connect
from bluebellrun.transport import (
    Call,
    Link,
    LinkLostError,
    LinkTiming,
    dial,
    serve_link,
)

TIMING = LinkTiming(2.0, 1.0, 3.0)
ANY = Address("127.0.0.1", 0)


@pytest.fixture(autouse=True)
def plain_links() -> Iterator[None]:
    yield
    link_security.configure(None)


def write_certificate(
    folder: Path, authority: trustme.CA, name: str, trusted: trustme.CA | None = None
) -> TlsFiles:
    folder.mkdir(parents=True, exist_ok=True)
    issued = authority.issue_cert(name)
    issued.private_key_pem.write_to_path(folder / "key.pem")
    (folder / "cert.pem").write_bytes(b"".join(blob.bytes() for blob in issued.cert_chain_pems))
    (trusted or authority).cert_pem.write_to_path(folder / "authority.pem")
    return TlsFiles(folder / "cert.pem", folder / "key.pem", folder / "authority.pem")


def allow(files: TlsFiles, *names: str) -> TlsFiles:
    return TlsFiles(files.certificate, files.key, files.authority, frozenset(names))


async def echo(call: Call) -> None:
    while (message := await call.receive()) is not None:
        await call.send(message)


async def listen() -> Listener:
    async def handle(sock: object) -> None:
        await serve_link(sock, echo, TIMING)

    listener = Listener(ANY, handle)
    await curio.spawn(listener.run, daemon=True)
    return listener


async def ask(listener: Listener, tls: Tls | None) -> bytes:
    link = await dial(listener.address, TIMING, tls)
    try:
        return await link.call_unary("/echo", b"hello", 2.0)
    finally:
        await link.close()


async def dial_plain(address: Address) -> Link:
    link = Link(await connect(address, 2.0), client=True, timing=TIMING)
    await curio.spawn(link.run, daemon=True)
    return link


def test_links_with_certificates_of_the_authority_work(tmp_path):
    authority = trustme.CA()
    server = Tls(allow(write_certificate(tmp_path / "a", authority, "agent.fleet"), "entry.fleet"))
    client = Tls(allow(write_certificate(tmp_path / "e", authority, "entry.fleet"), "agent.fleet"))

    async def main() -> bytes:
        link_security.configure(server)
        return await ask(await listen(), client)

    assert curio.run(main) == b"hello"


def test_a_peer_that_is_not_of_the_fleet_gets_no_call_through(tmp_path):
    authority, other = trustme.CA(), trustme.CA()
    server = Tls(write_certificate(tmp_path / "a", authority, "agent.fleet"))
    stranger = Tls(write_certificate(tmp_path / "s", other, "entry.fleet", trusted=authority))
    nameless = Tls(TlsFiles(authority=tmp_path / "a" / "authority.pem"))
    called: list[str] = []

    async def handle(call: Call) -> None:
        called.append(call.path)

    async def main() -> None:
        link_security.configure(server)

        async def handle_connection(sock: object) -> None:
            await serve_link(sock, handle, TIMING)

        listener = Listener(ANY, handle_connection)
        await curio.spawn(listener.run, daemon=True)
        for tls in (stranger, nameless):
            with pytest.raises((ConnectError, LinkLostError)):
                await ask(listener, tls)
        link = await dial_plain(listener.address)
        with pytest.raises(LinkLostError):
            await link.call_unary("/echo", b"hello", 2.0)

    curio.run(main)
    assert called == []


def test_a_peer_of_the_authority_with_another_name_is_refused_by_either_side(tmp_path):
    authority = trustme.CA()
    agent = write_certificate(tmp_path / "a", authority, "agent.fleet")
    entry = write_certificate(tmp_path / "e", authority, "entry.fleet")

    async def main() -> None:
        link_security.configure(Tls(agent))
        listener = await listen()
        with pytest.raises(PeerNotAllowedError, match=r"agent\.fleet"):
            await ask(listener, Tls(allow(entry, "other.fleet")))
        link_security.configure(Tls(allow(agent, "other.fleet")))
        with pytest.raises((ConnectError, LinkLostError)):
            await ask(listener, Tls(entry))

    curio.run(main)


def test_new_certificates_are_used_and_open_links_go_on(tmp_path):
    authority = trustme.CA()
    files = write_certificate(tmp_path / "a", authority, "old.fleet")
    client = write_certificate(tmp_path / "e", authority, "entry.fleet")
    server = Tls(files)

    async def main() -> None:
        link_security.configure(server)
        listener = await listen()
        link = await dial(listener.address, TIMING, Tls(allow(client, "old.fleet")))
        assert await link.call_unary("/echo", b"one", 2.0) == b"one"
        write_certificate(tmp_path / "a", authority, "new.fleet")
        assert server.reload()
        assert not server.reload()
        assert await ask(listener, Tls(allow(client, "new.fleet"))) == b"hello"
        assert await link.call_unary("/echo", b"two", 2.0) == b"two"
        await link.close()

    curio.run(main)


def test_a_broken_file_is_reported_and_the_old_certificate_stays(tmp_path):
    authority = trustme.CA()
    files = write_certificate(tmp_path / "a", authority, "agent.fleet")
    client = Tls(write_certificate(tmp_path / "e", authority, "entry.fleet"))
    reports: list[str] = []
    server = Tls(files, reports.append)
    assert files.certificate is not None
    files.certificate.write_text("half a file", encoding="utf-8")
    assert not server.reload()
    assert "cert.pem" in reports[0]

    async def main() -> bytes:
        link_security.configure(server)
        return await ask(await listen(), client)

    assert curio.run(main) == b"hello"


def test_two_authorities_are_trusted_while_one_takes_over_from_the_other(tmp_path):
    old, new = trustme.CA(), trustme.CA()
    server_files = write_certificate(tmp_path / "a", old, "agent.fleet")
    assert server_files.authority is not None
    server_files.authority.write_bytes(old.cert_pem.bytes() + new.cert_pem.bytes())
    clients = [
        Tls(write_certificate(tmp_path / str(number), authority, "entry.fleet", trusted=old))
        for number, authority in enumerate((old, new))
    ]

    async def main() -> list[bytes]:
        link_security.configure(Tls(server_files))
        listener = await listen()
        return [await ask(listener, client) for client in clients]

    assert curio.run(main) == [b"hello", b"hello"]


def test_files_that_cannot_be_used_at_the_start_are_named(tmp_path):
    with pytest.raises(TlsError, match=r"missing\.pem"):
        Tls(TlsFiles(tmp_path / "missing.pem", tmp_path / "key.pem"))


def test_callers_can_be_served_over_tls(tmp_path):
    authority = trustme.CA()
    files = write_certificate(tmp_path, authority, "localhost")

    async def handle(exchange: HttpExchange) -> None:
        await exchange.answer_json(200, {"path": exchange.request.path})

    async def main() -> bytes:
        tls = Tls(TlsFiles(files.certificate, files.key))
        server = HttpServer(ANY, handle, HttpLimits(), tls)
        await curio.spawn(server.run, daemon=True)
        context = ssl.create_default_context()
        authority.configure_trust(context)
        sock = await curio.open_connection(
            "127.0.0.1", server.address.port, ssl=context, server_hostname="localhost"
        )
        await sock.sendall(b"GET /a HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n")
        data = b""
        while piece := await sock.recv(4_096):
            data += piece
        return data

    assert b'{"path": "/a"}' in curio.run(main)


def test_a_silent_caller_is_dropped_when_its_handshake_does_not_come(tmp_path, monkeypatch):
    monkeypatch.setattr("bluebellrun.http._tls.HANDSHAKE_TIMEOUT_S", 0.1)
    files = write_certificate(tmp_path, trustme.CA(), "localhost")

    async def handle(exchange: HttpExchange) -> None:
        raise AssertionError("no request can have come")

    async def main() -> bytes:
        tls = Tls(TlsFiles(files.certificate, files.key))
        server = HttpServer(ANY, handle, HttpLimits(), tls)
        await curio.spawn(server.run, daemon=True)
        sock = await connect(server.address, 2.0)
        return bytes(await sock.recv(100))

    assert curio.run(main) == b""


def test_a_changed_file_is_noticed_at_the_next_connection(tmp_path, monkeypatch):
    monkeypatch.setattr("bluebellrun.http._tls.RELOAD_INTERVAL_S", 0.0)
    authority = trustme.CA()
    files = write_certificate(tmp_path / "a", authority, "old.fleet")
    client = write_certificate(tmp_path / "e", authority, "entry.fleet")

    async def main() -> bytes:
        link_security.configure(Tls(files))
        listener = await listen()
        write_certificate(tmp_path / "a", authority, "new.fleet")
        assert files.certificate is not None
        os.utime(files.certificate, ns=(1, 1))
        return await ask(listener, Tls(allow(client, "new.fleet")))

    assert curio.run(main) == b"hello"
