"""Prompt prefixes this entry has routed, and where their cache entries are likely to be.

Nothing here waits for cache events, which come late and with gaps. Entries need not talk to agree:
a prefix that is seen again and again belongs to the first upstream by rendezvous hash, and one
seen once follows the request that brought it.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

BLOCK_BYTES = 256
MAX_BLOCKS = 16
MAX_PREFIXES = 65_536
SHARED_USES = 2


@dataclass(slots=True)
class _Prefix:
    """How often a prefix was routed, and where last."""

    uses: int
    upstream: str


class PrefixMap:
    """Remember the prefixes used most recently."""

    def __init__(self) -> None:
        self._prefixes: OrderedDict[int, _Prefix] = OrderedDict()

    def __len__(self) -> int:
        """Return how many prefixes are remembered."""
        return len(self._prefixes)

    def homes(self, prompt: bytes, names: Sequence[str]) -> list[str]:
        """Return the upstreams likely to hold the longest known prefix, best first."""
        known = self._longest_known(prompt)
        if known is None:
            return []
        digest, prefix = known
        ranked = sorted(names, key=lambda name: _rank(digest, name), reverse=True)
        if prefix.uses < SHARED_USES and prefix.upstream in ranked:
            ranked.remove(prefix.upstream)
            ranked.insert(0, prefix.upstream)
        return ranked

    def note(self, prompt: bytes, upstream: str) -> None:
        """Note that a prompt was sent to an upstream."""
        for digest in _digests(prompt):
            prefix = self._prefixes.pop(digest, None) or _Prefix(0, upstream)
            prefix.uses += 1
            prefix.upstream = upstream
            self._prefixes[digest] = prefix
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _longest_known(self, prompt: bytes) -> tuple[int, _Prefix] | None:
        """Return the longest prefix that has been routed before."""
        longest: tuple[int, _Prefix] | None = None
        for digest in _digests(prompt):
            prefix = self._prefixes.get(digest)
            if prefix is None:
                break
            longest = digest, prefix
        return longest


def _digests(prompt: bytes) -> list[int]:
    """Return a digest of each whole number of blocks from the start of a prompt."""
    digest = 0
    digests = []
    for start in range(0, min(len(prompt), BLOCK_BYTES * MAX_BLOCKS), BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        if len(block) < BLOCK_BYTES:
            break
        digest = xxhash.xxh3_64_intdigest(block, seed=digest)
        digests.append(digest)
    return digests


def _rank(digest: int, name: str) -> int:
    """Return an upstream's rank for a prefix, the same at every entry."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=digest)
