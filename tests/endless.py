"""Servers and callers whose bytes do not end, in a thread of their own, as fast as asked."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

from bluebellrun.core import Address

# A test that does not end the connection itself fails after this much.
MOST_BYTES = 300_000_000
MOST_S = 8.0


@dataclass
class Flood:
    """What a sender without end sends: ``begin``, then ``piece`` again and again.

    ``sent`` counts the bytes that the other side took on all connections; ``ended`` whether it
    closed each of them.
    """

    begin: bytes
    piece: bytes
    pause_s: float = 0.0
    sent: int = 0
    ended: bool = True
    address: Address = field(default_factory=lambda: Address("127.0.0.1", 0))

    def send(self, sock: socket.socket) -> None:
        """Send until the other side closes the connection."""
        until = time.monotonic() + MOST_S
        sock.settimeout(MOST_S)
        try:
            sock.sendall(self.begin)
            while time.monotonic() < until and self.sent < MOST_BYTES:
                sock.sendall(self.piece)
                self.sent += len(self.piece)
                if self.pause_s:
                    time.sleep(self.pause_s)
        except OSError:
            return
        finally:
            sock.close()
        self.ended = False


@contextlib.contextmanager
def serving(begin: bytes, piece: bytes, pause_s: float = 0.0) -> Iterator[Flood]:
    """Run a server that answers each connection's first request without end."""
    listener = socket.create_server(("127.0.0.1", 0))
    flood = Flood(begin, piece, pause_s, address=Address("127.0.0.1", listener.getsockname()[1]))

    def accept() -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=answer, args=(sock,), daemon=True).start()

    def answer(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.recv(65_536)
        flood.send(sock)

    threading.Thread(target=accept, daemon=True).start()
    try:
        yield flood
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()


@contextlib.contextmanager
def calling(address: Address, begin: bytes, piece: bytes, pause_s: float = 0.0) -> Iterator[Flood]:
    """Run a caller that sends a request without end."""
    flood = Flood(begin, piece, pause_s, address=address)

    def call() -> None:
        flood.send(socket.create_connection((address.ip, address.port)))

    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    yield flood
