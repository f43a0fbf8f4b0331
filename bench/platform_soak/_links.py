"""Links on loopback that can be delayed, reset, or cut in one or both directions."""

import socket as plain_socket
import struct
from typing import Any

import curio

from bluebellrun.core import Address

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Closing with a lingering time of zero resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultyLink:
    """Pass connections on to a target, as well as the faults allow."""

    def __init__(self, listen: Address, target: Address) -> None:
        self._listen = listen
        self._target = target
        self._open: set[Any] = set()
        self._serving: set[Any] = set()
        self._server: Any = None
        self.delay_s = 0.0
        self.drops_requests = False
        self.drops_answers = False

    async def bring_up(self) -> None:
        """Accept connections."""
        self._server = await curio.spawn(
            curio.tcp_server, self._listen.ip, self._listen.port, self._serve, daemon=True
        )

    async def take_down(self) -> None:
        """Refuse new connections, as the target's process has ended."""
        if self._server is not None:
            await self._server.cancel()

    async def reset(self) -> None:
        """Reset all open connections."""
        for sock in self._open:
            sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE)
        for task in list(self._serving):
            await task.cancel(blocking=False)

    def heal(self) -> None:
        """Pass everything on again; what was dropped stays lost."""
        self.delay_s = 0.0
        self.drops_requests = self.drops_answers = False

    async def _serve(self, caller: Any, _: object) -> None:
        """Pass one connection on until either side ends it."""
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                target = await curio.open_connection(self._target.ip, self._target.port)
        except (OSError, curio.TaskTimeout):
            return
        task = await curio.current_task()
        self._open |= {caller, target}
        self._serving.add(task)
        try:
            there = await curio.spawn(self._pump, caller, target, True)
            back = await curio.spawn(self._pump, target, caller, False)
            async with curio.TaskGroup([there, back], wait=any):
                pass
        finally:
            self._open -= {caller, target}
            self._serving.discard(task)
            await _shut(target)
            await _shut(caller)

    async def _pump(self, source: Any, sink: Any, is_request: bool) -> None:
        """Pass bytes on in one direction."""
        while True:
            try:
                data = await source.recv(READ_BYTES)
                if not data:
                    return
                if self.delay_s:
                    await curio.sleep(self.delay_s)
                if self.drops_requests if is_request else self.drops_answers:
                    continue
                await sink.sendall(data)
            except OSError:
                return


async def _shut(sock: Any) -> None:
    """Close a socket that may be closed already."""
    try:
        await sock.close()
    except OSError:
        return
