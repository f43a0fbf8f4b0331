"""Faults of the platform that can be ordered, and counts of calls."""

from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong now: an outage, slowness in seconds, or a share of lost answers."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    lose_next: int = 0
    random: Random = field(default_factory=lambda: Random(1))

    def loses_answer(self) -> bool:
        """Return whether the answer to the present write is lost."""
        if self.lose_next > 0:
            self.lose_next -= 1
            return True
        return self.lose_answers > 0 and self.random.random() < self.lose_answers


@dataclass(slots=True)
class CallCounts:
    """Calls taken so far, by kind, and the watches open now."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    open_watches: int = 0
    by_path: dict[str, int] = field(default_factory=dict)
