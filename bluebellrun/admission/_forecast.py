"""Forecast when work of a priority would start, to refuse early what cannot be on time."""

from dataclasses import dataclass

DEMAND_WINDOW_S = 1.0
MIN_RATE_FRACTION = 0.02


@dataclass(slots=True)
class Demand:
    """The rate in tokens a second at which work of a priority has lately been queued."""

    rate: float = 0.0
    updated_at: float = 0.0

    def add(self, cost: float, now: float) -> None:
        """Record queued work."""
        self.rate = self.at(now) + cost / DEMAND_WINDOW_S
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the rate now."""
        age = max(0.0, now - self.updated_at)
        return self.rate * max(0.0, 1 - age / DEMAND_WINDOW_S) if age else self.rate


@dataclass(frozen=True, slots=True)
class WaitInputs:
    """What determines the wait of new work of a priority.

    ``rate`` is that of the upstream and ``urgent_rate`` what more urgent priorities use of it, in
    tokens a second; ``own_cost`` and ``urgent_cost`` wait before it, in tokens; ``floor`` is its
    own and ``lower_floors`` those of less urgent priorities that have work waiting.
    """

    rate: float
    own_cost: float
    urgent_cost: float
    urgent_rate: float
    floor: float
    lower_floors: float


def expected_wait(inputs: WaitInputs) -> float:
    """Return the expected wait in seconds, by the floor or by the rate that urgent work leaves."""
    if inputs.rate == float("inf"):
        return 0.0
    available_rate = inputs.rate * (1 - inputs.lower_floors) - inputs.urgent_rate
    available_rate = max(available_rate, inputs.rate * MIN_RATE_FRACTION)
    waits = [(inputs.own_cost + inputs.urgent_cost) / available_rate]
    if inputs.floor > 0:
        waits.append(inputs.own_cost / (inputs.floor * inputs.rate))
    return min(waits)
