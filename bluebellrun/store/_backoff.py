"""Exponential backoff with jitter. Performs no I/O; the random source is a parameter."""

from random import Random

INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0


class Backoff:
    """Pauses that double from ``initial_s`` to ``max_s`` seconds, each jittered by ±50%."""

    def __init__(
        self, random: Random, initial_s: float = INITIAL_PAUSE_S, max_s: float = MAX_PAUSE_S
    ) -> None:
        self._random = random
        self._initial_s = initial_s
        self._max_s = max_s
        self._next_s = initial_s

    def reset(self) -> None:
        """Return to the initial pause after a success."""
        self._next_s = self._initial_s

    def pause_s(self) -> float:
        """Return the next pause in seconds and double the one after it."""
        pause_s = self._next_s * (0.5 + self._random.random())
        self._next_s = min(self._max_s, self._next_s * 2)
        return pause_s
