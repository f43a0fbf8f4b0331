"""Split a stream into complete events and track their ids."""

from dataclasses import dataclass

from bluebellrun.core import is_whole_number
from bluebellrun.http import AnswerTooLongError

# An event of a few tokens with their names and numbers takes some hundred bytes.
MAX_EVENT_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """Complete events in their wire form, the id of the last one and their number."""

    data: bytes
    last_id: int | None
    count: int


class EventSplitter:
    """Buffer the bytes of a ``text/event-stream`` and return complete events.

    Events up to ``after_id`` are skipped: they were forwarded before. An event of more than
    ``max_event_bytes`` is an error.
    """

    def __init__(self, after_id: int | None = None, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._after_id = after_id
        self._max_event_bytes = max_event_bytes
        self._partial = bytearray()

    @property
    def partial(self) -> bytes:
        """Return the bytes of the event that is not complete yet."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Append bytes; return the events completed by them, or none.

        Raises ``AnswerTooLongError`` if an incomplete event is over the limit.
        """
        searched = max(0, len(self._partial) - 1)
        self._partial += data
        end = self._partial.rfind(b"\n\n", searched)
        if end < 0:
            self._check_size()
            return None
        complete = bytes(self._partial[:end])
        del self._partial[: end + 2]
        kept: list[bytes] = []
        for event in complete.split(b"\n\n"):
            number = _event_id(event)
            if number is not None:
                if self._after_id is not None and number <= self._after_id:
                    continue
                self._after_id = number
            kept.append(event + b"\n\n")
        if not kept:
            return None
        return CompleteEvents(b"".join(kept), self._after_id, len(kept))

    def _check_size(self) -> None:
        """Raise ``AnswerTooLongError`` if the incomplete event is over the limit."""
        if len(self._partial) > self._max_event_bytes:
            raise AnswerTooLongError(f"an event is over {self._max_event_bytes} bytes")


def _event_id(event: bytes) -> int | None:
    """Return the id of an event, or none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip().decode("latin-1")
            return int(text) if is_whole_number(text) else None
    return None
