"""Scenarios by name."""

from collections.abc import Callable

from bench import fairness, flood, pure, relay
from bench._results import Measure

SCENARIOS: dict[str, Callable[[int], list[Measure]]] = {
    "fairness": fairness.measure,
    "flood-low": flood.flood_low,
    "flood-urgent": flood.flood_urgent,
    "large-customers": flood.large_customers,
    "pure": pure.measure,
    "relay": relay.measure,
    "steady": flood.steady,
}
