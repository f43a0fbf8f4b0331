"""What the process beside an engine and the keeper of the maps tell each other.

An engine's counts and orders are text of ten kilobytes for a large group, and the links of its
hosts carry a few megabits a second: counts travel as differences, orders compressed.
"""

import zlib

import msgspec

# A call of the project's own: the counts since those with the number in ``COUNTS_KNOWN``.
COUNTS_PATH = "/counts"
COUNTS_KNOWN = "bluebellrun-counts-known"
PACKED = ("content-encoding", "deflate")
# Below this size compressing costs more time than it saves.
PACKED_FROM_BYTES = 1_000
# The fastest level: it saves nearly as much on numbers as the others.
COMPRESSION_LEVEL = 1
LONGEST_UNPACKED_BYTES = 4_000_000
# A rank's counts and lists have some ten kilobytes, those of 60 layers of 256 experts a hundred; as
# many answers as a group has ranks may come at once.
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


def pack(body: bytes) -> bytes:
    """Return a body compressed."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def unpack(body: bytes) -> bytes:
    """Return a compressed body as it was; raise ``ValueError`` if it is not one."""
    decompress = zlib.decompressobj()
    try:
        data = decompress.decompress(body, LONGEST_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"a body of {len(body)} bytes is not compressed: {error}") from error
    if decompress.unconsumed_tail:
        raise ValueError(f"a body unpacks to over {LONGEST_UNPACKED_BYTES} bytes")
    return data
