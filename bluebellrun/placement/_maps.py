"""Placements of experts on ranks, and the resulting load of each rank."""

from collections.abc import Sequence
from dataclasses import dataclass

Layer = tuple[frozenset[int], ...]
Demand = Sequence[float]


@dataclass(frozen=True, slots=True)
class Placement:
    """The experts of each rank: ``layers[layer][rank]`` is a set of expert numbers."""

    layers: tuple[Layer, ...]

    @property
    def ranks(self) -> int:
        """Return the number of ranks."""
        return len(self.layers[0])


def default_placement(layers: int, ranks: int, experts: int) -> Placement:
    """Return the placement that assigns experts to ranks round-robin, each to one rank."""
    layer = tuple(frozenset(range(rank, experts, ranks)) for rank in range(ranks))
    return Placement((layer,) * layers)


def rank_loads(layer: Sequence[frozenset[int] | set[int]], demand: Demand) -> list[float]:
    """Return each rank's load: an expert's demand is shared evenly by the ranks that hold it."""
    replicas = [0] * len(demand)
    for held in layer:
        for expert in held:
            replicas[expert] += 1
    return [sum(demand[expert] / replicas[expert] for expert in held) for held in layer]


def skew(placement: Placement, demand: Sequence[Demand], slowness: Sequence[float]) -> float:
    """Return the maximum over the mean rank time, summed over the layers; 1 without demand."""
    max_time = mean = 0.0
    for layer, layer_demand in zip(placement.layers, demand, strict=True):
        loads = rank_loads(layer, layer_demand)
        max_time += max(load * slow for load, slow in zip(loads, slowness, strict=True))
        mean += sum(loads) / len(loads)
    return max_time / mean if mean > 0 else 1.0


def copies_needed(before: Placement, after: Placement) -> int:
    """Return how many experts ranks have to copy for a change."""
    return sum(
        len(new - old)
        for old_layer, new_layer in zip(before.layers, after.layers, strict=True)
        for old, new in zip(old_layer, new_layer, strict=True)
    )
