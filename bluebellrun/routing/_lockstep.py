"""Select the ranks of a lockstep group that get no requests. Pure.

A step lasts as long as its slowest rank needs for its own requests, so one request at a slow rank
delays those of all ranks. Draining the slow rank costs the others less than its delay would.
"""

from collections.abc import Mapping

# From this slowness on, a rank's requests cost the group more than its slots add.
MIN_SLOWNESS_TO_DRAIN = 1.5
# If more ranks are slow, the group as a whole is, and all slots are needed.
MAX_DRAINED_FRACTION = 1 / 4


def ranks_to_drain(slowness: Mapping[str, float], size: int) -> frozenset[str]:
    """Return the ranks to drain, the slowest first and a quarter of ``size`` at max_drained.

    ``slowness`` is the ratio of each rank's step time to its typical one.
    """
    slow = [(ratio, name) for name, ratio in slowness.items() if ratio >= MIN_SLOWNESS_TO_DRAIN]
    if not slow:
        return frozenset()
    slow.sort(reverse=True)
    max_drained = min(int(size * MAX_DRAINED_FRACTION), len(slowness) - 1)
    return frozenset(name for _, name in slow[:max_drained])
