"""What an agent remembers of attempts that are over, and of attempts it will never run."""

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
    """Return the least age of the attempt that a question is about, in seconds."""
    if not query.claimed_ms:
        return query.age_s
    return max(query.age_s, (now_ms - query.claimed_ms) / MS_PER_S)


@dataclass(frozen=True, slots=True)
class _FateRecord:
    """A fate and when it was recorded_at_s, in seconds of active time."""

    answer: FateAnswer
    recorded_at_s: float


class FateHistory:
    """Fates of the attempts of this life of the agent, for a bounded time and number.

    Time counts only while the agent's loop runs: what waited in a socket during a pause is read
    before the record of it lapses. Asking after an attempt that was never seen leaves a
    tombstone, so that the attempt is refused if it still arrives. Tombstones are kept for the
    whole horizon; with too many of them the answer is unknown.
    """

    def __init__(self, horizon_s: float, max_entries: int, max_tombstones: int) -> None:
        self._horizon_s = horizon_s
        self._max_entries = max_entries
        self._max_tombstones = max_tombstones
        self._tombstones: OrderedDict[str, float] = OrderedDict()
        self._records: OrderedDict[str, _FateRecord] = OrderedDict()
        self._active_s = 0.0
        self._last_tick: float | None = None
        self._complete_from = -math.inf

    def __len__(self) -> int:
        """Return how many attempts are remembered."""
        return len(self._records) + len(self._tombstones)

    def tick(self, now: float) -> None:
        """Let active time pass and forget what is older than the horizon."""
        if self._last_tick is not None:
            self._active_s += min(MAX_TICK_S, now - self._last_tick)
        self._last_tick = now
        limit = self._active_s - self._horizon_s
        while self._records and next(iter(self._records.values())).recorded_at_s < limit:
            self._forget_oldest()
        while self._tombstones and next(iter(self._tombstones.values())) < limit:
            self._tombstones.popitem(last=False)

    def record(self, attempt: str, answer: FateAnswer) -> None:
        """Remember what became of an attempt."""
        self._records.pop(attempt, None)
        self._records[attempt] = _FateRecord(answer, self._active_s)
        if len(self._records) > self._max_entries:
            self._forget_oldest()

    def recall(self, attempt: str) -> FateAnswer | None:
        """Return what is remembered of an attempt, or none."""
        if attempt in self._tombstones:
            return UNSEEN
        record = self._records.get(attempt)
        return None if record is None else record.answer

    def query_fate(self, attempt: str, age_s: float) -> FateAnswer:
        """Return the fate of an attempt sent at most ``age_s`` ago; refuse it from now on."""
        known = self.recall(attempt)
        if known is not None:
            return known
        if self._active_s - age_s - AGE_SLACK_S < self._complete_from:
            return HISTORY_EXPIRED
        if len(self._tombstones) >= self._max_tombstones:
            return TOMBSTONES_FULL
        self._tombstones[attempt] = self._active_s
        return UNSEEN

    def _forget_oldest(self) -> None:
        """Forget one attempt; record is complete only from its time on."""
        _, record = self._records.popitem(last=False)
        self._complete_from = max(self._complete_from, record.recorded_at_s)
