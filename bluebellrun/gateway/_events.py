"""Cut a stream into whole events and follow their ids."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WholeEvents:
    """Whole events in their wire form, the id of the last of them and how many there are."""

    data: bytes
    last_id: int | None
    count: int


class EventSplitter:
    """Collect the bytes of a ``text/event-stream`` and give out whole events.

    Events up to ``after_id`` are left out: they were passed on before.
    """

    def __init__(self, after_id: int | None = None) -> None:
        self._after_id = after_id
        self._partial = b""

    @property
    def partial(self) -> bytes:
        """Return the bytes that do not make up a whole event yet."""
        return self._partial

    def feed(self, data: bytes) -> WholeEvents | None:
        """Take bytes; return the new whole events, or none."""
        whole, separator, rest = (self._partial + data).rpartition(b"\n\n")
        if not separator:
            self._partial = rest
            return None
        self._partial = rest
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
        return WholeEvents(b"".join(kept), self._after_id, len(kept))


def _event_id(event: bytes) -> int | None:
    """Return the id of an event, or none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
