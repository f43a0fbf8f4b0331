"""A wrapper of the key-value store with a rate limit, a circuit breaker and retries.

It keeps the process within its quota of the service's rates, rejects calls immediately while
the service fails, and retries, within a retry budget, calls that are known to have had no
effect.
"""

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import TypeVar

import curio

from bluebellrun.core import Clock, TokenBucket
from bluebellrun.store._backoff import Backoff
from bluebellrun.store._breaker import CircuitBreaker
from bluebellrun.store._budget import CallBudget, CallCounts, RateQuota
from bluebellrun.store._exceptions import (
    CallRefusedError,
    PlatformError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from bluebellrun.store._models import Compare, Put, Snapshot, TransactionResult
from bluebellrun.store._ports import KeyValueStore, Watch

MAX_ATTEMPTS = 3
RETRY_RATIO = 0.2
RETRY_BURST = 5.0
MAX_WAIT_S = 2.0

AnswerT = TypeVar("AnswerT")


class GuardedStore:
    """A ``KeyValueStore`` that limits, rejects and retries calls to the store it wraps.

    Raises ``CallRefusedError`` for a call that is not sent.
    """

    def __init__(
        self, store: KeyValueStore, quota: RateQuota, clock: Clock, random: Random
    ) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._budget = CallBudget(quota, clock.now())
        self._breaker = CircuitBreaker(random)
        self._retry_tokens = RETRY_BURST

    @property
    def call_counts(self) -> CallCounts:
        """Return the counts of the calls made so far."""
        return self._budget.call_counts

    @property
    def available(self) -> bool:
        """Return whether the circuit breaker is closed."""
        return not self._breaker.is_open

    @property
    def era(self) -> int:
        """Return the latest era that an answer has named."""
        return self._store.era

    async def get(self, key: str) -> Snapshot:
        """Read one key."""
        return await self._call_with_retries(lambda: self._store.get(key), write=False)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys with a prefix."""
        return await self._call_with_retries(lambda: self._store.read_prefix(prefix), write=False)

    async def read_revisions(self, prefix: str) -> Snapshot:
        """Read all keys with a prefix, without their values."""
        return await self._call_with_retries(
            lambda: self._store.read_revisions(prefix), write=False
        )

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        """Apply all writes atomically if all conditions hold, otherwise none."""
        return await self._call_with_retries(
            lambda: self._store.transact(compares, puts), write=True
        )

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        return await self._call_with_retries(lambda: self._store.grant_lease(ttl_s), write=True)

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 means it has expired."""
        return await self._call_with_retries(lambda: self._store.keep_alive(lease), write=True)

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        await self._call_with_retries(lambda: self._store.revoke_lease(lease), write=True)

    async def watch(self, prefix: str, from_revision: int) -> Watch:
        """Watch the changes of keys with a prefix, starting at a revision.

        Opening a watch uses the read budget and is counted as a watch.
        """
        watch = await self._call_with_retries(
            lambda: self._store.watch(prefix, from_revision), write=False
        )
        self.call_counts.watches += 1
        self.call_counts.reads -= 1
        return watch

    async def _call_with_retries(
        self, call: Callable[[], Awaitable[AnswerT]], write: bool
    ) -> AnswerT:
        """Make a call; retry it where it had no effect and the retry budget allows it."""
        backoff = Backoff(self._random)
        attempts = 0
        while True:
            attempts += 1
            try:
                answer = await self._attempt(call, write)
            except CallRefusedError:
                raise
            except StoreUnavailableError:
                if attempts >= MAX_ATTEMPTS or not self._spend_retry():
                    raise
                await curio.sleep(backoff.pause_s())
                continue
            self._retry_tokens = min(RETRY_BURST, self._retry_tokens + RETRY_RATIO)
            return answer

    async def _attempt(self, call: Callable[[], Awaitable[AnswerT]], write: bool) -> AnswerT:
        """Make one call after the rate limit and the circuit breaker allow it."""
        await self._wait_for_budget(self._budget.bucket(write))
        if not self._breaker.allows(self._clock.now()):
            raise CallRefusedError("the key-value service fails; calls are held back for a moment")
        self._count_call(write)
        recorded = False
        try:
            answer = await call()
            self._breaker.record_success()
            recorded = True
        except (StoreUnavailableError, StoreAnswerLostError):
            recorded = True
            self.call_counts.failures += 1
            self._breaker.record_failure(self._clock.now())
            raise
        except PlatformError:
            recorded = True
            self._breaker.record_success()
            raise
        finally:
            if not recorded:
                self._breaker.record_cancellation()
        return answer

    async def _wait_for_budget(self, bucket: TokenBucket) -> None:
        """Wait for a token; raise ``CallRefusedError`` if the wait exceeds ``MAX_WAIT_S``."""
        wait_s = bucket.reserve(self._clock.now())
        if wait_s > MAX_WAIT_S:
            bucket.refund()
            self.call_counts.over_budget += 1
            raise CallRefusedError(
                f"this process is over its part of the key-value service's rate by {wait_s:.1f} s;"
                " raise --fleet-size only if more processes share the service"
            )
        if wait_s > 0:
            await curio.sleep(wait_s)

    def _count_call(self, write: bool) -> None:
        """Count a call as a read or a write."""
        if write:
            self.call_counts.writes += 1
        else:
            self.call_counts.reads += 1

    def _spend_retry(self) -> bool:
        """Spend one retry from the retry budget; return whether one was left."""
        if self._retry_tokens < 1:
            return False
        self._retry_tokens -= 1
        return True
