"""The cost of rebalancing, which coordinators keep in the key-value service."""

from bluebellrun.plans import read_progress
from bluebellrun.reports._report import RebalancingCost
from bluebellrun.store import KeyValueStore


async def read_rebalancing(store: KeyValueStore, prefix: str) -> list[RebalancingCost]:
    """Return what rebalancing has cost each group that has told."""
    told = await read_progress(store, prefix)
    return [
        RebalancingCost(item.group, item.activations, item.weights_moved_bytes)
        for item in sorted(told.values(), key=lambda item: item.group)
    ]
