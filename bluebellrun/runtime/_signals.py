"""Wait for signals inside curio's loop."""

import signal
from collections.abc import Iterable
from typing import Any

from curio import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Deliver signals one by one, by default those that stop a process.

    The interpreter writes each signal's number to a socket, which curio can wait for.
    """

    def __init__(self, numbers: Iterable[signal.Signals] = STOP_SIGNALS) -> None:
        self._numbers = frozenset(numbers)
        self._reader, self._writer = socket.socketpair()
        for number in self._numbers:
            signal.signal(number, self._ignore)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    async def next(self) -> signal.Signals:
        """Return the next signal."""
        while True:
            number = (await self._reader.recv(1))[0]
            if number in self._numbers:
                return signal.Signals(number)

    @staticmethod
    def _ignore(number: int, frame: Any) -> None:
        """Do nothing: the signal is read from the socket."""
