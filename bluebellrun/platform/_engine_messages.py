"""What the process beside an engine and the keeper of the maps tell each other.

An engine's counts and orders are text of ten kilobytes for a large group, and the links of its
hosts carry a few megabits a second: counts travel as differences, orders compressed.
"""

import msgspec

# A call of the project's own: the counts since those with the number in ``COUNTS_KNOWN``.
COUNTS_PATH = "/counts"
COUNTS_KNOWN = "bluebellrun-counts-known"
# The counts of 60 layers of 256 experts have a hundred kilobytes; all ranks may answer at once.
MAX_ANSWER_BYTES = 524_288


class Picked(msgspec.Struct):
    """How often each expert was chosen since the engine's start, set after set."""

    epoch: int
    counts: list[int]
    born: int = 0
    # The last pass that was begun.
    step: int = 0


class RankCountsTold(msgspec.Struct, array_like=True):
    """Counts with a number to name them by later; with ``since`` only what was added to those."""

    number: int
    since: int
    epoch: int
    born: int
    step: int
    counts: list[int]
