"""The ledger of one service at one process: shard logs driven against the store."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec

from bluebellrun.core import Clock, TokenBucket
from bluebellrun.ledger._keys import shard_of
from bluebellrun.ledger._log import Commit, ReadShard, ShardLog
from bluebellrun.ledger._models import Decision, Declined, LedgerLimits, LedgerRecord
from bluebellrun.store import (
    Compare,
    KeyValueStore,
    PlatformError,
    Put,
    StoreAnswerLostError,
)
from bluebellrun.telemetry import get_logger

RETRY_FIRST_S = 0.02
RETRY_LONGEST_S = 1.0
MS_PER_S = 1_000
MAX_SHARDS_IN_WRITE = 32

_log = get_logger("ledger")


def wall_clock_ms() -> int:
    """Return milliseconds since the epoch."""
    return int(time.time() * MS_PER_S)


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """How a ledger uses the store; times in seconds.

    Settlements wait up to ``settle_delay_s`` for others to share a write with; claims never do.
    """

    shards: int = 4
    writes_per_s: float = 100.0
    write_burst: float = 10.0
    settle_delay_s: float = 0.05
    limits: LedgerLimits = field(default_factory=LedgerLimits)


@dataclass(slots=True)
class _Shard:
    """A shard's log, and when it may be tried again after a failure of the store."""

    log: ShardLog
    retry_at: float = 0.0
    pause_s: float = RETRY_FIRST_S

    def fail(self, now: float) -> None:
        """Put the next try off, longer after each failure."""
        self.retry_at = now + self.pause_s
        self.pause_s = min(RETRY_LONGEST_S, self.pause_s * 2)

    def succeed(self) -> None:
        """Forget earlier failures."""
        self.pause_s = RETRY_FIRST_S


class _Waiter:
    """A claim that waits for its decision."""

    def __init__(self) -> None:
        self.decided = curio.Event()
        self.decision: Decision | None = None


class Ledger:
    """Claim keys durably and note what became of them."""

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        settings: LedgerSettings,
        clock: Clock,
        now_ms: Callable[[], int] = wall_clock_ms,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._settings = settings
        self._now_ms = now_ms
        self._clock = clock
        self._budget = TokenBucket(settings.writes_per_s, settings.write_burst, clock.now())
        self._wake = curio.Event()
        self._urgent = curio.Event()
        self._task: Any = None
        self._agreed_shards = 0
        self._warned = False
        self._agreeing = curio.Lock()
        self._shards: dict[int, _Shard] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._settled: dict[str, curio.Event] = {}

    @property
    def shards(self) -> int:
        """Return how many shards the keys are spread over, as far as is known."""
        return self._agreed_shards or self._settings.shards

    @property
    def busy(self) -> bool:
        """Return whether anything is not in the store yet."""
        return any(shard.log.busy for shard in self._shards.values())

    async def claim(self, record: LedgerRecord, timeout_s: float) -> Decision:
        """Claim a key for an attempt; ``Granted`` means that the claim is durable."""
        async with curio.ignore_after(timeout_s):
            await self._agree_on_shards()
        if not self._agreed_shards:
            return Declined(f"the key-value service did not answer within {timeout_s:g} s")
        shard = await self._shard(record.key)
        waiter = self._waiters.setdefault(record.attempt, _Waiter())
        shard.log.claim(record)
        await self._urgent.set()
        await self._wake.set()
        try:
            async with curio.ignore_after(timeout_s):
                await waiter.decided.wait()
        finally:
            self._waiters.pop(record.attempt, None)
            if waiter.decision is None:
                shard.log.abandon(record.attempt)
                await self._wake.set()
        if waiter.decision is None:
            return Declined(f"the key-value service did not answer within {timeout_s:g} s")
        return waiter.decision

    async def settle(self, record: LedgerRecord, timeout_s: float) -> bool:
        """Note what became of a claim; return whether that is durable within the timeout."""
        async with curio.ignore_after(timeout_s):
            await self._agree_on_shards()
        if not self._agreed_shards:
            return False
        shard = await self._shard(record.key)
        settled = self._settled.setdefault(record.attempt, curio.Event())
        shard.log.settle(record)
        await self._wake.set()
        async with curio.ignore_after(timeout_s):
            await settled.wait()
        return settled.is_set()

    async def _agree_on_shards(self) -> None:
        """Use the number of shards that the first process of the service stored.

        Two processes with different numbers would look for a key in different shards.
        """
        pause_s = RETRY_FIRST_S
        async with self._agreeing:
            while not self._agreed_shards:
                try:
                    self._agreed_shards = await self._read_shards()
                except (PlatformError, ValueError) as error:
                    _log.warning("the number of shards is not known yet", error=repr(error))
                    await curio.sleep(pause_s)
                    pause_s = min(RETRY_LONGEST_S, pause_s * 2)
        if self._agreed_shards != self._settings.shards and not self._warned:
            self._warned = True
            _log.warning("stored number of shards used", stored=self._agreed_shards)

    async def _read_shards(self) -> int:
        """Return the stored number of shards, after storing this process's where none is."""
        key = f"{self._prefix}/shards"
        stored = (await self._store.get(key)).get(key)
        if stored is None:
            wanted = str(self._settings.shards).encode()
            await self._store.transact([Compare(key, 0)], [Put(key, wanted)])
            stored = (await self._store.get(key)).get(key)
        return 0 if stored is None else int(stored.value)

    async def _shard(self, key: str) -> _Shard:
        """Return the shard of a key; the first one starts the task that writes."""
        number = shard_of(key, self.shards)
        shard = self._shards.get(number)
        if shard is None:
            log = ShardLog(f"{self._prefix}/{number:02d}", self._settings.limits)
            shard = self._shards[number] = _Shard(log)
        if self._task is None:
            self._task = await curio.spawn(self._run, daemon=True)
        return shard

    async def _run(self) -> None:
        """Write the shards' logs for ever, all that are ready in one transaction."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._collect()
            while busy := [shard for shard in self._shards.values() if shard.log.busy]:
                await self._pace()
                now = self._clock.now()
                due = [shard for shard in busy if shard.retry_at <= now]
                await self._step(due)
                if not due:
                    await curio.sleep(min(shard.retry_at for shard in busy) - now)

    async def _collect(self) -> None:
        """Let settlements gather unless a claim waits."""
        if not any(shard.log.urgent for shard in self._shards.values()):
            async with curio.ignore_after(self._settings.settle_delay_s):
                await self._urgent.wait()
        self._urgent.clear()

    async def _pace(self) -> None:
        """Wait until the budget allows another call to the store."""
        await curio.sleep(self._budget.reserve(self._clock.now()))

    async def _step(self, due: list[_Shard]) -> None:
        """Do the next action of each shard; segments of several shards share a transaction."""
        segments: list[tuple[_Shard, Commit]] = []
        for shard in due:
            action = shard.log.next_action(self._now_ms())
            await self._deliver(shard)
            match action:
                case ReadShard(prefix):
                    await self._read(shard, prefix)
                case Commit(head=None):
                    segments.append((shard, action))
                case Commit():
                    await self._commit([(shard, action)])
        for start in range(0, len(segments), MAX_SHARDS_IN_WRITE):
            await self._commit(segments[start : start + MAX_SHARDS_IN_WRITE])

    async def _read(self, shard: _Shard, prefix: str) -> None:
        """Read a shard."""
        try:
            snapshot = await self._store.read_prefix(f"{prefix}/")
            shard.log.on_read(snapshot, self._now_ms())
        except PlatformError as error:
            _log.warning("store unavailable", error=str(error))
            shard.fail(self._clock.now())
        except (msgspec.MsgspecError, KeyError) as error:
            _log.error("a shard cannot be read", prefix=prefix, error=repr(error))
            shard.fail(self._clock.now())
        else:
            shard.succeed()

    async def _commit(self, writes: list[tuple[_Shard, Commit]]) -> None:
        """Do the conditional writes of several shards, all or none."""
        compares = [compare for _, commit in writes for compare in commit.compares]
        puts = [put for _, commit in writes for put in commit.puts]
        shards = [shard for shard, _ in writes]
        try:
            result = await self._store.transact(compares, puts)
        except StoreAnswerLostError as error:
            _log.warning("answer of the store lost", error=str(error))
            for shard in shards:
                shard.log.on_answer_lost()
                shard.fail(self._clock.now())
            return
        except PlatformError as error:
            _log.warning("store unavailable", error=str(error))
            for shard in shards:
                shard.log.on_unavailable()
                shard.fail(self._clock.now())
            return
        for shard in shards:
            shard.succeed()
            if result.succeeded:
                shard.log.on_committed(result.revision, self._now_ms())
            else:
                shard.log.on_conflict()
            await self._deliver(shard)

    async def _deliver(self, shard: _Shard) -> None:
        """Hand decisions and settlements to those who wait for them."""
        for attempt in shard.log.take_settled():
            event = self._settled.pop(attempt, None)
            if event is not None:
                await event.set()
        for attempt, decision in shard.log.take_answers():
            waiter = self._waiters.get(attempt)
            if waiter is not None:
                waiter.decision = decision
                await waiter.decided.set()
