"""Scenarios by name."""

from collections.abc import Callable

from bench import (
    dissemination,
    dissemination_restart,
    dissemination_size,
    fairness,
    faults,
    flood,
    ledger,
    prefix,
    pure,
    rebalance,
    relay,
)
from bench._results import Measure

SCENARIOS: dict[str, Callable[[int], list[Measure]]] = {
    "churn": faults.churn,
    "dissemination": dissemination.measure,
    "dissemination-restart": dissemination_restart.measure,
    "dissemination-size": dissemination_size.measure,
    "fairness": fairness.measure,
    "flood-low": flood.flood_low,
    "flood-urgent": flood.flood_urgent,
    "large-customers": flood.large_customers,
    "prefix": prefix.measure,
    "pure": pure.measure,
    "ledger": ledger.measure,
    "rebalance": rebalance.measure,
    "relay": relay.measure,
    "silent": faults.silent,
    "steady": flood.steady,
    "straggler": faults.straggler,
}
