"""Which upstreams are cold, until when and why, and how many requests they get. Pure.

An upstream that has just started is slow for some seconds, and may fail under more than a few
requests. Times are in seconds of the monotonic clock of the entry that keeps the table.
"""

import math
from collections.abc import Collection, Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

# Time that passes between two entries' permits, or a permit and the arrival of its request: a
# second's arrivals are those of permits from this long.
ARRIVAL_WINDOW_S = 1.25
# Part of the bound that the entries use together. The parts of entries that do not hear each other
# add up to less than two: those with the store take all of it once the registrations of the others
# have lapsed, and the others go on with the part that they had.
USED_PART = 0.5
# Least part of what is left for one second that may be taken at once.
MIN_BURST_PART = 0.25
# Permits a second of an entry that has just started and that the others may not count yet.
STARTUP_RATE_PER_S = 0.5
# As many entries are assumed to start with it at least: the register may be empty then.
MIN_STARTUP_ENTRIES = 16
# At a lower rate, a permit takes longer than upstreams are cold.
MIN_RATE_PER_S = 0.05
# Reports of the same start differ by delays of messages.
REPORT_ERROR_S = 0.5
# Entries are told for this long what an upstream said of itself.
NOTICE_S = 3.0

Key = TypeVar("Key", bound=Hashable)


class ColdSource(Enum):
    """How an entry knows that an upstream is cold."""

    REGISTRATION = "registration"
    ANSWER = "answer"
    NEW_INCARNATION = "new incarnation"
    EVACUATION_ENDED = "evacuation ended"
    UNREACHABLE = "was unreachable"
    OTHER_ENTRY = "other entry"


@dataclass(frozen=True, slots=True)
class ColdBound:
    """The bound on a cold upstream: ``per_s`` times ``excess`` plus ``slack`` in any second."""

    per_s: float
    excess: float
    slack: float

    def share(self, part: float) -> tuple[float, float] | None:
        """Return the rate and the burst of permits for a part of the entries.

        None if the part is too small for a single request: several such parts, each with one,
        would exceed the bound.
        """
        most = part * USED_PART * (self.per_s * self.excess + self.slack)
        if most < 1.0:
            return None
        rate = self.per_s * part
        burst = max(1.0, MIN_BURST_PART * most, most - rate * ARRIVAL_WINDOW_S)
        rate = min(rate, (most - burst) / ARRIVAL_WINDOW_S)
        return (rate, burst) if rate >= MIN_RATE_PER_S else None

    def startup_share(self, entries: int) -> tuple[float, float] | None:
        """Return the rate and the burst of an entry that has just started.

        None if ``entries`` such entries would together exceed the part of the bound that permits
        of counted entries leave.
        """
        most = 1.0 + STARTUP_RATE_PER_S * ARRIVAL_WINDOW_S
        left = (1.0 - USED_PART) * (self.per_s * self.excess + self.slack)
        fits = max(entries, MIN_STARTUP_ENTRIES) * most <= left
        return (STARTUP_RATE_PER_S, 1.0) if fits else None


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Until when an upstream is cold, by which source, and when that was news."""

    until: float
    source: ColdSource
    at: float

    def is_notice(self, now: float) -> bool:
        """Return whether the upstream itself said so a moment ago."""
        return self.source is ColdSource.ANSWER and now - self.at < NOTICE_S


class ColdStarts(Generic[Key]):
    """The cold upstreams by the key of their incarnation."""

    def __init__(self) -> None:
        self._starts: dict[Key, ColdStart] = {}
        # Upstreams that may have restarted since they were last reached, and when that failed.
        self._unreachable: dict[Key, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no upstream is known to be cold or unreachable."""
        return not self._starts and not self._unreachable

    def left_s(self, upstream: Key, now: float) -> float:
        """Return how much longer an upstream is cold; infinite until it is reached again."""
        if upstream in self._unreachable:
            return math.inf
        start = self._starts.get(upstream)
        return 0.0 if start is None else max(0.0, start.until - now)

    def known_at(self, upstream: Key) -> float | None:
        """Return since when this entry takes an upstream for cold, none if it does not."""
        start = self._starts.get(upstream)
        return self._unreachable.get(upstream) if start is None else start.at

    def record(self, upstream: Key, seconds: float, source: ColdSource, now: float) -> bool:
        """Record that an upstream is cold; return whether it is so clearly longer than known."""
        known = self._starts.get(upstream)
        until = now + seconds
        if seconds <= 0 or (known is not None and until <= known.until):
            return False
        is_news = known is None or until > max(known.until, now) + REPORT_ERROR_S
        if source is ColdSource.OTHER_ENTRY and not is_news:
            return False
        at = now if is_news or known is None else known.at
        self._starts[upstream] = ColdStart(until, source, at)
        return is_news

    def record_unreachable(self, upstream: Key, now: float) -> None:
        """Record that an upstream could not be reached: it may restart before it is again."""
        self._unreachable[upstream] = now

    def record_reached(self, upstream: Key) -> bool:
        """Record an answer of an upstream; return whether it was unreachable before."""
        return self._unreachable.pop(upstream, None) is not None

    def expire(self, now: float, confirmed: Collection[Key], confirmed_after_s: float) -> None:
        """Forget what has ended.

        Unreachable upstreams that are ``confirmed`` have not restarted so long after the failure:
        the store would name their new incarnation.
        """
        self._starts = {key: item for key, item in self._starts.items() if item.until > now}
        self._unreachable = {
            key: at
            for key, at in self._unreachable.items()
            if key not in confirmed or now - at < confirmed_after_s
        }

    def retain_unreachable(self, upstreams: Collection[Key]) -> None:
        """Forget which of all other upstreams were unreachable.

        What is cold stays so: a registration may lapse and be written again.
        """
        self._unreachable = {k: at for k, at in self._unreachable.items() if k in upstreams}

    def reports(self, now: float, whole: bool = False) -> list[tuple[Key, float]]:
        """Return the upstreams that are cold, and for how long, to tell other entries.

        These are those that have just said so, as other entries cannot know it, and with ``whole``
        all that this entry found itself, for entries that started later.
        """
        return [
            (key, item.until - now)
            for key, item in self._starts.items()
            if item.until > now and (item.is_notice(now) or whole)
            if item.source is not ColdSource.OTHER_ENTRY
        ]

    def cold(self, now: float) -> list[Key]:
        """Return the upstreams that are cold or have not been reached again."""
        starts = [key for key, item in self._starts.items() if item.until > now]
        return list(dict.fromkeys([*starts, *self._unreachable]))
