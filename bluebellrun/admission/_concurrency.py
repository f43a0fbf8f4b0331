"""How many requests an upstream runs at once, learned from first-token and step times.

An engine that has no slot left queues a request, and its first token comes several steps late
while the steps keep their length. The limit falls by one when most starts are late in this way
or steps exceed the tightest gap target, and rises by one after a run of prompt starts at the limit.
"""

LATE_STEPS = 2.0
MEMORY = 0.9
MANY_LATE_FRACTION = 0.5
FEW_LATE_FRACTION = 0.1
PROBE_STARTS_PER_SLOT = 8
FLOOR_DRIFT = 1.002
GAP_HEADROOM = 0.85
STEP_MEMORY = 0.95
MIN_FRACTION = 0.5
MAX_FACTOR = 8


class ConcurrencyLimit:
    """Learn how many requests an upstream runs at once."""

    def __init__(self, first: int, learning: bool = True) -> None:
        self._limit = first
        self._learning = learning
        self._min_limit = max(1, round(first * MIN_FRACTION))
        self._max_limit = first * MAX_FACTOR
        self._step_s = 0.0
        self._first_token_floor_s = float("inf")
        self._typical_first_token_s = 0.0
        self._late = 0.0
        self._prompt_starts = 0
        self._gap_target_s = float("inf")

    @property
    def limit(self) -> int:
        """Return how many requests may run at once."""
        return self._limit

    @property
    def step_s(self) -> float:
        """Return the learned time between tokens in seconds, 0 while not known."""
        return self._step_s

    @property
    def first_token_s(self) -> float:
        """Return the typical time from starting a request to its first token, in seconds."""
        return self._typical_first_token_s

    def set_gap_target(self, seconds: float) -> None:
        """Set the tightest target for the gap between tokens."""
        self._gap_target_s = seconds

    def observe_step(self, seconds: float) -> None:
        """Record a time between two tokens."""
        if self._step_s == 0.0:
            self._step_s = seconds
        self._step_s += (1 - STEP_MEMORY) * (seconds - self._step_s)

    def observe_first_token(self, seconds: float, at_limit: bool) -> None:
        """Record a first-token time of a request that was started within the limit."""
        self._typical_first_token_s = self._typical_first_token_s or seconds
        self._typical_first_token_s += (1 - MEMORY) * (seconds - self._typical_first_token_s)
        self._first_token_floor_s = min(self._first_token_floor_s * FLOOR_DRIFT, seconds)
        if not self._learning or self._step_s == 0.0:
            return
        late = seconds - self._first_token_floor_s > LATE_STEPS * self._step_s
        self._late = MEMORY * self._late + (1 - MEMORY) * late
        self._prompt_starts = 0 if late else self._prompt_starts + at_limit
        self._adjust()

    def _adjust(self) -> None:
        """Change the limit by one where the evidence is clear."""
        slow = self._step_s > self._gap_target_s
        if (self._late > MANY_LATE_FRACTION or slow) and self._limit > self._min_limit:
            self._limit -= 1
            self._restart()
            return
        has_headroom = self._step_s < GAP_HEADROOM * self._gap_target_s
        enough = self._prompt_starts >= PROBE_STARTS_PER_SLOT * self._limit
        if (
            enough
            and has_headroom
            and self._late < FEW_LATE_FRACTION
            and self._limit < self._max_limit
        ):
            self._limit += 1
            self._restart()

    def _restart(self) -> None:
        """Reset the evidence after a change of the limit."""
        self._late = MANY_LATE_FRACTION / 2
        self._prompt_starts = 0
