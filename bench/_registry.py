"""Scenarios by name."""

from collections.abc import Callable

from bench import relay
from bench._results import Measure

SCENARIOS: dict[str, Callable[[int], list[Measure]]] = {
    "relay": relay.measure,
}
