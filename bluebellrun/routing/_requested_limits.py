"""Rate limits that upstreams name in their answers, as one entry knows them. Pure.

A limit holds for all entries together, so entries exchange what they observe. The latest
observation of an upstream counts; times are in seconds of the monotonic clock of the entry that
keeps the table.
"""

from collections.abc import Collection, Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

# Entries are told of the end of a limit for this long.
LIFTED_NOTICE_S = 3.0
# An observation returns to the entry that made it a few milliseconds younger than it is.
REPORTED_AGE_ERROR_S = 0.05

Key = TypeVar("Key", bound=Hashable)


@dataclass(frozen=True, slots=True)
class LimitObservation:
    """The limit of an upstream in requests a second, none without one, and when it was seen."""

    per_s: float | None
    at: float


class RequestedLimits(Generic[Key]):
    """The limits of upstreams by the key of their incarnation."""

    def __init__(self) -> None:
        self._observations: dict[Key, LimitObservation] = {}

    def limit(self, upstream: Key) -> float | None:
        """Return the limit of an upstream in requests a second, none without one."""
        known = self._observations.get(upstream)
        return None if known is None else known.per_s

    def limited(self) -> list[Key]:
        """Return the upstreams that have a limit."""
        return [key for key, known in self._observations.items() if known.per_s is not None]

    def age_s(self, upstream: Key, now: float) -> float:
        """Return the seconds since an upstream's limit was last observed, 0 if it never was."""
        known = self._observations.get(upstream)
        return 0.0 if known is None else now - known.at

    def record_named(self, upstream: Key, per_s: float, now: float) -> bool:
        """Record that an answer named a limit; return whether the limit is new or has changed."""
        changed = self.limit(upstream) != per_s
        self._observations[upstream] = LimitObservation(per_s, now)
        return changed

    def record_absent(self, upstream: Key, sent_at: float, now: float) -> bool:
        """Record an answer without a limit; return whether this ends a limit.

        Answers overtake each other. Only one to a request that was sent after the limit was last
        named shows that the limit has ended.
        """
        known = self._observations.get(upstream)
        if known is None or known.per_s is None or sent_at <= known.at:
            return False
        self._observations[upstream] = LimitObservation(None, now)
        return True

    def apply_peer(self, upstream: Key, per_s: float | None, age_s: float, now: float) -> bool:
        """Apply another entry's observation; return whether the limit has changed."""
        known = self._observations.get(upstream, LimitObservation(None, float("-inf")))
        at = now - max(0.0, age_s)
        error_s = REPORTED_AGE_ERROR_S if known.per_s == per_s else 0.0
        if at <= known.at + error_s:
            return False
        self._observations[upstream] = LimitObservation(per_s, at)
        return known.per_s != per_s

    def reports(self, now: float) -> list[tuple[Key, LimitObservation]]:
        """Return the observations to tell other entries, also of limits that ended recently."""
        return [
            (key, known)
            for key, known in self._observations.items()
            if known.per_s is not None or now - known.at < LIFTED_NOTICE_S
        ]

    def retain(self, upstreams: Collection[Key]) -> None:
        """Forget all other upstreams."""
        self._observations = {
            key: known for key, known in self._observations.items() if key in upstreams
        }
