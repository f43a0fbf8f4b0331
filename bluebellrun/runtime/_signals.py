"""Wait for SIGTERM and SIGINT inside curio's loop."""

import signal
from typing import Any

from curio import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Deliver stop signals one by one.

    The interpreter writes each signal's number to a socket, which curio can wait for.
    """

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        for number in STOP_SIGNALS:
            signal.signal(number, self._ignore)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    async def next(self) -> signal.Signals:
        """Return the next stop signal."""
        while True:
            number = (await self._reader.recv(1))[0]
            if number in STOP_SIGNALS:
                return signal.Signals(number)

    @staticmethod
    def _ignore(number: int, frame: Any) -> None:
        """Do nothing: the signal is read from the socket."""
