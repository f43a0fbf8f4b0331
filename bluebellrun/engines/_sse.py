"""Detect the end of an OpenAI-style event stream."""

DONE_EVENT = b"data: [DONE]"
TAIL_BYTES = 64


class DoneWatcher:
    """Scan a server-sent event stream and report whether its last event was ``[DONE]``."""

    def __init__(self) -> None:
        self._tail = b""
        self._events = 0

    @property
    def done(self) -> bool:
        """Return whether the last event was ``[DONE]``."""
        return self._tail.rstrip().endswith(DONE_EVENT)

    @property
    def events(self) -> int:
        """Return how many complete events have been scanned."""
        return self._events

    def feed(self, data: bytes) -> None:
        """Scan the next bytes of the stream."""
        joined = self._tail[-1:] + data
        self._events += joined.count(b"\n\n")
        self._tail = (self._tail + data)[-TAIL_BYTES:]
