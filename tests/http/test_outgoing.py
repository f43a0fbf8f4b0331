"""Answers to callers that read slowly, or not at all."""

from typing import Any

import curio
import pytest

from bluebellrun.http import CallerGoneError, MemoryGate, MemorySettings
from bluebellrun.http._caller_wait import CallerWait
from bluebellrun.http._outgoing import MAX_AHEAD_BYTES, Outgoing

PIECE = b"x" * 10_000
SETTINGS = MemorySettings(total_bytes=1_000_000, reserved_bytes=0, stalled_s=0.1)


class SlowSocket:
    """A socket whose other end takes bytes only when it is told to."""

    def __init__(self) -> None:
        self.taken = b""
        self.takes = 0
        self._socket = self
        self._more = curio.Event()

    async def take(self, count: int) -> None:
        self.takes += count
        await self._more.set()

    def send(self, data: Any) -> Any:
        # Called without a wait for the first bytes, and awaited for the rest.
        return self._send_now(data) if isinstance(data, bytes) else self._send(data)

    def _send_now(self, data: bytes) -> int:
        if not self.takes:
            raise BlockingIOError
        sent = min(self.takes, len(data))
        self.takes -= sent
        self.taken += data[:sent]
        return sent

    async def _send(self, data: memoryview) -> int:
        while not self.takes:
            self._more.clear()
            await self._more.wait()
        return self._send_now(bytes(data))


def run(check: Any, settings: MemorySettings = SETTINGS) -> None:
    async def main() -> None:
        memory, sock = MemoryGate(settings), SlowSocket()
        async with curio.timeout_after(10.0):
            await check(Outgoing(sock, CallerWait(memory)), sock, memory)

    curio.run(main)


# Guards: an upstream's stream stayed unread while its caller paused, and was cut off for that.
def test_bytes_are_kept_for_a_caller_that_pauses_and_arrive_in_order() -> None:
    async def check(outgoing: Outgoing, sock: SlowSocket, memory: MemoryGate) -> None:
        await sock.take(500)
        pieces = [b"%d" % number * 5_000 for number in range(10)]
        for piece in pieces:
            await outgoing.write(piece, 60.0)
        assert memory.budget.held == sum(map(len, pieces)) - 500
        flushed = await curio.spawn(outgoing.flush)
        await sock.take(30_000)
        await curio.sleep(0.05)
        assert not flushed.terminated
        await sock.take(100_000)
        await flushed.join()
        assert sock.taken == b"".join(pieces)
        assert memory.budget.held == 0

    run(check)


# Guards: what is kept for one caller grew with the answer.
def test_only_a_bounded_part_of_an_answer_is_kept() -> None:
    async def check(outgoing: Outgoing, sock: SlowSocket, memory: MemoryGate) -> None:
        async def send_all() -> None:
            for _ in range(100):
                await outgoing.write(PIECE, 60.0)

        sending = await curio.spawn(send_all)
        await curio.sleep(0.05)
        assert memory.budget.held <= MAX_AHEAD_BYTES + len(PIECE)
        await sock.take(100 * len(PIECE))
        await sending.join()
        await outgoing.flush()
        assert len(sock.taken) == 100 * len(PIECE)

    run(check)


# Guards: a caller that takes nothing held its answer for ever, or its handler did not learn of it.
def test_a_caller_that_takes_nothing_is_gone_after_the_timeout() -> None:
    async def check(outgoing: Outgoing, sock: SlowSocket, memory: MemoryGate) -> None:
        await outgoing.write(PIECE, 0.1)
        with pytest.raises(CallerGoneError):
            await outgoing.flush()
        with pytest.raises(CallerGoneError):
            await outgoing.write(PIECE, 0.1)
        assert memory.budget.held == 0

    run(check)


# Guards: memory was short, and the answers of callers that do not read stayed in it.
def test_kept_answers_give_way_to_others() -> None:
    async def check(outgoing: Outgoing, sock: SlowSocket, memory: MemoryGate) -> None:
        await outgoing.write(PIECE, 60.0)
        await curio.sleep(0.2)
        other = Outgoing(SlowSocket(), CallerWait(memory))
        await other.write(PIECE, 60.0)
        assert (memory.closed, memory.budget.held) == (1, len(PIECE))
        with pytest.raises(CallerGoneError, match="memory is short"):
            await outgoing.flush()
        await other.close()
        assert memory.budget.held == 0

    run(check, MemorySettings(total_bytes=15_000, stalled_s=0.1))


# Guards: a caller that paused for a moment counted as stalled since its request was read, so that
# its stream was broken off for another one.
def test_a_caller_that_has_just_paused_is_not_stalled() -> None:
    async def main() -> None:
        memory, sock = MemoryGate(MemorySettings(total_bytes=22_000, stalled_s=0.1)), SlowSocket()
        wait = CallerWait(memory)
        await wait.acquire(5_000)
        await curio.sleep(0.2)
        outgoing, other = Outgoing(sock, wait), Outgoing(SlowSocket(), CallerWait(memory))
        await outgoing.write(PIECE, 60.0)
        await curio.sleep(0)
        with pytest.raises(CallerGoneError, match="memory is short"):
            await other.write(PIECE, 60.0)
        await sock.take(len(PIECE))
        await outgoing.flush()
        assert memory.closed == 0

    curio.run(main)


# Guards: a stream was broken off although a stalled connection had been closed for it: that one
# gave up its request's body only when its handler had ended.
def test_what_a_closed_connection_gives_up_late_makes_room() -> None:
    async def main() -> None:
        memory = MemoryGate(MemorySettings(total_bytes=22_000, stalled_s=0.1))
        wait, sock = CallerWait(memory), SlowSocket()
        await wait.acquire(9_000)
        stalled, other = Outgoing(SlowSocket(), wait), Outgoing(sock, CallerWait(memory))
        await stalled.write(b"x" * 4_000, 60.0)
        await curio.sleep(0.2)

        async def end_handler() -> None:
            with pytest.raises(CallerGoneError):
                await stalled.flush()
            await curio.sleep(0.1)
            wait.close()

        ending = await curio.spawn(end_handler)
        await other.write(b"x" * 20_000, 60.0)
        await ending.join()
        await sock.take(20_000)
        await other.flush()
        assert (memory.closed, memory.budget.held) == (1, 0)

    curio.run(main)


# Guards: the writer gave up while the next bytes waited for memory, and these were written after
# the gap.
def test_nothing_is_written_after_a_gap() -> None:
    async def main() -> None:
        memory = MemoryGate(MemorySettings(total_bytes=22_000, stalled_s=0.1))
        wait, sock = CallerWait(memory), SlowSocket()
        await wait.acquire(12_000)
        stalled, other = Outgoing(SlowSocket(), wait), Outgoing(sock, CallerWait(memory))
        await stalled.write(b"x" * 100, 60.0)
        await curio.sleep(0.2)

        async def end_handler() -> None:
            with pytest.raises(CallerGoneError):
                await stalled.flush()
            await curio.sleep(0.2)
            wait.close()

        ending = await curio.spawn(end_handler)
        await other.write(b"x" * 5_000, 0.05)
        with pytest.raises(CallerGoneError, match="takes no bytes"):
            await other.write(b"y" * 6_000, 0.05)
        await sock.take(20_000)
        await curio.sleep(0.05)
        await ending.join()
        assert sock.taken == b""
        assert memory.budget.held == 0

    curio.run(main)
