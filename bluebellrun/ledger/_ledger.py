"""The ledger of one service at one process: shard logs driven against the store."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec

from bluebellrun.core import Clock
from bluebellrun.ledger._keys import shard_of
from bluebellrun.ledger._log import Commit, ReadShard, ShardLog
from bluebellrun.ledger._models import Decision, Declined, LedgerLimits, LedgerRecord
from bluebellrun.ledger._pacing import CallBudget
from bluebellrun.platform import (
    KeyValueStore,
    PlatformError,
    StoreAnswerLostError,
)
from bluebellrun.telemetry import get_logger

RETRY_FIRST_S = 0.02
RETRY_LONGEST_S = 1.0
MS_PER_S = 1_000

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
    """A shard's log and the task that writes it."""

    log: ShardLog
    wake: curio.Event = field(default_factory=curio.Event)
    urgent: curio.Event = field(default_factory=curio.Event)
    task: Any = None


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
        self._budget = CallBudget(settings.writes_per_s, settings.write_burst, clock)
        self._shards: dict[int, _Shard] = {}
        self._waiters: dict[str, _Waiter] = {}

    @property
    def shards(self) -> int:
        """Return how many shards the keys are spread over."""
        return self._settings.shards

    @property
    def busy(self) -> bool:
        """Return whether anything is not in the store yet."""
        return any(shard.log.busy for shard in self._shards.values())

    async def claim(self, record: LedgerRecord, timeout_s: float) -> Decision:
        """Claim a key for an attempt; ``Granted`` means that the claim is durable."""
        shard = await self._shard(record.key)
        waiter = self._waiters.setdefault(record.attempt, _Waiter())
        shard.log.claim(record)
        await shard.wake.set()
        await shard.urgent.set()
        try:
            async with curio.ignore_after(timeout_s):
                await waiter.decided.wait()
        finally:
            self._waiters.pop(record.attempt, None)
            if waiter.decision is None:
                shard.log.abandon(record.attempt)
                await shard.wake.set()
        if waiter.decision is None:
            return Declined(f"the key-value service did not answer within {timeout_s:g} s")
        return waiter.decision

    async def settle(self, record: LedgerRecord) -> None:
        """Note what became of a claim; it is written soon, together with others."""
        shard = await self._shard(record.key)
        shard.log.settle(record)
        await shard.wake.set()

    async def _shard(self, key: str) -> _Shard:
        """Return the shard of a key, with its task running."""
        number = shard_of(key, self._settings.shards)
        shard = self._shards.get(number)
        if shard is None:
            log = ShardLog(f"{self._prefix}/{number:02d}", self._settings.limits)
            shard = self._shards[number] = _Shard(log)
            shard.task = await curio.spawn(self._run, shard, daemon=True)
        return shard

    async def _run(self, shard: _Shard) -> None:
        """Write a shard's log for ever."""
        pause_s = RETRY_FIRST_S
        while True:
            await shard.wake.wait()
            shard.wake.clear()
            await self._collect(shard)
            while shard.log.busy:
                await curio.sleep(self._budget.take())
                if await self._step(shard):
                    pause_s = RETRY_FIRST_S
                    continue
                await curio.sleep(pause_s)
                pause_s = min(RETRY_LONGEST_S, pause_s * 2)

    async def _collect(self, shard: _Shard) -> None:
        """Let settlements gather unless a claim waits."""
        if not shard.log.urgent:
            async with curio.ignore_after(self._settings.settle_delay_s):
                await shard.urgent.wait()
        shard.urgent.clear()

    async def _step(self, shard: _Shard) -> bool:
        """Do the next action; return false when the store could not be reached."""
        action = shard.log.next_action(self._now_ms())
        await self._deliver(shard)
        reached = True
        try:
            match action:
                case ReadShard(prefix):
                    snapshot = await self._store.read_prefix(f"{prefix}/")
                    shard.log.on_read(snapshot, self._now_ms())
                case Commit():
                    await self._commit(shard, action)
        except StoreAnswerLostError as error:
            _log.warning("answer of the store lost", error=str(error))
            shard.log.on_answer_lost()
            reached = False
        except PlatformError as error:
            _log.warning("store unavailable", error=str(error))
            if isinstance(action, Commit):
                shard.log.on_unavailable()
            reached = False
        except msgspec.MsgspecError as error:
            _log.error("a shard cannot be read", error=str(error))
            reached = False
        await self._deliver(shard)
        return reached

    async def _commit(self, shard: _Shard, commit: Commit) -> None:
        """Do one conditional write."""
        result = await self._store.transact(commit.compares, commit.puts)
        if result.succeeded:
            shard.log.on_committed(self._now_ms())
        else:
            shard.log.on_conflict()

    async def _deliver(self, shard: _Shard) -> None:
        """Hand decisions to the claims that wait for them."""
        for attempt, decision in shard.log.take_answers():
            waiter = self._waiters.get(attempt)
            if waiter is not None:
                waiter.decision = decision
                await waiter.decided.set()
