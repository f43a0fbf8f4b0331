"""The sending end of an answer: buffers bytes until the receiver confirms them."""

from dataclasses import dataclass

import xxhash


class BufferOverrunError(Exception):
    """Bytes were appended beyond the capacity or after the end."""


@dataclass(frozen=True, slots=True)
class EndMark:
    """The length in bytes and the digest of a complete answer."""

    total: int
    digest: str


class AnswerBuffer:
    """Hold the bytes of one answer that the receiver has not confirmed yet.

    Offsets count bytes from the start of the answer. Bytes before ``confirmed`` have been
    dropped; bytes from ``confirmed`` to ``appended`` can be sent again.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._bytes = bytearray()
        self._confirmed = 0
        self._sent = 0
        self._digest = xxhash.xxh3_128()
        self._end: EndMark | None = None

    @property
    def confirmed(self) -> int:
        """Return the offset up to which the receiver has confirmed the answer."""
        return self._confirmed

    @property
    def appended(self) -> int:
        """Return the offset up to which the answer has been appended."""
        return self._confirmed + len(self._bytes)

    @property
    def free_capacity(self) -> int:
        """Return how many more bytes may be appended now."""
        return self._capacity - len(self._bytes)

    @property
    def end(self) -> EndMark | None:
        """Return the end mark once the answer is complete."""
        return self._end

    @property
    def all_sent(self) -> bool:
        """Return whether all appended bytes have been read for sending."""
        return self._sent == self.appended

    def append(self, data: bytes) -> None:
        """Add bytes at the end; raise ``BufferOverrunError`` beyond the capacity."""
        if len(data) > self.free_capacity:
            raise BufferOverrunError(f"{len(data)} bytes offered, room for {self.free_capacity}")
        if self._end is not None:
            raise BufferOverrunError("bytes offered after the end of the answer")
        self._bytes += data
        self._digest.update(data)

    def finish(self) -> EndMark:
        """Mark the answer complete and return its end mark."""
        if self._end is None:
            self._end = EndMark(self.appended, self._digest.hexdigest())
        return self._end

    def read_unsent(self, limit: int) -> tuple[int, bytes]:
        """Return the offset and up to ``limit`` unsent bytes, and mark them as sent."""
        offset = self._sent
        start = offset - self._confirmed
        data = bytes(self._bytes[start : start + limit])
        self._sent += len(data)
        return offset, data

    def confirm(self, offset: int) -> None:
        """Drop the bytes before an offset that the receiver has confirmed."""
        offset = min(offset, self._sent)
        if offset <= self._confirmed:
            return
        del self._bytes[: offset - self._confirmed]
        self._confirmed = offset

    def rewind(self, offset: int) -> bool:
        """Resume sending at an offset; return false if its bytes are dropped or not yet known."""
        if not self._confirmed <= offset <= self.appended:
            return False
        self._sent = offset
        return True
