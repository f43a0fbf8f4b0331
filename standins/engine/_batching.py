"""Continuous batching: slots, priorities and a step time that grows with the batch."""

import hashlib
import heapq
import itertools
import time
from collections import deque
from dataclasses import dataclass, field

import curio

from standins.engine._cache import PrefixCache
from standins.engine._faults import EngineFaults


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Sizes and speeds of an engine; times in seconds.

    ``preempts`` pauses the least urgent sequence for a more urgent one that waits; it resumes where
    it stood. Load is reported as it was ``load_lag_s`` ago.
    """

    slots: int = 16
    step_base_s: float = 0.01
    step_per_sequence_s: float = 0.0005
    prefill_per_token_s: float = 0.00002
    default_tokens: int = 32
    cache_tokens: int = 0
    preempts: bool = False
    load_lag_s: float = 0.5


@dataclass(slots=True)
class Sequence:
    """One request inside the engine."""

    request: str
    prompt: bytes
    max_tokens: int
    priority: int
    produced: int = 0
    prefilled: bool = False
    cancelled: bool = False
    changed: curio.Event = field(default_factory=curio.Event)

    @property
    def finished(self) -> bool:
        """Return whether all tokens have been produced."""
        return self.produced >= self.max_tokens

    def token(self, index: int) -> str:
        """Return one token of the answer, which depends only on the prompt and the index."""
        seed = self.prompt + index.to_bytes(4, "big")
        return hashlib.blake2b(seed, digest_size=3).hexdigest() + " "


class Batcher:
    """Advance all running sequences by one token each step."""

    def __init__(self, settings: EngineSettings, faults: EngineFaults) -> None:
        self._settings = settings
        self._faults = faults
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._order = itertools.count()
        self._running: list[Sequence] = []
        self._work = curio.Event()
        self._steps = 0
        self._tokens = 0
        self._step_s = 0.0
        self._cache = PrefixCache(settings.cache_tokens)
        self._preempted = 0
        self._loads: deque[tuple[float, int, int]] = deque([(0.0, 0, 0)], maxlen=1_024)

    @property
    def cache(self) -> PrefixCache:
        """Return the prefix cache."""
        return self._cache

    @property
    def preempted(self) -> int:
        """Return how often a sequence was paused for a more urgent one."""
        return self._preempted

    @property
    def waiting(self) -> int:
        """Return how many sequences wait for a slot."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many sequences hold a slot."""
        return len(self._running)

    def lagging_load(self, now: float) -> tuple[int, int]:
        """Return how many waited and ran some time ago, as the engine reports it."""
        while len(self._loads) > 1 and self._loads[1][0] <= now - self._settings.load_lag_s:
            self._loads.popleft()
        _, waiting, running = self._loads[0]
        return waiting, running

    @property
    def steps(self) -> int:
        """Return how many steps have been made."""
        return self._steps

    @property
    def tokens(self) -> int:
        """Return how many tokens have been produced."""
        return self._tokens

    @property
    def step_s(self) -> float:
        """Return the duration of the last step in seconds."""
        return self._step_s

    async def add(self, sequence: Sequence) -> None:
        """Queue a sequence by priority."""
        heapq.heappush(self._waiting, (sequence.priority, next(self._order), sequence))
        await self._work.set()

    async def run(self) -> None:
        """Make steps for as long as there is work."""
        while True:
            self._admit()
            if not self._running:
                self._loads.append((time.monotonic(), self.waiting, 0))
                self._work.clear()
                await self._work.wait()
                continue
            await self._step()

    def _admit(self) -> None:
        """Give free slots to waiting sequences, the most urgent first."""
        self._running = [s for s in self._running if not (s.finished or s.cancelled)]
        while self._waiting and len(self._running) < self._settings.slots:
            _, _, sequence = heapq.heappop(self._waiting)
            if not sequence.cancelled:
                self._running.append(sequence)
        if self._settings.preempts:
            self._preempt()

    def _preempt(self) -> None:
        """Pause less urgent sequences while more urgent ones wait."""
        while self._waiting and self._running:
            least = max(self._running, key=lambda sequence: sequence.priority)
            priority, _, sequence = self._waiting[0]
            if priority >= least.priority:
                return
            heapq.heappop(self._waiting)
            if sequence.cancelled:
                continue
            self._running.remove(least)
            self._running.append(sequence)
            heapq.heappush(self._waiting, (least.priority, next(self._order), least))
            self._preempted += 1

    async def _step(self) -> None:
        """Produce one token for each running sequence."""
        settings = self._settings
        fresh = [s for s in self._running if not s.prefilled]
        now = time.monotonic()
        missed = sum(self._cache.use(s.prompt, now) for s in fresh)
        prefill_s = missed * settings.prefill_per_token_s
        batch_s = settings.step_per_sequence_s * len(self._running)
        self._step_s = (settings.step_base_s + batch_s + prefill_s) * self._faults.slow_factor
        stalled_s = max(0.0, self._faults.stall_until - time.monotonic())
        await curio.sleep(self._step_s + stalled_s)
        self._steps += 1
        self._loads.append((time.monotonic(), self.waiting, self.running))
        for sequence in self._running:
            sequence.prefilled = True
            sequence.produced += 1
            self._tokens += 1
            await sequence.changed.set()
