from copy import deepcopy
from random import Random
from typing import Any, cast

import curio
import pytest

from bluebellrun.core import ManualClock
from bluebellrun.expert_maps._role import (
    LEASE_S,
    SLOW_LINK_PAUSE_S,
    TAKE_OVER_PAUSE_S,
    PlacementRole,
    take_over_pause_s,
)
from bluebellrun.gateway import RecordWritten
from bluebellrun.leases import RoleHolder
from standins.platform import DirectStore
from standins.platform._store import MemoryStore

KEY = "/t/roles/placement"


@pytest.mark.parametrize(
    ("link_bits_s", "pause_s"),
    [(0.0, TAKE_OVER_PAUSE_S), (20e6, SLOW_LINK_PAUSE_S), (1e9, TAKE_OVER_PAUSE_S)],
)
def test_a_host_with_a_slow_link_waits_longer_for_the_role(link_bits_s, pause_s):
    assert take_over_pause_s(link_bits_s) == pause_s


class Entry:
    """An entry that may acquire the role in a shared store."""

    def __init__(self, name: str, store: DirectStore, clock: ManualClock, fenced: bool) -> None:
        self.receives_holder = True
        self.view = View(store)
        holder = RoleHolder(store, "/t", "placement", name, LEASE_S, clock, Random(name))
        self.role = PlacementRole(
            holder, cast(Any, self.view), clock, fenced, 0.0, lambda host: not self.receives_holder
        )

    @property
    def number(self) -> int | None:
        lease = self.role.lease()
        return None if lease is None else lease.number


class View:
    """The role's record as of the last refresh."""

    def __init__(self, store: DirectStore) -> None:
        self.confirmed_at = 0.0
        self._store = store
        self._record: RecordWritten | None = None

    async def refresh(self) -> None:
        found = (await self._store.get(KEY)).get(KEY)
        self._record = found and RecordWritten(
            KEY, found.value, found.mod_revision, era=self._store.era
        )

    def record(self, key: str) -> RecordWritten | None:
        return self._record


def run_roles(check: Any, fenced: bool = True) -> None:
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        holder, other = (Entry(name, store, clock, fenced) for name in ("a", "b"))
        await holder.role._step()
        assert holder.number is not None
        await other.view.refresh()
        await check(holder, other)

    curio.run(main)


def test_a_holder_that_is_not_silent_keeps_the_role():
    async def check(holder: Entry, other: Entry) -> None:
        await other.role._step()
        assert (holder.number is not None, other.number) == (True, None)

    run_roles(check)


def test_a_silent_holder_is_deposed_and_stops_once_it_reads_that():
    async def check(holder: Entry, other: Entry) -> None:
        other.receives_holder = False
        await other.role._step()
        assert other.number is not None and holder.number is not None
        assert other.number > holder.number
        await holder.view.refresh()
        assert holder.number is None
        await holder.role._step()
        await other.view.refresh()
        await other.role._step()
        assert (holder.number, other.number is not None) == (None, True)

    run_roles(check)


def test_a_silent_holder_is_not_deposed_without_fencing():
    async def check(holder: Entry, other: Entry) -> None:
        other.receives_holder = False
        await other.role._step()
        assert (holder.number is not None, other.number) == (True, None)

    run_roles(check, fenced=False)


def test_an_older_record_of_another_holder_does_not_end_a_new_role():
    async def check(holder: Entry, other: Entry) -> None:
        other.receives_holder = False
        await other.role._step()
        assert other.view.record(KEY) is not None
        assert other.number is not None

    run_roles(check)


# Guards: after a restore of the store the holder took its own record for that of another process.
def test_a_holder_whose_record_the_store_still_has_after_a_restore_keeps_the_role():
    async def check(holder: Entry, other: Entry) -> None:
        before = holder.number
        store = holder.view._store
        store.restore(deepcopy(store.memory))
        await holder.view.refresh()
        assert holder.number == before
        await holder.role._step()
        assert before is not None and holder.number is not None and holder.number > before
        await other.view.refresh()
        await other.role._step()
        assert other.number is None

    run_roles(check)


# Guards: a holder whose role was lost by a restore went on beside the next one.
def test_a_holder_whose_role_was_lost_by_a_restore_gives_way_to_the_next():
    async def check(holder: Entry, other: Entry) -> None:
        store = other.view._store
        store.restore(MemoryStore())
        await other.view.refresh()
        await other.role._step()
        assert other.number is not None and holder.number is not None
        assert other.number > holder.number
        await holder.view.refresh()
        assert holder.number is None
        await holder.role._step()
        assert (holder.number, other.number is not None) == (None, True)

    run_roles(check)
