"""A listening TCP socket that hands each connection to its own task."""

import select
from collections.abc import Awaitable, Callable
from typing import Any

import curio
from curio import io, network, socket

from bluebellrun.core import Address
from bluebellrun.http._exceptions import ConnectError
from bluebellrun.http._tls import Tls

ACCEPT_BACKLOG = 1_024
MAX_TURNED_AWAY = 64
ACCEPT_RETRY_S = 0.05
ACCEPTS_PER_TURN = 16

ConnectionHandler = Callable[[Any], Awaitable[None]]
# Closes a connection for the sake of a new one; returns whether there was any.
MakeRoom = Callable[[], Awaitable[bool]]


def is_readable(sock: Any) -> bool:
    """Return whether bytes, a connection or an end wait to be read from a socket."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_hung_up(sock: Any) -> bool:
    """Return whether the peer has closed its side, even if bytes before that are unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


class Listener:
    """Accept connections on one address until closed.

    With ``listening``, a socket that listens on it already, none is opened.
    """

    def __init__(
        self,
        address: Address,
        handler: ConnectionHandler,
        max_connections: int = 4_096,
        tls: Tls | None = None,
        turn_away: ConnectionHandler | None = None,
        listening: Any = None,
        make_room: MakeRoom | None = None,
    ) -> None:
        if listening is None:
            self._socket = network.tcp_server_socket(
                address.ip, address.port, backlog=ACCEPT_BACKLOG
            )
        else:
            self._socket = io.Socket(listening)
        self._handler = handler
        self._max_connections = max_connections
        self._tls = tls
        self._turn_away = turn_away
        self._make_room = make_room
        self._open = 0
        self._closed = False
        self._accepting: Any = None

    @property
    def address(self) -> Address:
        """Return the address in use, with the port that was chosen."""
        ip, port = self._socket.getsockname()[:2]
        return Address(ip, port)

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return self._open

    async def run(self) -> None:
        """Accept connections until cancelled or closed."""
        self._accepting = await curio.current_task()
        accepted = 0
        while not self._closed:
            if accepted % ACCEPTS_PER_TURN == 0:
                # While connections wait to be accepted, those that are open get their turns.
                await curio.sleep(0)
            try:
                client, _ = await self._socket.accept()
            except OSError:
                if self._closed:
                    return
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            accepted += 1
            await self._admit(client)

    async def _admit(self, client: Any) -> None:
        """Serve a connection, or turn it away when as many as allowed are open.

        One whose peer has left while it waited to be accepted is not served.
        """
        if has_hung_up(client):
            await client.close()
            return
        handler: ConnectionHandler | None = self._handler
        if self._open >= self._max_connections and not await self._has_made_room():
            handler = self._turn_away
        if handler is None or self._open >= self._max_connections + MAX_TURNED_AWAY:
            await client.close()
            return
        self._open += 1
        await curio.spawn(self._serve, client, handler, daemon=True)

    async def _has_made_room(self) -> bool:
        """Return whether another connection is about to end instead of a new one."""
        if self._make_room is None or self._open >= self._max_connections + MAX_TURNED_AWAY:
            return False
        # The connections that were accepted before this one may not have had a turn yet.
        await curio.sleep(0)
        return self._open < self._max_connections or await self._make_room()

    async def close(self) -> None:
        """Stop accepting; connections already open, or waiting to be accepted, go on.

        The accepting task is ended first: the number of a socket that is closed under a waiting
        task may be given to another one.
        """
        self._closed = True
        if self._accepting is not None:
            await self._accepting.cancel()
            await self._admit_waiting()
        await self._socket.close()

    async def _admit_waiting(self) -> None:
        """Serve the connections that wait to be accepted: their requests are on the way."""
        for _ in range(ACCEPT_BACKLOG):
            if not is_readable(self._socket):
                return
            try:
                client, _ = await self._socket.accept()
            except OSError:
                return
            await self._admit(client)

    async def _serve(self, client: Any, handler: ConnectionHandler) -> None:
        """Run a handler on one connection and close it."""
        try:
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._tls is not None:
                client = await self._tls.accept(client)
            await handler(client)
        except (OSError, ConnectError):
            return
        finally:
            self._open -= 1
            await client.close()
