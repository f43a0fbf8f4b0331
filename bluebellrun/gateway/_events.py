"""Cut a stream into whole events and follow their ids."""

from dataclasses import dataclass

from bluebellrun.core import is_whole_number
from bluebellrun.http import AnswerTooLongError

# Bytes of one event: a few tokens with their names and numbers take some hundred.
MAX_EVENT_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class CompleteEvents:
    """Whole events in their wire form, the id of the last of them and how many there are."""

    data: bytes
    last_id: int | None
    count: int


class EventSplitter:
    """Collect the bytes of a ``text/event-stream`` and give out whole events.

    Events up to ``after_id`` are left out: they were passed on before. An event of more than
    ``max_event_bytes`` is no event.
    """

    def __init__(self, after_id: int | None = None, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._after_id = after_id
        self._max_event_bytes = max_event_bytes
        self._partial = bytearray()

    @property
    def partial(self) -> bytes:
        """Return the bytes that do not make up a whole event yet."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Take bytes; return the new whole events, or none.

        Raises ``AnswerTooLongError`` when there are too many bytes without an event's end.
        """
        searched = max(0, len(self._partial) - 1)
        self._partial += data
        end = self._partial.rfind(b"\n\n", searched)
        if end < 0:
            self._check_size()
            return None
        whole = bytes(self._partial[:end])
        del self._partial[: end + 2]
        kept: list[bytes] = []
        for event in whole.split(b"\n\n"):
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
        """Raise when an event that has not ended is over its limit."""
        if len(self._partial) > self._max_event_bytes:
            raise AnswerTooLongError(f"an event is over {self._max_event_bytes} bytes")


def _event_id(event: bytes) -> int | None:
    """Return the id of an event, or none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip().decode("latin-1")
            return int(text) if is_whole_number(text) else None
    return None
