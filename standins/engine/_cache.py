"""The engine's prefix cache: limited memory, least recently used blocks go first.

Its events tell which blocks were stored and evicted. They become visible late, and some never do.
"""

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random

BLOCK_BYTES = 64
BYTES_PER_TOKEN = 4
MAX_EVENTS = 4_096


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block that was stored or evicted, and when the event becomes visible in seconds."""

    number: int
    kind: str
    block: str
    visible_at: float


class PrefixCache:
    """Blocks of prompts whose state is kept."""

    def __init__(self, capacity_tokens: int, event_lag_s: float = 0.5, gap: float = 0.1) -> None:
        self._capacity_blocks = capacity_tokens * BYTES_PER_TOKEN // BLOCK_BYTES
        self._event_lag_s = event_lag_s
        self._gap = gap
        self._random = Random(1)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._numbered = 0
        self._hit_tokens = 0
        self._prompt_tokens = 0

    @property
    def hit_tokens(self) -> int:
        """Return how many prompt tokens were found in the cache."""
        return self._hit_tokens

    @property
    def prompt_tokens(self) -> int:
        """Return how many prompt tokens were looked up."""
        return self._prompt_tokens

    def use(self, prompt: bytes, now: float) -> int:
        """Store a prompt's blocks; return how many of its tokens must be computed."""
        blocks = _block_names(prompt)
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._blocks:
            hits += 1
        for block in blocks:
            self._store(block, now)
        tokens = len(prompt) // BYTES_PER_TOKEN
        hit_tokens = hits * BLOCK_BYTES // BYTES_PER_TOKEN
        self._prompt_tokens += tokens
        self._hit_tokens += hit_tokens
        return tokens - hit_tokens

    def visible_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events after a number that have become visible."""
        return [e for e in self._events if e.number > after and e.visible_at <= now]

    def _store(self, block: str, now: float) -> None:
        """Keep a block and evict what no longer fits."""
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._publish("stored", block, now)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now)

    def _publish(self, kind: str, block: str, now: float) -> None:
        """Make an event visible later, unless it is one of those that are lost."""
        self._numbered += 1
        if self._random.random() >= self._gap:
            event = CacheEvent(self._numbered, kind, block, now + self._event_lag_s)
            self._events.append(event)


def _block_names(prompt: bytes) -> list[str]:
    """Return a name for each whole block, which depends on all blocks before it."""
    digest = hashlib.blake2b(digest_size=8)
    names = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(prompt[start : start + BLOCK_BYTES])
        names.append(digest.hexdigest())
    return names
