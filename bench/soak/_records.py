"""What callers sent and what they were told."""

import threading
from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """The kinds of request that a soak sends."""

    KEYED_ORDER = "keyed order"
    ORDER = "order"
    STREAM = "stream"
    DOCUMENT = "document"


@dataclass(frozen=True, slots=True)
class Told:
    """One answer to a caller; times on the monotonic clock in seconds.

    ``outcome`` is ``ran`` only for a whole answer; ``cut`` is an answer that broke off and
    ``silent`` is none at all.
    """

    kind: Kind
    key: str
    request_id: str
    status: int
    outcome: str
    detail: str
    digest: str
    replayed: bool
    started: float
    ended: float


@dataclass(slots=True)
class Diary:
    """All answers of a soak, written by many threads."""

    told: list[Told] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, told: Told) -> None:
        """Note one answer."""
        with self._lock:
            self.told.append(told)


@dataclass(frozen=True, slots=True)
class Window:
    """A time in which an outcome may be unknown: a process was killed or being restarted."""

    start: float
    end: float

    def overlaps(self, told: Told) -> bool:
        """Return whether a request was under way in this window."""
        return told.started <= self.end and told.ended >= self.start
