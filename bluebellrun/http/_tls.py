"""TLS whose certificates are read again when their files change.

Connections that are open keep what they were made with, so that a rotation cuts off nothing. A
new file that cannot be read is reported, and the old certificate stays in use.
"""

import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import curio
from curio.io import Socket

from bluebellrun.http._exceptions import ConnectError

RELOAD_INTERVAL_S = 1.0
HANDSHAKE_TIMEOUT_S = 5.0

Reporter = Callable[[str], None]


class TlsError(Exception):
    """The certificate, key or authority cannot be used."""


class PeerNotAllowedError(ConnectError):
    """The peer's certificate has none of the names that are allowed."""


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """PEM files of a process; with an authority, peers must show a certificate of it.

    With ``peer_names``, the certificate must have one of these DNS names too.
    """

    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None
    peer_names: frozenset[str] = frozenset()


class Tls:
    """TLS for both sides of connections, from files that are read again when they change."""

    def __init__(self, files: TlsFiles, report: Reporter | None = None) -> None:
        self._files = files
        self._report = report
        self._looked_at = time.monotonic()
        self._stamp = self._read_stamp()
        self._server, self._client = self._build()

    def reload(self) -> bool:
        """Read the files again if they have changed; return whether new ones are in use."""
        self._looked_at = time.monotonic()
        stamp = self._read_stamp()
        if stamp == self._stamp:
            return False
        try:
            self._server, self._client = self._build()
        except TlsError as error:
            if self._report is not None:
                self._report(str(error))
            return False
        self._stamp = stamp
        return True

    def wrap_socket(self, sock: Any, **options: Any) -> Any:
        """Wrap a socket of the standard library or of curio; the handshake is still to come."""
        if time.monotonic() - self._looked_at >= RELOAD_INTERVAL_S:
            self.reload()
        context = self._server if options.get("server_side") else self._client
        options["do_handshake_on_connect"] = False
        if not isinstance(sock, Socket):
            return context.wrap_socket(sock, **options)
        wrapped = Socket(context.wrap_socket(sock._socket, **options))
        _disown(sock)
        return wrapped

    async def accept(self, sock: Any) -> Any:
        """Make the handshake as the server; raise ``ConnectError`` when it fails."""
        wrapped = self.wrap_socket(sock, server_side=True)
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                await wrapped.do_handshake()
        except curio.TaskTimeout:
            await wrapped.close()
            raise ConnectError(f"no TLS handshake within {HANDSHAKE_TIMEOUT_S} s") from None
        except OSError as error:
            await wrapped.close()
            raise ConnectError(f"TLS handshake: {error}") from error
        try:
            self.check_peer(wrapped)
        except ConnectError:
            await wrapped.close()
            raise
        return wrapped

    def check_peer(self, sock: Any) -> None:
        """Raise ``PeerNotAllowedError`` unless the peer has an allowed name."""
        allowed = self._files.peer_names
        if not allowed:
            return
        certificate = sock._socket.getpeercert() or {}
        names = {value for kind, value in certificate.get("subjectAltName", ()) if kind == "DNS"}
        if not names & allowed:
            shown = ", ".join(sorted(names)) or "none"
            raise PeerNotAllowedError(
                f"the peer's names are {shown}; allowed are {', '.join(sorted(allowed))}"
            )

    def _build(self) -> tuple[ssl.SSLContext, ssl.SSLContext]:
        """Return new contexts for the server's and the client's side."""
        try:
            server = self._prepare(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            client.check_hostname = False
            self._prepare(client)
        except (OSError, ValueError) as error:
            raise TlsError(f"TLS files {self._names()}: {error}; correct the files") from error
        return server, client

    def _prepare(self, context: ssl.SSLContext) -> ssl.SSLContext:
        """Load the files into a context."""
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        if self._files.certificate is not None:
            context.load_cert_chain(self._files.certificate, self._files.key)
        if self._files.authority is not None:
            context.load_verify_locations(self._files.authority)
            context.verify_mode = ssl.CERT_REQUIRED
        return context

    def _read_stamp(self) -> tuple[tuple[int, int, int], ...]:
        """Return what changes when a file is replaced."""
        stamps = []
        for path in (self._files.certificate, self._files.key, self._files.authority):
            if path is None:
                continue
            try:
                found = path.stat()
            except OSError:
                stamps.append((0, 0, 0))
                continue
            stamps.append((found.st_mtime_ns, found.st_size, found.st_ino))
        return tuple(stamps)

    def _names(self) -> str:
        """Return the paths of the files."""
        files = (self._files.certificate, self._files.key, self._files.authority)
        return ", ".join(str(path) for path in files if path is not None)


def _disown(sock: Any) -> None:
    """Let a curio socket forget its file, which another one owns now.

    Closing it later would otherwise take the file's number from whoever uses it by then.
    """
    sock._socket = None
    sock._fileno = -1


class LinkSecurity:
    """The TLS of all links of this process; plain TCP until it is configured.

    It stands in one place, so that no link of a process can be made without it.
    """

    def __init__(self) -> None:
        self._tls: Tls | None = None

    @property
    def tls(self) -> Tls | None:
        """Return the TLS in use, or none."""
        return self._tls

    def configure(self, tls: Tls | None) -> None:
        """Set the TLS of links that are made from now on."""
        self._tls = tls

    async def accept(self, sock: Any) -> Any:
        """Return the socket of a link as the server has it after any handshake."""
        return sock if self._tls is None else await self._tls.accept(sock)


link_security = LinkSecurity()
