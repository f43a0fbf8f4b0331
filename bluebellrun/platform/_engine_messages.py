"""Engine messages used by both the sidecars and the holder of the placement role."""

import msgspec

# The counts of 60 layers of 256 experts take about 100 kB; all ranks may answer at once.
MAX_ANSWER_BYTES = 524_288


class Picked(msgspec.Struct):
    """How often each expert was chosen since the engine started, layer by layer."""

    epoch: int
    counts: list[int]
    born: int = 0
    # The last pass that was started.
    step: int = 0
