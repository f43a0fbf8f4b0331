"""Scenarios by name."""

from collections.abc import Callable

from bench import flood, relay
from bench._results import Measure

SCENARIOS: dict[str, Callable[[int], list[Measure]]] = {
    "flood-low": flood.flood_low,
    "flood-urgent": flood.flood_urgent,
    "large-customers": flood.large_customers,
    "relay": relay.measure,
    "steady": flood.steady,
}
