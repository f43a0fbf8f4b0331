"""Hold a role in managing expert maps: a lease in the store that one process has at a time."""

from collections.abc import Callable
from typing import Protocol

import curio

from bluebellrun.core import Clock
from bluebellrun.expert_maps._ports import StoreRecords
from bluebellrun.leases import LeaseError, RoleHolder, RoleLease, decode_record
from bluebellrun.telemetry import get_logger

# Several renewals fit into the lease's two seconds, so that one lost answer does not end it.
RENEW_INTERVAL_S = 0.5
# The shortest lease that allows for renewals by a slow store.
LEASE_S = 2
# A process that finds the role free waits first, so that its holder can renew after an outage.
TAKE_OVER_PAUSE_S = 0.1
# A process on a host with a slow link waits longer: the map and counts of a group of 64 ranks take
# a megabyte a second.
SLOW_LINK_BITS_S = 50e6
SLOW_LINK_PAUSE_S = 0.6

_log = get_logger("role")


class RoleOrder(Protocol):
    """The order in which processes acquire a role."""

    def pause_s(self) -> float:
        """Return how much longer this process waits than the first before it acquires the role."""

    def returns(self) -> bool:
        """Return whether the holder lets another process have the role now."""


class NoOrder:
    """All processes are equal, and the holder keeps the role."""

    def pause_s(self) -> float:
        """Return no additional pause."""
        return 0.0

    def returns(self) -> bool:
        """Return that the role is kept."""
        return False


class PlacementRole:
    """Acquire the role when it is free, and renew it.

    Where ranks refuse older fencing numbers, the holder continues while the store is unreachable:
    if another process acquires the role meanwhile, the ranks reject the older one. For the same
    reason a silent holder is deposed before its lease ends: its group may be waiting for it.
    """

    def __init__(
        self,
        holder: RoleHolder,
        view: StoreRecords,
        clock: Clock,
        fenced: bool,
        take_over_pause_s: float = TAKE_OVER_PAUSE_S,
        is_silent: Callable[[str], bool] = lambda host: False,
        order: RoleOrder | None = None,
    ) -> None:
        self._holder = holder
        self._view = view
        self._clock = clock
        self._fenced = fenced
        self._take_over_pause_s = take_over_pause_s
        self._is_silent = is_silent
        self._order = order or NoOrder()
        self._logged_number: int | None = None
        self._last_lease: RoleLease | None = None
        self._refused: set[int] = set()
        self._resigned = False

    def lease(self) -> RoleLease | None:
        """Return the lease if this process may act now, or none."""
        if self._resigned:
            return None
        lease = self._holder.current(self._clock.now())
        if lease is None and self._fenced:
            lease = self._last_lease
        if lease is None or lease.number in self._refused or self._is_superseded(lease):
            return None
        return lease

    async def mark_fenced(self, number: int) -> None:
        """Stop acting under a number: a rank has seen a higher one."""
        _log.warning("role lost to a higher fencing number", key=self._holder.key, number=number)
        self._refused.add(number)
        self._last_lease = None
        await self._holder.release()

    async def release(self) -> None:
        """Release the role, so that another process can acquire it immediately."""
        self._last_lease = None
        if self._logged_number is not None:
            await self._holder.release()

    async def resign(self) -> None:
        """Release the role for good: this process is stopping."""
        self._resigned = True
        self._last_lease = None
        await self._holder.release()

    async def run(self) -> None:
        """Acquire and renew the role until cancelled or resigned."""
        while not self._resigned:
            try:
                await self._step()
            except LeaseError as error:
                _log.info("role lease request failed", key=self._holder.key, reason=str(error))
            await curio.sleep(RENEW_INTERVAL_S)
        # Releases a role that was acquired while this process resigned.
        await self._holder.release()

    async def _step(self) -> None:
        """Renew the role, or acquire it if it is free."""
        if self._last_lease is not None and self._is_superseded(self._last_lease):
            await self.release()
        if self.lease() is not None and self._order.returns():
            _log.info("role left to another process", key=self._holder.key)
            await self.release()
            self._log_change()
            return
        if self._last_lease is not None or self._holder.current(self._clock.now()) is not None:
            self._last_lease = await self._holder.renew()
        elif self._view.confirmed_at is not None and self._is_free():
            await curio.sleep(self._take_over_pause_s + self._order.pause_s())
            if self._is_free() and not self._resigned:
                self._last_lease = await self._holder.acquire()
        elif self._fenced and await self._depose_silent():
            self._last_lease = await self._holder.acquire()
        self._log_change()

    async def _depose_silent(self) -> bool:
        """Depose a silent holder; return whether that freed the role."""
        record = self._view.record(self._holder.key)
        if record is None or record.value is None or self._view.confirmed_at is None:
            return False
        holder = decode_record(record.value).holder
        if not self._is_silent(holder):
            return False
        pause_s = self._order.pause_s()
        if pause_s:
            await curio.sleep(pause_s)
            if self._view.record(self._holder.key) != record or not self._is_silent(holder):
                return False
        deposed = await self._holder.delete_record(record.position)
        _log.warning(
            "silent holder of the role deposed",
            key=self._holder.key,
            holder=holder,
            deposed=deposed,
        )
        return deposed

    def _is_superseded(self, lease: RoleLease) -> bool:
        """Return whether another process has acquired the role since this one did."""
        record = self._view.record(self._holder.key)
        return (
            record is not None
            and record.value is not None
            and record.position.number > lease.number
            and not self._holder.is_own(record.value)
        )

    def _is_free(self) -> bool:
        """Return whether the store shows no holder, or this process after a lost answer."""
        return self._view.record(self._holder.key) is None or self._logged_number is not None

    def _log_change(self) -> None:
        """Log that the role was acquired or lost."""
        lease = self.lease()
        number = None if lease is None else lease.number
        if number != self._logged_number:
            event = "role acquired" if number is not None else "role lost"
            _log.info(event, key=self._holder.key, number=number)
            self._logged_number = number


def take_over_pause_s(link_bits_s: float) -> float:
    """Return how long a process waits before it acquires a free role, by its host's link."""
    return SLOW_LINK_PAUSE_S if 0 < link_bits_s < SLOW_LINK_BITS_S else TAKE_OVER_PAUSE_S
