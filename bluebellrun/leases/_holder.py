"""Acquire, renew and release a role through the key-value store.

The holder's record is a key bound to a lease of the store, created only if no such key exists.
The position in the store's history that creates it is the fencing number. When the lease expires,
the key is deleted. After the store was restored from an older copy neither the record nor the lease
can be relied on, as its id may have been granted again; the holder reads the record first.
"""

from dataclasses import dataclass, replace
from random import Random

import curio

from bluebellrun.core import Clock, new_incarnation
from bluebellrun.leases._exceptions import LeaseError
from bluebellrun.leases._models import RoleLease, RoleRecord, decode_record, encode_record
from bluebellrun.store import (
    Compare,
    KeyValueStore,
    PlatformError,
    Put,
    StoreAnswerLostError,
    StorePosition,
)
from bluebellrun.telemetry import get_logger

MAX_CLOCK_DRIFT = 0.02
RENEWALS_PER_TTL = 3
ABSENT_REVISION = 0

_log = get_logger("leases")


@dataclass(frozen=True, slots=True)
class _Claim:
    """An attempt to acquire the role whose outcome may be unknown; ``era`` is its lease's."""

    nonce: str
    lease: int
    requested_at: float
    era: int


@dataclass(frozen=True, slots=True)
class _HeldRecord:
    """The record of a role's holder as stored, and when it was created."""

    value: bytes
    created: StorePosition


class RoleHolder:
    """Acquires and renews one role for one process; times are seconds of ``clock``."""

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        role: str,
        holder: str,
        ttl_s: int,
        clock: Clock,
        random: Random,
        key: str | None = None,
    ) -> None:
        self._store = store
        self._key = key or f"{prefix}/roles/{role}"
        self._role = role
        self._holder = holder
        self._ttl_s = ttl_s
        self._clock = clock
        self._random = random
        self._claim: _Claim | None = None
        self._lease: RoleLease | None = None
        self._released = False

    @property
    def role(self) -> str:
        """Return the name of the role."""
        return self._role

    @property
    def key(self) -> str:
        """Return the key of the holder's record."""
        return self._key

    def current(self, now: float) -> RoleLease | None:
        """Return the lease if it is valid at ``now``, otherwise ``None``."""
        lease = self._lease
        return lease if lease is not None and lease.valid(now) else None

    async def acquire(self) -> RoleLease | None:
        """Acquire the role if it is free; return the lease, or ``None`` if it is held elsewhere.

        Raises ``LeaseError`` if the store is unavailable. A claim whose answer was lost is
        settled by reading back its nonce, at the latest by the next call.
        """
        try:
            return await self._acquire()
        except PlatformError as error:
            raise LeaseError(f"role {self._role!r} cannot be acquired: {error}") from error

    async def renew(self) -> RoleLease | None:
        """Renew the lease; return it, or ``None`` if the role is lost.

        Raises ``LeaseError`` if the store is unavailable; the lease held so far keeps its
        deadline.
        """
        claim, lease = self._claim, self._lease
        if claim is None or lease is None:
            return None
        try:
            return await self._renew(claim, lease.number)
        except PlatformError as error:
            raise LeaseError(f"role {self._role!r} cannot be renewed: {error}") from error

    async def release(self) -> None:
        """Stop acting for the role at once and let other processes acquire it."""
        self._released = True
        claim = self._claim
        self._clear()
        if claim is None:
            return
        try:
            await self._revoke(claim)
        except PlatformError as error:
            _log.info("role lease not revoked, it will expire", role=self._role, error=str(error))

    def is_own(self, value: bytes) -> bool:
        """Return whether a record stems from this process's claim."""
        if self._claim is None:
            return False
        try:
            return decode_record(value).nonce == self._claim.nonce
        except LeaseError as error:
            _log.warning("role record ignored", role=self._role, error=str(error))
            return False

    async def delete_record(self, position: StorePosition) -> bool:
        """Delete the record that another holder wrote at a position; return whether it was there.

        Only safe if the receivers of the role's orders refuse older fencing numbers, as the other
        holder may go on sending orders.
        Raises ``LeaseError`` if the store is unavailable or its answer is lost.
        """
        if position.era != self._store.era:
            return False
        try:
            result = await self._store.transact(
                [Compare(self._key, position.revision)], [Put(self._key, None)]
            )
        except PlatformError as error:
            raise LeaseError(f"role {self._role!r} record cannot be deleted: {error}") from error
        return result.succeeded

    async def run(self) -> None:
        """Acquire and renew the role until it is released."""
        self._released = False
        while not self._released:
            try:
                await self._step()
            except LeaseError as error:
                _log.warning("role not acquired or renewed", role=self._role, error=str(error))
            await curio.sleep(self._pause_s())

    async def _step(self) -> None:
        """Renew the role, or acquire it if it is not held."""
        if self.current(self._clock.now()) is not None:
            await self.renew()
            return
        lease = await self.acquire()
        if lease is not None:
            _log.info("role acquired", role=self._role, number=lease.number)

    def _pause_s(self) -> float:
        """Return the time to the next step, with jitter to spread contending processes."""
        return self._ttl_s / RENEWALS_PER_TTL * (0.7 + 0.3 * self._random.random())

    async def _acquire(self) -> RoleLease | None:
        """Claim the role, or settle an earlier claim."""
        held = await self._read()
        if held is not None:
            return await self._settle(held)
        requested_at = self._clock.now()
        lease_id = await self._store.grant_lease(self._ttl_s)
        claim = _Claim(new_incarnation(), lease_id, requested_at, self._store.era)
        self._clear()
        self._claim = claim
        try:
            number = await self._create(claim)
        except StoreAnswerLostError:
            held = await self._read()
            return None if held is None else await self._settle(held)
        if number is None:
            self._claim = None
            await self._revoke(claim)
            return None
        return self._set_lease(claim.requested_at, number)

    async def _revoke(self, claim: _Claim) -> None:
        """Revoke a claim's lease, unless a restore may have given its id to another process."""
        if claim.era == self._store.era:
            await self._store.revoke_lease(claim.lease)

    async def _create(self, claim: _Claim) -> int | None:
        """Create the record; return its fencing number, or ``None`` if one exists already."""
        record = RoleRecord(self._holder, claim.nonce, claim.lease)
        result = await self._store.transact(
            [Compare(self._key, ABSENT_REVISION)],
            [Put(self._key, encode_record(record), claim.lease)],
        )
        if not result.succeeded:
            return None
        return StorePosition(result.era, result.revision).number

    async def _settle(self, held: _HeldRecord) -> RoleLease | None:
        """Renew the lease if the record stems from this process's own claim."""
        claim = self._claim
        if claim is None or not self.is_own(held.value):
            self._clear()
            return None
        self._claim = claim = replace(claim, era=held.created.era)
        return await self._renew(claim, held.created.number)

    async def _renew(self, claim: _Claim, number: int) -> RoleLease | None:
        """Renew the store's lease and extend the deadline."""
        requested_at = self._clock.now()
        remaining_s = await self._store.keep_alive(claim.lease)
        if self._claim is not claim:
            return None
        if self._store.era != claim.era:
            _log.info("store restored, reading the role again", role=self._role, number=number)
            self._lease = None
            return await self._acquire()
        if remaining_s <= 0:
            _log.warning("role lost", role=self._role, number=number)
            self._clear()
            return None
        return self._set_lease(requested_at, number)

    def _set_lease(self, requested_at: float, number: int) -> RoleLease:
        """Set the lease; its deadline counts from the time of the request."""
        deadline = requested_at + self._ttl_s * (1 - MAX_CLOCK_DRIFT)
        lease = RoleLease(self._role, self._holder, number, deadline)
        self._lease = lease
        return lease

    async def _read(self) -> _HeldRecord | None:
        """Return the record of the role's holder, or ``None``."""
        snapshot = await self._store.get(self._key)
        item = snapshot.get(self._key)
        if item is None:
            return None
        return _HeldRecord(item.value, StorePosition(snapshot.era, item.create_revision))

    def _clear(self) -> None:
        """Drop the claim and the lease."""
        self._claim = None
        self._lease = None
