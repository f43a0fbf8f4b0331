"""The status that entries exchange several times a second, and the table of the others' status.

Messages are datagrams: the next one replaces a lost one. The work of an entry that falls silent
is dropped after a short time, so that it does not occupy upstreams for ever.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from bluebellrun.core import DecodingError, decode
from bluebellrun.gateway._models import UpstreamIncarnation
from bluebellrun.quarantine import CrashReport
from bluebellrun.store import StorePosition


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit that an upstream named, in requests a second, and the age of that in seconds.

    ``per_s`` is none where a limit has ended.
    """

    instance: str
    started_ms: int
    per_s: float | None
    age_s: float

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return the key of the upstream's incarnation."""
        return self.instance, self.started_ms

    @property
    def is_valid(self) -> bool:
        """Return whether the numbers can be a rate and an age."""
        values = (self.age_s, 0.0 if self.per_s is None else self.per_s)
        return all(math.isfinite(value) and value >= 0 for value in values)


class ColdReport(msgspec.Struct, frozen=True, array_like=True):
    """A cold upstream and for how many more seconds it stays so."""

    instance: str
    started_ms: int
    left_s: float

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return the key of the upstream's incarnation."""
        return self.instance, self.started_ms

    @property
    def is_valid(self) -> bool:
        """Return whether the number can be a time."""
        return math.isfinite(self.left_s) and self.left_s >= 0


class EntryStatus(msgspec.Struct, frozen=True, array_like=True):
    """One entry's status: its requests at each upstream and its contact with the store.

    ``number`` grows with each message of one ``incarnation``. ``address`` is where it serves its
    copy of the store, and ``silence_s`` the seconds since its last contact with the store.
    ``slow`` is sent only by the entry that holds the placement role: the ranks that report taking
    longer than typical, and how many times as long. ``leaving`` are the upstreams that recently
    announced that they leave, by instance and start time. ``crashes`` are known crashes under
    prompts, and ``probing`` the suspected parts of prompts that the entry is probing. ``limits``
    are the rate limits that upstreams have named, none from builds that do not share permits.
    ``outage_age_s`` are the seconds since the store's last outage for the entry, 0 while that
    lasts. ``era`` and ``revision`` are the point in the store's history that the entry knows, 0
    from builds that do not tell it. ``group_slow`` are the slow ranks of the groups that the entry
    manages, none if it manages none; receivers that know it ignore ``slow``, which repeats what all
    managers reported for older builds. ``cold`` are the cold upstreams that the entry knows.

    New fields go at the end and have defaults, so that older and newer builds read each other.
    """

    entry: str
    incarnation: str
    number: int
    address: str
    silence_s: float
    running: dict[str, int]
    slow: dict[str, float] | None = None
    leaving: list[UpstreamIncarnation] = msgspec.field(default_factory=list)
    crashes: list[CrashReport] = msgspec.field(default_factory=list)
    probing: list[str] = msgspec.field(default_factory=list)
    limits: list[LimitReport] | None = None
    outage_age_s: float = 0.0
    era: int = 0
    revision: int = 0
    group_slow: dict[str, float] | None = None
    cold: list[ColdReport] = msgspec.field(default_factory=list)

    @property
    def position(self) -> StorePosition:
        """Return the point in the store's history that the entry knows."""
        return StorePosition(self.era, self.revision)


_decoder = msgspec.msgpack.Decoder(EntryStatus)


def encode_status(status: EntryStatus) -> bytes:
    """Return the datagram of an entry's status."""
    return msgspec.msgpack.encode(status)


def decode_status(data: bytes) -> EntryStatus | None:
    """Read a datagram; none if it is no valid status."""
    try:
        return decode(_decoder, data)
    except DecodingError:
        return None


@dataclass(frozen=True, slots=True)
class _Received:
    """An entry's latest status and when it arrived, in seconds."""

    status: EntryStatus
    at: float


# Work of an entry that was silent for this long is not counted: it lost its connections.
SILENT_S = 1.0


# An entry is silent alone if at least this fraction of the others was received recently.
MIN_RECEIVED_FRACTION = 3 / 4
# Entries that were silent for this long no longer count among the others.
PEER_RETENTION_S = 10.0


class PeerTable:
    """The latest status of each other entry; times in seconds."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._received: dict[str, _Received] = {}
        self._received_at: dict[str, float] = {}
        self._running: dict[str, int] = {}
        self._sharing: set[str] = set()
        self._membership = 0

    @property
    def entry(self) -> str:
        """Return the name of this process's entry."""
        return self._entry

    @property
    def sharing(self) -> Collection[str]:
        """Return the other entries that share permits of limited upstreams."""
        return self._sharing

    @property
    def sharing_count(self) -> int:
        """Return the number of other entries that share permits."""
        return len(self._sharing)

    @property
    def membership(self) -> int:
        """Return a number that changes with the entries that share permits."""
        return self._membership

    def address(self, entry: str) -> str:
        """Return where another entry receives datagrams; raise ``ValueError`` if it is silent."""
        received = self._received.get(entry)
        if received is None:
            raise ValueError(f"entry {entry!r} is silent")
        return received.status.address

    def is_silent_alone(self, entry: str, silent_s: float, now: float) -> bool:
        """Return whether an entry fell silent while most of the others are received.

        It was received at least once, but not for ``silent_s``; the others within half of that. If
        many are silent, this process itself may be cut off.
        """
        at = self._received_at.get(entry)
        if at is None or now - at < silent_s:
            return False
        ages = [now - at for name, at in self._received_at.items() if name != entry]
        ages = [age for age in ages if age < PEER_RETENTION_S]
        received = sum(age < silent_s / 2 for age in ages)
        return received > 0 and received >= MIN_RECEIVED_FRACTION * len(ages)

    def best_informed(self) -> EntryStatus | None:
        """Return the status of the entry with the latest store contact, or none."""
        status = (received.status for received in self._received.values())
        return min(status, key=lambda item: item.silence_s, default=None)

    def furthest(self) -> EntryStatus | None:
        """Return the status of the entry that knows most of the store's history, or none."""
        status = (received.status for received in self._received.values())
        return max(status, key=lambda item: item.position, default=None)

    def record(self, status: EntryStatus, now: float) -> bool:
        """Record an entry's status; return false if it is outdated."""
        if status.entry == self._entry:
            return False
        known = self._received.get(status.entry)
        same_incarnation = known is not None and known.status.incarnation == status.incarnation
        if same_incarnation and known is not None and status.number <= known.status.number:
            return False
        self._received[status.entry] = _Received(status, now)
        self._received_at[status.entry] = now
        if known is not None:
            self._add(known.status, -1)
        self._add(status, 1)
        self._set_sharing(status.entry, status.limits is not None)
        return True

    def expire(self, now: float, silent_after_s: float = SILENT_S) -> None:
        """Drop the work of silent entries."""
        silent = [
            name for name, received in self._received.items() if now - received.at > silent_after_s
        ]
        for name in silent:
            self._add(self._received.pop(name).status, -1)
            self._set_sharing(name, False)
        for name in [n for n, at in self._received_at.items() if now - at > PEER_RETENTION_S]:
            del self._received_at[name]

    def running(self, instance: str) -> int:
        """Return the requests that other entries have at an upstream."""
        return self._running.get(instance, 0)

    def _set_sharing(self, entry: str, shares: bool) -> None:
        """Record whether an entry shares permits."""
        if shares == (entry in self._sharing):
            return
        self._membership += 1
        if shares:
            self._sharing.add(entry)
        else:
            self._sharing.remove(entry)

    def _add(self, status: EntryStatus, sign: int) -> None:
        """Add an entry's work to the totals, or subtract it."""
        for instance, running in status.running.items():
            total = self._running.get(instance, 0) + sign * running
            if total:
                self._running[instance] = total
            else:
                self._running.pop(instance, None)
