"""What an agent remembers of attempts that are over, and of attempts it will never run."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from bluebellrun.messages import Fate, FateAnswer

LONGEST_TICK_S = 0.1
AGE_SLACK_S = 1.0

UNSEEN = FateAnswer(Fate.NOT_RUN, "the agent had not seen it and will refuse it")
FULL = FateAnswer(Fate.UNKNOWN, "the agent cannot remember to refuse more attempts now")
FORGOTTEN = FateAnswer(Fate.UNKNOWN, "the agent no longer remembers attempts of that age")


@dataclass(frozen=True, slots=True)
class _Memory:
    """A fate and when it was noted, in seconds of active time."""

    answer: FateAnswer
    noted: float


class FateBook:
    """Fates of the attempts of this life of the agent, for a bounded time and number.

    Time counts only while the agent's loop runs: what waited in a socket during a pause is read
    before the memory of it lapses. Asking after an attempt that was never seen leaves a
    tombstone, so that the attempt is refused if it still arrives. Tombstones are kept for the
    whole horizon; with too many of them the answer is unknown.
    """

    def __init__(self, horizon_s: float, max_entries: int, max_tombstones: int) -> None:
        self._horizon_s = horizon_s
        self._max_entries = max_entries
        self._max_tombstones = max_tombstones
        self._tombstones: OrderedDict[str, float] = OrderedDict()
        self._memories: OrderedDict[str, _Memory] = OrderedDict()
        self._active = 0.0
        self._last_tick: float | None = None
        self._complete_from = -math.inf

    def __len__(self) -> int:
        """Return how many attempts are remembered."""
        return len(self._memories) + len(self._tombstones)

    def tick(self, now: float) -> None:
        """Let active time pass and forget what is older than the horizon."""
        if self._last_tick is not None:
            self._active += min(LONGEST_TICK_S, now - self._last_tick)
        self._last_tick = now
        limit = self._active - self._horizon_s
        while self._memories and next(iter(self._memories.values())).noted < limit:
            self._forget_oldest()
        while self._tombstones and next(iter(self._tombstones.values())) < limit:
            self._tombstones.popitem(last=False)

    def note(self, attempt: str, answer: FateAnswer) -> None:
        """Remember what became of an attempt."""
        self._memories.pop(attempt, None)
        self._memories[attempt] = _Memory(answer, self._active)
        if len(self._memories) > self._max_entries:
            self._forget_oldest()

    def recall(self, attempt: str) -> FateAnswer | None:
        """Return what is remembered of an attempt, or none."""
        if attempt in self._tombstones:
            return UNSEEN
        memory = self._memories.get(attempt)
        return None if memory is None else memory.answer

    def ask(self, attempt: str, age_s: float) -> FateAnswer:
        """Return the fate of an attempt sent at most ``age_s`` ago; refuse it from now on."""
        known = self.recall(attempt)
        if known is not None:
            return known
        if self._active - age_s - AGE_SLACK_S < self._complete_from:
            return FORGOTTEN
        if len(self._tombstones) >= self._max_tombstones:
            return FULL
        self._tombstones[attempt] = self._active
        return UNSEEN

    def _forget_oldest(self) -> None:
        """Forget one attempt; memory is complete only from its time on."""
        _, memory = self._memories.popitem(last=False)
        self._complete_from = max(self._complete_from, memory.noted)
