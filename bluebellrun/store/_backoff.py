"""Growing, jittered pauses between tries. Pure: the random source is handed in."""

from random import Random

FIRST_S = 0.1
LONGEST_S = 5.0


class Backoff:
    """Pauses in seconds that double from ``first_s`` to ``longest_s``, each jittered by half."""

    def __init__(
        self, random: Random, first_s: float = FIRST_S, longest_s: float = LONGEST_S
    ) -> None:
        self._random = random
        self._first_s = first_s
        self._longest_s = longest_s
        self._next_s = first_s

    def reset(self) -> None:
        """Start again from the shortest pause, after a success."""
        self._next_s = self._first_s

    def pause_s(self) -> float:
        """Return the next pause."""
        pause_s = self._next_s * (0.5 + self._random.random())
        self._next_s = min(self._longest_s, self._next_s * 2)
        return pause_s
