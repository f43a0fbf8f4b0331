"""Which ranks of a group that takes its steps together get no requests. Pure.

A step lasts as long as its slowest rank needs for its own requests. One request at a slow rank
holds up those of all ranks, so a slow rank serves the group best with none: what it would have
taken weighs less on the others than on everybody through it.
"""

from collections.abc import Mapping

# From here on a rank's own requests cost the group more than the places that it gives.
SLOWNESS_TO_EMPTY = 1.5
# Where more are slow, it is the group that is slow, and the places of all are needed.
MOST_EMPTIED_PART = 1 / 4


def ranks_to_drain(slowness: Mapping[str, float], size: int) -> frozenset[str]:
    """Return the ranks to send nothing to, the slowest first and a quarter of ``size`` at most.

    ``slowness`` is how many times as long as usual each takes.
    """
    slow = [(times, name) for name, times in slowness.items() if times >= SLOWNESS_TO_EMPTY]
    if not slow:
        return frozenset()
    slow.sort(reverse=True)
    most = min(int(size * MOST_EMPTIED_PART), len(slowness) - 1)
    return frozenset(name for _, name in slow[:most])
