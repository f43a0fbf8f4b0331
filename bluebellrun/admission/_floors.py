"""Floors: the part of the capacity that a less urgent priority keeps while it has work waiting."""

from collections.abc import Collection, Iterable, Sequence

from bluebellrun.admission._models import PriorityTarget

MOST_OWED_TOKENS = 4_096.0


class FloorCredits:
    """Count in tokens what each priority is owed.

    While work waits in a priority, it is owed its floor of each token that any priority starts;
    what it starts itself is taken off. Nothing is owed while nothing waits, so an unused floor is
    lent. What it starts while nobody more urgent waits clears what it is owed but leaves no debt.
    """

    def __init__(self) -> None:
        self._floors: dict[int, float] = {}
        self._owed: dict[int, float] = {}

    def follow(self, targets: Sequence[PriorityTarget]) -> None:
        """Take the floors in force."""
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
        """Note that work of a priority starts while others may wait."""
        for priority in {*backlogged, started}:
            floor = self.floor(priority)
            if floor:
                owed = self.owed(priority) + floor * cost
                self._owed[priority] = min(owed, MOST_OWED_TOKENS)
        if started in self._floors:
            owed = self.owed(started)
            contended = any(priority < started for priority in backlogged)
            self._owed[started] = owed - cost if contended else max(owed - cost, min(owed, 0.0))

    def forgive(self, priority: int) -> None:
        """Note that nothing waits in a priority: it is owed nothing."""
        if self.owed(priority) > 0:
            self._owed[priority] = 0.0
