"""Connections to servers, whose silence the kernel finds."""

from typing import Any

import curio
from curio import socket

from bluebellrun.core import Address
from bluebellrun.http._exceptions import ConnectError
from bluebellrun.http._tls import Tls

# A silent connection is found after the idle time and all probes, three seconds in all,
# as platforms usually allow for it.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged bytes end a connection after as long as unanswered probes would.
USER_TIMEOUT_MS = 3_000


async def connect(address: Address, timeout_s: float, tls: Any = None) -> Any:
    """Open a TCP connection; raise ``ConnectError`` when it cannot be made in time."""
    try:
        async with curio.timeout_after(timeout_s):
            sock = await curio.open_connection(address.ip, address.port, ssl=tls)
    except curio.TaskTimeout:
        raise ConnectError(f"{address} did not accept within {timeout_s} s") from None
    except OSError as error:
        refused = isinstance(error, ConnectionRefusedError)
        raise ConnectError(f"{address}: {error}", refused) from error
    if isinstance(tls, Tls):
        await _check_peer(sock, tls)
    detect_silence(sock)
    return sock


def detect_silence(sock: Any) -> None:
    """Let the kernel find a connection whose other end no longer answers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def _check_peer(sock: Any, tls: Tls) -> None:
    """Close a connection to a peer that has no allowed name."""
    try:
        tls.check_peer(sock)
    except ConnectError:
        await sock.close()
        raise
