"""What the entries tell each other several times a second, and what each knows of the others.

Messages are datagrams: the next one makes up for a lost one. An entry that falls silent counts
for nothing after a moment, so that its work does not stand in the way for ever.
"""

from dataclasses import dataclass

import msgspec

from bluebellrun.gateway._models import UpstreamIncarnation


class EntryStatus(msgspec.Struct, frozen=True, array_like=True):
    """One entry's news: its requests at each upstream, and how it stands with the store.

    ``number`` grows with each message of one ``incarnation``. ``address`` is where it tells what
    it read from the store, and ``silence_s`` how long ago it heard the store, in seconds.
    ``slow`` is told by the entry that keeps the expert maps alone: the ranks that say they take
    longer than usual, and how many times as long. ``leaving`` are upstreams that said lately that
    they leave, by instance and birth.
    """

    entry: str
    incarnation: str
    number: int
    address: str
    silence_s: float
    running: dict[str, int]
    slow: dict[str, float] | None = None
    leaving: list[UpstreamIncarnation] = msgspec.field(default_factory=list)


_decoder = msgspec.msgpack.Decoder(EntryStatus)


def encode_status(news: EntryStatus) -> bytes:
    """Return the datagram of an entry's news."""
    return msgspec.msgpack.encode(news)


def decode_status(data: bytes) -> EntryStatus | None:
    """Read a datagram; none if it is no entry's news."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


@dataclass(frozen=True, slots=True)
class _Heard:
    """An entry's latest news and when it came, in seconds."""

    news: EntryStatus
    at: float


# Work of an entry that was not heard for so long is no longer counted: it lost its connections.
SILENT_S = 1.0


# An entry is silent by itself when so large a part of the others was heard lately.
HEARD_PART = 3 / 4
# Entries that were not heard for so long count no more among the others.
OTHERS_KEPT_S = 10.0


class PeerTable:
    """The latest news of each other entry; times in seconds."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._heard: dict[str, _Heard] = {}
        self._heard_at: dict[str, float] = {}
        self._running: dict[str, int] = {}

    def is_silent_alone(self, entry: str, silent_s: float, now: float) -> bool:
        """Return whether an entry fell silent while most of the others are heard.

        It was heard at least once and not for ``silent_s``; the others within half of that. Where
        many are silent it may be this process that cannot hear them.
        """
        at = self._heard_at.get(entry)
        if at is None or now - at < silent_s:
            return False
        ages = [now - at for name, at in self._heard_at.items() if name != entry]
        ages = [age for age in ages if age < OTHERS_KEPT_S]
        heard = sum(age < silent_s / 2 for age in ages)
        return heard > 0 and heard >= HEARD_PART * len(ages)

    def best_informed(self) -> EntryStatus | None:
        """Return the news of the entry that heard the store last, or none."""
        news = (heard.news for heard in self._heard.values())
        return min(news, key=lambda item: item.silence_s, default=None)

    def record(self, news: EntryStatus, now: float) -> bool:
        """Take an entry's news; return false for old news."""
        if news.entry == self._entry:
            return False
        known = self._heard.get(news.entry)
        same_life = known is not None and known.news.incarnation == news.incarnation
        if same_life and known is not None and news.number <= known.news.number:
            return False
        self._heard[news.entry] = _Heard(news, now)
        self._heard_at[news.entry] = now
        if known is not None:
            self._add(known.news, -1)
        self._add(news, 1)
        return True

    def expire(self, now: float, silent_after_s: float = SILENT_S) -> None:
        """Forget the work of entries that are silent."""
        silent = [name for name, heard in self._heard.items() if now - heard.at > silent_after_s]
        for name in silent:
            self._add(self._heard.pop(name).news, -1)
        for name in [n for n, at in self._heard_at.items() if now - at > OTHERS_KEPT_S]:
            del self._heard_at[name]

    def running(self, instance: str) -> int:
        """Return the requests that other entries have at an upstream."""
        return self._running.get(instance, 0)

    def _add(self, news: EntryStatus, sign: int) -> None:
        """Count an entry's work in, or out again."""
        for instance, running in news.running.items():
            total = self._running.get(instance, 0) + sign * running
            if total:
                self._running[instance] = total
            else:
                self._running.pop(instance, None)
