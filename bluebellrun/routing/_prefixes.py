"""Prompt prefixes that this entry has routed, and the likely locations of their cache entries.

Cache events are not used, as they are late and incomplete. Entries agree without communicating: a
prefix seen repeatedly belongs to the first upstream by rendezvous hash, and one seen once follows
the request that brought it. The length of a customer's shared prefixes is learned, so that an entry
sends a new one to the same home as the others.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

BLOCK_BYTES = 256
MAX_BLOCKS = 16
MAX_PREFIXES = 65_536
SHARED_USES = 2
MAX_CUSTOMERS = 4_096


@dataclass(slots=True)
class _Prefix:
    """How often a prefix was routed, and where last."""

    uses: int
    upstream: str


class PrefixMap:
    """Store the prefixes used most recently."""

    def __init__(self) -> None:
        self._prefixes: OrderedDict[int, _Prefix] = OrderedDict()
        self._shared_blocks: OrderedDict[str, int] = OrderedDict()

    def __len__(self) -> int:
        """Return how many prefixes are stored."""
        return len(self._prefixes)

    def homes(self, customer: str, prompt: bytes, names: Sequence[str]) -> list[str]:
        """Return the upstreams likely to hold a prompt's prefix, best first, or none."""
        digests = _digests(prompt)
        known = self._known_blocks(digests)
        if known == 0:
            blocks = self._shared_blocks.get(customer, 0)
            return _ranked(digests[blocks - 1], names) if 0 < blocks <= len(digests) else []
        prefix = self._prefixes[digests[known - 1]]
        ranked = _ranked(digests[known - 1], names)
        if prefix.uses < SHARED_USES and prefix.upstream in ranked:
            ranked.remove(prefix.upstream)
            ranked.insert(0, prefix.upstream)
        return ranked

    def record(self, customer: str, prompt: bytes, upstream: str) -> None:
        """Record that a customer's prompt was sent to an upstream."""
        digests = _digests(prompt)
        known = self._known_blocks(digests)
        if known and self._prefixes[digests[known - 1]].uses >= SHARED_USES:
            self._learn_length(customer, known)
        for digest in digests:
            prefix = self._prefixes.pop(digest, None) or _Prefix(0, upstream)
            prefix.uses += 1
            prefix.upstream = upstream
            self._prefixes[digest] = prefix
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def _known_blocks(self, digests: Sequence[int]) -> int:
        """Return the length in blocks of the longest known prefix."""
        known = 0
        while known < len(digests) and digests[known] in self._prefixes:
            known += 1
        return known

    def _learn_length(self, customer: str, blocks: int) -> None:
        """Record the length of a prefix that a customer's prompts share."""
        self._shared_blocks.pop(customer, None)
        self._shared_blocks[customer] = blocks
        if len(self._shared_blocks) > MAX_CUSTOMERS:
            self._shared_blocks.popitem(last=False)


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


def _ranked(digest: int, names: Sequence[str]) -> list[str]:
    """Return upstreams by their rank for a prefix, the same at every entry."""
    return sorted(names, key=lambda name: _rank(digest, name), reverse=True)


def _rank(digest: int, name: str) -> int:
    """Return an upstream's rank for a prefix, the same at every entry."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=digest)
