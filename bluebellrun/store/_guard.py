"""A key-value client that protects the service and its caller from each other.

It keeps each process within its part of the service's rates, refuses calls at once while the
service fails, and tries again, within a retry budget, what is known to have had no effect.
"""

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import TypeVar

import curio

from bluebellrun.core import Clock, TokenBucket
from bluebellrun.store._backoff import Backoff
from bluebellrun.store._breaker import CircuitBreaker
from bluebellrun.store._budget import CallAccount, CallBudget, RatePart
from bluebellrun.store._exceptions import (
    CallRefusedError,
    PlatformError,
    StoreAnswerLostError,
    StoreUnavailableError,
)
from bluebellrun.store._models import Compare, Put, Snapshot, TransactionResult
from bluebellrun.store._ports import KeyValueStore, Watch

MAX_TRIES = 3
RETRY_RATIO = 0.2
RETRY_BURST = 5.0
LONGEST_WAIT_S = 2.0

AnswerT = TypeVar("AnswerT")


class GuardedStore:
    """The port of the key-value service, guarded."""

    def __init__(self, store: KeyValueStore, part: RatePart, clock: Clock, random: Random) -> None:
        self._store = store
        self._clock = clock
        self._random = random
        self._budget = CallBudget(part, clock.now())
        self._breaker = CircuitBreaker(random)
        self._retries = RETRY_BURST

    @property
    def account(self) -> CallAccount:
        """Return the calls made so far."""
        return self._budget.account

    @property
    def available(self) -> bool:
        """Return whether the service answered lately."""
        return not self._breaker.is_open

    async def get(self, key: str) -> Snapshot:
        """Read one key."""
        return await self._guard(lambda: self._store.get(key), write=False)

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix."""
        return await self._guard(lambda: self._store.read_prefix(prefix), write=False)

    async def read_revisions(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix without their values."""
        return await self._guard(lambda: self._store.read_revisions(prefix), write=False)

    async def transact(self, compares: Sequence[Compare], puts: Sequence[Put]) -> TransactionResult:
        """Do all writes if all conditions hold, or none."""
        return await self._guard(lambda: self._store.transact(compares, puts), write=True)

    async def grant_lease(self, ttl_s: int) -> int:
        """Return the id of a new lease."""
        return await self._guard(lambda: self._store.grant_lease(ttl_s), write=True)

    async def keep_alive(self, lease: int) -> int:
        """Renew a lease and return its time to live in seconds; 0 means it has lapsed."""
        return await self._guard(lambda: self._store.keep_alive(lease), write=True)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease; keys bound to it are deleted."""
        await self._guard(lambda: self._store.revoke_lease(lease), write=True)

    async def watch(self, prefix: str, from_revision: int) -> Watch:
        """Follow changes below a prefix from a revision on; counted as a read."""
        watch = await self._guard(lambda: self._store.watch(prefix, from_revision), write=False)
        self.account.watches += 1
        self.account.reads -= 1
        return watch

    async def _guard(self, call: Callable[[], Awaitable[AnswerT]], write: bool) -> AnswerT:
        """Make a call, and again where that is safe and within the budget."""
        backoff = Backoff(self._random)
        tries = 0
        while True:
            tries += 1
            try:
                answer = await self._try(call, write)
            except CallRefusedError:
                raise
            except StoreUnavailableError:
                if tries >= MAX_TRIES or not self._take_retry():
                    raise
                await curio.sleep(backoff.pause_s())
                continue
            self._retries = min(RETRY_BURST, self._retries + RETRY_RATIO)
            return answer

    async def _try(self, call: Callable[[], Awaitable[AnswerT]], write: bool) -> AnswerT:
        """Make one call, once the budget and the breaker allow it."""
        await self._wait_for_budget(self._budget.bucket(write))
        if not self._breaker.allows(self._clock.now()):
            raise CallRefusedError("the key-value service fails; calls are held back for a moment")
        self._count(write)
        settled = False
        try:
            answer = await call()
            self._breaker.succeeded()
            settled = True
        except (StoreUnavailableError, StoreAnswerLostError):
            settled = True
            self.account.failures += 1
            self._breaker.failed(self._clock.now())
            raise
        except PlatformError:
            settled = True
            self._breaker.succeeded()
            raise
        finally:
            if not settled:
                self._breaker.abandoned()
        return answer

    async def _wait_for_budget(self, bucket: TokenBucket) -> None:
        """Wait for this process's turn; raise ``CallRefusedError`` when that is too long."""
        wait_s = bucket.reserve(self._clock.now())
        if wait_s > LONGEST_WAIT_S:
            bucket.refund()
            self.account.over_budget += 1
            raise CallRefusedError(
                f"this process is over its part of the key-value service's rate by {wait_s:.1f} s;"
                " raise --fleet-size only if more processes share the service"
            )
        if wait_s > 0:
            await curio.sleep(wait_s)

    def _count(self, write: bool) -> None:
        """Count a call."""
        if write:
            self.account.writes += 1
        else:
            self.account.reads += 1

    def _take_retry(self) -> bool:
        """Return whether the retry budget allows another try."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True
