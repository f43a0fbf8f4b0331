"""Forecast when work of a priority would start, to refuse early what cannot be on time."""

from dataclasses import dataclass

DEMAND_WINDOW_S = 1.0
LEAST_PART_OF_RATE = 0.02


@dataclass(slots=True)
class Demand:
    """The rate in tokens a second at which work of a priority has been taken of late."""

    rate: float = 0.0
    changed: float = 0.0

    def add(self, cost: float, now: float) -> None:
        """Note that work has been taken."""
        self.rate = self.at(now) + cost / DEMAND_WINDOW_S
        self.changed = now

    def at(self, now: float) -> float:
        """Return the rate now."""
        age = max(0.0, now - self.changed)
        return self.rate * max(0.0, 1 - age / DEMAND_WINDOW_S) if age else self.rate


@dataclass(frozen=True, slots=True)
class Outlook:
    """What stands before new work of a priority.

    ``rate`` is that of the upstream and ``urgent_rate`` what more urgent priorities take of it,
    in tokens a second; ``own_cost`` and ``urgent_cost`` wait before it, in tokens; ``floor`` is its
    own and ``lower_floors`` those of less urgent priorities that have work waiting.
    """

    rate: float
    own_cost: float
    urgent_cost: float
    urgent_rate: float
    floor: float
    lower_floors: float


def expected_wait(outlook: Outlook) -> float:
    """Return the expected wait in seconds: by the floor or by what the urgent leave."""
    if outlook.rate == float("inf"):
        return 0.0
    left = outlook.rate * (1 - outlook.lower_floors) - outlook.urgent_rate
    left = max(left, outlook.rate * LEAST_PART_OF_RATE)
    waits = [(outlook.own_cost + outlook.urgent_cost) / left]
    if outlook.floor > 0:
        waits.append(outlook.own_cost / (outlook.floor * outlook.rate))
    return min(waits)
