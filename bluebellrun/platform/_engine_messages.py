"""What engines tell, for the processes beside them and the keeper of the maps alike."""

import msgspec

# The counts of 60 layers of 256 experts have a hundred kilobytes; all ranks may answer at once.
MAX_ANSWER_BYTES = 524_288


class Picked(msgspec.Struct):
    """How often each expert was chosen since the engine's start, set after set."""

    epoch: int
    counts: list[int]
    born: int = 0
    # The last pass that was begun.
    step: int = 0
