"""Compress bodies that the project's own processes send each other."""

import zlib

COMPRESSED = ("content-encoding", "deflate")
# Below this size compressing costs more time than it saves.
COMPRESSED_FROM_BYTES = 1_000
# The fastest level: it saves nearly as much on numbers as the others.
COMPRESSION_LEVEL = 1
LONGEST_UNPACKED_BYTES = 4_000_000


def compress_body(body: bytes) -> bytes:
    """Return a body compressed."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def decompress_body(body: bytes) -> bytes:
    """Return a compressed body as it was; raise ``ValueError`` if it is not one."""
    decompress = zlib.decompressobj()
    try:
        data = decompress.decompress(body, LONGEST_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"a body of {len(body)} bytes is not compressed: {error}") from error
    if decompress.unconsumed_tail:
        raise ValueError(f"a body unpacks to over {LONGEST_UNPACKED_BYTES} bytes")
    return data
