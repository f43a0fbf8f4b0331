"""Fates of attempts that have ended, and tombstones of attempts that will be refused."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from bluebellrun.messages import Fate, FateAnswer, FateQuery

MAX_TICK_S = 0.1
AGE_SLACK_S = 1.0
MS_PER_S = 1_000

UNSEEN = FateAnswer(Fate.NOT_RUN, "the agent had not seen it and will refuse it")
TOMBSTONES_FULL = FateAnswer(Fate.UNKNOWN, "the agent cannot remember to refuse more attempts now")
HISTORY_EXPIRED = FateAnswer(Fate.UNKNOWN, "the agent no longer remembers attempts of that age")


def min_attempt_age_s(query: FateQuery, now_ms: int) -> float:
    """Return the minimum age of the queried attempt, in seconds."""
    if not query.claimed_ms:
        return query.age_s
    return max(query.age_s, (now_ms - query.claimed_ms) / MS_PER_S)


@dataclass(frozen=True, slots=True)
class _FateRecord:
    """A fate and when it was recorded, in seconds of active time."""

    answer: FateAnswer
    recorded_at_s: float


class FateHistory:
    """Fates of the attempts of this incarnation, bounded in age and number.

    Time counts only while the agent's loop runs, so that messages that waited in a socket during
    a pause are read before the records of their attempts expire. Querying an attempt that was
    never received leaves a tombstone, so that the attempt is refused if it still arrives.
    Tombstones are kept for the whole horizon; when there are too many, the fate is unknown.
    """

    def __init__(self, horizon_s: float, max_entries: int, max_tombstones: int) -> None:
        self._horizon_s = horizon_s
        self._max_entries = max_entries
        self._max_tombstones = max_tombstones
        self._tombstones: OrderedDict[str, float] = OrderedDict()
        self._records: OrderedDict[str, _FateRecord] = OrderedDict()
        self._active_s = 0.0
        self._last_tick: float | None = None
        self._complete_from_s = -math.inf

    def __len__(self) -> int:
        """Return how many attempts have a record or a tombstone."""
        return len(self._records) + len(self._tombstones)

    def tick(self, now: float) -> None:
        """Advance active time and drop records and tombstones older than the horizon."""
        if self._last_tick is not None:
            self._active_s += min(MAX_TICK_S, now - self._last_tick)
        self._last_tick = now
        limit = self._active_s - self._horizon_s
        while self._records and next(iter(self._records.values())).recorded_at_s < limit:
            self._drop_oldest()
        while self._tombstones and next(iter(self._tombstones.values())) < limit:
            self._tombstones.popitem(last=False)

    def record(self, attempt: str, answer: FateAnswer) -> None:
        """Record the fate of an attempt."""
        self._records.pop(attempt, None)
        self._records[attempt] = _FateRecord(answer, self._active_s)
        if len(self._records) > self._max_entries:
            self._drop_oldest()

    def recall(self, attempt: str) -> FateAnswer | None:
        """Return the recorded fate of an attempt, or none."""
        if attempt in self._tombstones:
            return UNSEEN
        record = self._records.get(attempt)
        return None if record is None else record.answer

    def query_fate(self, attempt: str, age_s: float) -> FateAnswer:
        """Return the fate of an attempt sent at most ``age_s`` ago; leave a tombstone if unseen."""
        known = self.recall(attempt)
        if known is not None:
            return known
        if self._active_s - age_s - AGE_SLACK_S < self._complete_from_s:
            return HISTORY_EXPIRED
        if len(self._tombstones) >= self._max_tombstones:
            return TOMBSTONES_FULL
        self._tombstones[attempt] = self._active_s
        return UNSEEN

    def _drop_oldest(self) -> None:
        """Drop the oldest record; the history is complete only from its time on."""
        _, record = self._records.popitem(last=False)
        self._complete_from_s = max(self._complete_from_s, record.recorded_at_s)
