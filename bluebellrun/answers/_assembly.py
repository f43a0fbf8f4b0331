"""The receiving end of an answer: accepts its bytes in order, exactly once."""

import xxhash

from bluebellrun.answers._buffer import EndMark


class AnswerGapError(Exception):
    """Bytes are missing before the ones that arrived."""

    def __init__(self, expected: int, received: int) -> None:
        super().__init__(f"expected bytes from offset {expected}, received offset {received}")
        self.expected = expected
        self.received = received


class AnswerAssembly:
    """Accept the chunks of one answer and verify that it is complete."""

    def __init__(self) -> None:
        self._offset = 0
        self._digest = xxhash.xxh3_128()
        self._end: EndMark | None = None

    @property
    def offset(self) -> int:
        """Return how many bytes have been accepted."""
        return self._offset

    @property
    def ended(self) -> bool:
        """Return whether an end mark has been accepted."""
        return self._end is not None

    @property
    def complete(self) -> bool:
        """Return whether the bytes accepted match the end mark's length and digest."""
        if self._end is None:
            return False
        return self._end == EndMark(self._offset, self._digest.hexdigest())

    def accept(self, offset: int, data: bytes) -> bytes:
        """Return the part of a chunk that is new; raise ``AnswerGapError`` if bytes are missing."""
        if offset > self._offset:
            raise AnswerGapError(self._offset, offset)
        fresh = data[self._offset - offset :]
        self._offset += len(fresh)
        self._digest.update(fresh)
        return fresh

    def finish(self, end: EndMark) -> bool:
        """Accept the end mark; return whether the answer is complete."""
        self._end = end
        return self.complete
