"""Floors: the share of capacity that a less urgent priority is guaranteed while work waits."""

from collections.abc import Collection, Iterable, Sequence

from bluebellrun.admission._models import PriorityTarget

MAX_OWED_TOKENS = 4_096.0


class FloorCredits:
    """Track in tokens what each priority is owed.

    While work waits in a priority, it earns its floor of each token that any priority starts, and
    pays for what it starts itself. Credit is cleared when nothing waits, so an unused floor is
    lent. What it starts while nothing more urgent waits reduces its credit but leaves no debt.
    """

    def __init__(self) -> None:
        self._floors: dict[int, float] = {}
        self._owed: dict[int, float] = {}

    def update(self, targets: Sequence[PriorityTarget]) -> None:
        """Replace the floors in force."""
        self._floors = {target.urgency: target.floor for target in targets if target.floor > 0}

    def floor(self, priority: int) -> float:
        """Return the floor of a priority."""
        return self._floors.get(priority, 0.0)

    def owed(self, priority: int) -> float:
        """Return what a priority is owed in tokens."""
        return self._owed.get(priority, 0.0)

    def most_owed(self, backlogged: Iterable[int]) -> int | None:
        """Return the backlogged priority that is owed most, or none that is owed anything."""
        owed = [(self.owed(priority), priority) for priority in backlogged]
        most, priority = max(owed, default=(0.0, 0))
        return priority if most > 0 else None

    def charge(self, started: int, cost: float, backlogged: Collection[int]) -> None:
        """Update the credits for work that starts, given the priorities with work waiting."""
        for priority in {*backlogged, started}:
            floor = self.floor(priority)
            if floor:
                owed = self.owed(priority) + floor * cost
                self._owed[priority] = min(owed, MAX_OWED_TOKENS)
        if started in self._floors:
            owed = self.owed(started)
            contended = any(priority < started for priority in backlogged)
            self._owed[started] = owed - cost if contended else max(owed - cost, min(owed, 0.0))

    def clear(self, priority: int) -> None:
        """Clear the credit of a priority in which nothing waits."""
        if self.owed(priority) > 0:
            self._owed[priority] = 0.0
