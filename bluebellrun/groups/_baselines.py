"""Baseline placements for benchmarks of the planner."""

import heapq

import numpy as np

from bluebellrun.groups._expert_map import EMPTY, ExpertMap, FloatArray, IntArray
from bluebellrun.groups._models import GroupShape


def greedy_map(shape: GroupShape, version: int, load: FloatArray) -> ExpertMap:
    """Return the greedy map: replicate the busiest experts, place each on the least loaded rank."""
    layers = [_greedy_layer(shape, load[layer]) for layer in range(shape.layers)]
    return ExpertMap(version, shape, np.stack(layers))


def _greedy_layer(shape: GroupShape, load: FloatArray) -> IntArray:
    """Place one layer, ignoring the current map."""
    replicas = _spread_replicas(shape, load)
    items = [
        (load[expert] / count, expert)
        for expert, count in enumerate(replicas)
        for _ in range(count)
    ]
    items.sort(key=lambda item: (-item[0], item[1]))
    placement = np.full((shape.ranks, shape.slots), EMPTY, dtype=np.int16)
    used = [0] * shape.ranks
    heap = [(0.0, rank) for rank in range(shape.ranks)]
    for weight, expert in items:
        returned = []
        while heap:
            total, rank = heapq.heappop(heap)
            if expert in placement[rank, : used[rank]]:
                returned.append((total, rank))
                continue
            placement[rank, used[rank]] = expert
            used[rank] += 1
            if used[rank] < shape.slots:
                returned.append((total + weight, rank))
            break
        for entry in returned:
            heapq.heappush(heap, entry)
    return placement


def _spread_replicas(shape: GroupShape, load: FloatArray) -> list[int]:
    """Assign spare slots one by one to the expert with the highest load per replica."""
    replicas = [1] * shape.experts
    heap = [(-load[expert], expert) for expert in range(shape.experts)]
    heapq.heapify(heap)
    spare = shape.ranks * shape.slots - shape.experts
    while spare and heap:
        _, expert = heapq.heappop(heap)
        if replicas[expert] >= shape.ranks:
            continue
        replicas[expert] += 1
        spare -= 1
        heapq.heappush(heap, (-load[expert] / replicas[expert], expert))
    return replicas
