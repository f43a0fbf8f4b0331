"""The ledger of one service in one process; it applies the actions of shard logs to the store."""

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

INITIAL_RETRY_PAUSE_S = 0.02
MAX_RETRY_PAUSE_S = 1.0
MS_PER_S = 1_000
MAX_SHARDS_PER_WRITE = 32

_log = get_logger("ledger")


def wall_clock_ms() -> int:
    """Return milliseconds since the epoch."""
    return int(time.time() * MS_PER_S)


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Settings for a ledger's use of the store; times in seconds.

    Settlements wait up to ``settle_delay_s`` so that several share a write; claims never wait.
    """

    shards: int = 4
    writes_per_s: float = 100.0
    write_burst: float = 10.0
    settle_delay_s: float = 0.05
    limits: LedgerLimits = field(default_factory=LedgerLimits)


@dataclass(slots=True)
class _Shard:
    """A shard's log, and the backoff of its calls to the store."""

    log: ShardLog
    retry_at: float = 0.0
    pause_s: float = INITIAL_RETRY_PAUSE_S

    def record_failure(self, now: float) -> None:
        """Delay the next attempt; the delay doubles with each consecutive failure."""
        self.retry_at = now + self.pause_s
        self.pause_s = min(MAX_RETRY_PAUSE_S, self.pause_s * 2)

    def record_success(self) -> None:
        """Reset the backoff."""
        self.pause_s = INITIAL_RETRY_PAUSE_S


class _Waiter:
    """A claim that is waiting for a decision."""

    def __init__(self) -> None:
        self.decided = curio.Event()
        self.decision: Decision | None = None


class Ledger:
    """Claim keys durably and record the results of the claims."""

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
        self._work_available = curio.Event()
        self._claim_waiting = curio.Event()
        self._task: Any = None
        self._stored_shards = 0
        self._override_logged = False
        self._shard_count_lock = curio.Lock()
        self._shards: dict[int, _Shard] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._settlement_events: dict[str, curio.Event] = {}

    @property
    def shards(self) -> int:
        """Return the stored number of shards, or the configured one until it has been read."""
        return self._stored_shards or self._settings.shards

    @property
    def busy(self) -> bool:
        """Return whether any claim or settlement is not in the store yet."""
        return any(shard.log.busy for shard in self._shards.values())

    async def claim(self, record: LedgerRecord, timeout_s: float) -> Decision:
        """Claim a key for an attempt; ``Granted`` means that the claim is durable.

        Returns ``Declined`` without a decision within ``timeout_s``.
        """
        async with curio.ignore_after(timeout_s):
            await self._load_shard_count()
        if not self._stored_shards:
            return Declined(f"the key-value service did not answer within {timeout_s:g} s")
        shard = await self._get_shard(record.key)
        waiter = self._waiters.setdefault(record.attempt, _Waiter())
        shard.log.claim(record)
        await self._claim_waiting.set()
        await self._work_available.set()
        try:
            async with curio.ignore_after(timeout_s):
                await waiter.decided.wait()
        finally:
            self._waiters.pop(record.attempt, None)
            if waiter.decision is None:
                shard.log.abandon(record.attempt)
                await self._work_available.set()
        if waiter.decision is None:
            return Declined(f"the key-value service did not answer within {timeout_s:g} s")
        return waiter.decision

    async def settle(self, record: LedgerRecord, timeout_s: float) -> bool:
        """Record the result of a claim; return whether it became durable within ``timeout_s``."""
        async with curio.ignore_after(timeout_s):
            await self._load_shard_count()
        if not self._stored_shards:
            return False
        shard = await self._get_shard(record.key)
        settled = self._settlement_events.setdefault(record.attempt, curio.Event())
        shard.log.settle(record)
        await self._work_available.set()
        async with curio.ignore_after(timeout_s):
            await settled.wait()
        return settled.is_set()

    async def _load_shard_count(self) -> None:
        """Adopt the number of shards that the service's first process stored.

        Processes with different numbers would look for a key in different shards.
        """
        pause_s = INITIAL_RETRY_PAUSE_S
        async with self._shard_count_lock:
            while not self._stored_shards:
                try:
                    self._stored_shards = await self._read_shard_count()
                except (PlatformError, ValueError) as error:
                    _log.warning("reading the number of shards failed", error=repr(error))
                    await curio.sleep(pause_s)
                    pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
        if self._stored_shards != self._settings.shards and not self._override_logged:
            self._override_logged = True
            _log.warning(
                "configured number of shards overridden by the stored one",
                stored=self._stored_shards,
            )

    async def _read_shard_count(self) -> int:
        """Return the stored number of shards; store the configured one first if there is none."""
        key = f"{self._prefix}/shards"
        stored = (await self._store.get(key)).get(key)
        if stored is None:
            configured = str(self._settings.shards).encode()
            await self._store.transact([Compare(key, 0)], [Put(key, configured)])
            stored = (await self._store.get(key)).get(key)
        return 0 if stored is None else int(stored.value)

    async def _get_shard(self, key: str) -> _Shard:
        """Return the shard of a key; the first call starts the writer task."""
        number = shard_of(key, self.shards)
        shard = self._shards.get(number)
        if shard is None:
            log = ShardLog(f"{self._prefix}/{number:02d}", self._settings.limits)
            shard = self._shards[number] = _Shard(log)
        if self._task is None:
            self._task = await curio.spawn(self._run_writer, daemon=True)
        return shard

    async def _run_writer(self) -> None:
        """Write the shards' logs until cancelled; segments that are ready share a transaction."""
        while True:
            await self._work_available.wait()
            self._work_available.clear()
            await self._wait_for_batch()
            while busy := [shard for shard in self._shards.values() if shard.log.busy]:
                await self._wait_for_rate_limit()
                now = self._clock.now()
                due = [shard for shard in busy if shard.retry_at <= now]
                await self._execute_actions(due)
                if not due:
                    await curio.sleep(min(shard.retry_at for shard in busy) - now)

    async def _wait_for_batch(self) -> None:
        """Wait for more settlements to batch, unless a claim is waiting."""
        if not any(shard.log.urgent for shard in self._shards.values()):
            async with curio.ignore_after(self._settings.settle_delay_s):
                await self._claim_waiting.wait()
        self._claim_waiting.clear()

    async def _wait_for_rate_limit(self) -> None:
        """Wait until the rate limit allows another call to the store."""
        await curio.sleep(self._budget.reserve(self._clock.now()))

    async def _execute_actions(self, due: list[_Shard]) -> None:
        """Execute the next action of each shard; segments of several shards share a transaction."""
        segments: list[tuple[_Shard, Commit]] = []
        for shard in due:
            action = shard.log.next_action(self._now_ms())
            await self._deliver(shard)
            match action:
                case ReadShard(prefix):
                    await self._read_shard(shard, prefix)
                case Commit(head=None):
                    segments.append((shard, action))
                case Commit():
                    await self._commit([(shard, action)])
        for start in range(0, len(segments), MAX_SHARDS_PER_WRITE):
            await self._commit(segments[start : start + MAX_SHARDS_PER_WRITE])

    async def _read_shard(self, shard: _Shard, prefix: str) -> None:
        """Read a shard from the store."""
        try:
            snapshot = await self._store.read_prefix(f"{prefix}/")
            shard.log.on_read(snapshot, self._now_ms())
        except PlatformError as error:
            _log.warning("store unavailable", error=str(error))
            shard.record_failure(self._clock.now())
        except (msgspec.MsgspecError, KeyError) as error:
            _log.error("decoding a shard failed", prefix=prefix, error=repr(error))
            shard.record_failure(self._clock.now())
        else:
            shard.record_success()

    async def _commit(self, writes: list[tuple[_Shard, Commit]]) -> None:
        """Execute the conditional writes of several shards in one transaction, all or none."""
        compares = [compare for _, commit in writes for compare in commit.compares]
        puts = [put for _, commit in writes for put in commit.puts]
        shards = [shard for shard, _ in writes]
        try:
            result = await self._store.transact(compares, puts)
        except StoreAnswerLostError as error:
            _log.warning("store answer lost, write in doubt", error=str(error))
            for shard in shards:
                shard.log.on_answer_lost()
                shard.record_failure(self._clock.now())
            return
        except PlatformError as error:
            _log.warning("store unavailable", error=str(error))
            for shard in shards:
                shard.log.on_unavailable()
                shard.record_failure(self._clock.now())
            return
        for shard in shards:
            shard.record_success()
            if result.succeeded:
                shard.log.on_committed(result.revision, self._now_ms())
            else:
                shard.log.on_conflict()
            await self._deliver(shard)

    async def _deliver(self, shard: _Shard) -> None:
        """Pass decisions and completed settlements to the callers waiting for them."""
        for attempt in shard.log.pop_settled():
            event = self._settlement_events.pop(attempt, None)
            if event is not None:
                await event.set()
        for attempt, decision in shard.log.pop_decisions():
            waiter = self._waiters.get(attempt)
            if waiter is not None:
                waiter.decision = decision
                await waiter.decided.set()
