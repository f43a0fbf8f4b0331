"""Wait for signals in curio tasks."""

import signal
from collections.abc import Iterable
from typing import Any

from curio import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Deliver signals one at a time, by default SIGTERM and SIGINT.

    The interpreter writes each signal's number to a socket that curio can wait on.
    """

    def __init__(self, numbers: Iterable[signal.Signals] = STOP_SIGNALS) -> None:
        self._numbers = frozenset(numbers)
        self._reader, self._writer = socket.socketpair()
        for number in self._numbers:
            signal.signal(number, self._ignore)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    async def next(self) -> signal.Signals:
        """Wait for the next signal and return it."""
        while True:
            number = (await self._reader.recv(1))[0]
            if number in self._numbers:
                return signal.Signals(number)

    @staticmethod
    def _ignore(number: int, frame: Any) -> None:
        """Do nothing: the signal is read from the socket."""
