"""Wait for signals in curio tasks."""

import signal
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from curio import socket

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True, slots=True)
class ReceivedSignal:
    """A signal and when it arrived, in seconds of the monotonic clock."""

    number: signal.Signals
    received_at: float


class StopSignals:
    """Deliver signals one at a time, by default SIGTERM and SIGINT.

    The interpreter writes each signal's number to a socket that curio can wait on.
    """

    def __init__(self, numbers: Iterable[signal.Signals] = STOP_SIGNALS) -> None:
        self._numbers = frozenset(numbers)
        self._received_at: dict[int, float] = {}
        self._reader, self._writer = socket.socketpair()
        for number in self._numbers:
            signal.signal(number, self._record)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    async def next(self) -> ReceivedSignal:
        """Wait for the next signal and return it."""
        while True:
            number = (await self._reader.recv(1))[0]
            if number in self._numbers:
                received_at = self._received_at.pop(number, time.monotonic())
                return ReceivedSignal(signal.Signals(number), received_at)

    def _record(self, number: int, frame: Any) -> None:
        """Record when a signal arrived: the event loop may read it from the socket much later."""
        self._received_at.setdefault(number, time.monotonic())
