"""Rendezvous hashing: every process that knows the same names makes the same choice."""

from collections.abc import Iterable

import xxhash


def weight(key: str, name: str) -> int:
    """Return the 64-bit weight of a name for a key; the greatest weight is chosen."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()))


def rank_by_weight(key: str, names: Iterable[str]) -> list[str]:
    """Return the names from the greatest weight to the least."""
    return sorted(names, key=lambda name: (-weight(key, name), name))
