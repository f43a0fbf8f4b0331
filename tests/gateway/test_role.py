from random import Random
from typing import Any, cast

import curio
import pytest

from bluebellrun.core import ManualClock
from bluebellrun.gateway import RecordWritten
from bluebellrun.gateway._role import (
    LEASE_S,
    SLOW_LINK_PAUSE_S,
    TAKE_OVER_PAUSE_S,
    PlacementRole,
    take_over_pause_s,
)
from bluebellrun.leases import RoleHolder
from standins.platform import DirectStore

KEY = "/t/roles/placement"


@pytest.mark.parametrize(
    ("link_bits_s", "pause_s"),
    [(0.0, TAKE_OVER_PAUSE_S), (20e6, SLOW_LINK_PAUSE_S), (1e9, TAKE_OVER_PAUSE_S)],
)
def test_a_host_with_a_slow_link_leaves_the_role_to_others_first(link_bits_s, pause_s):
    assert take_over_pause_s(link_bits_s) == pause_s


class Entry:
    """An entry that may take the role in a store that all share."""

    def __init__(self, name: str, store: DirectStore, clock: ManualClock, fenced: bool) -> None:
        self.hears_holder = True
        self.view = View(store)
        holder = RoleHolder(store, "/t", "placement", name, LEASE_S, clock, Random(name))
        self.role = PlacementRole(
            holder, cast(Any, self.view), clock, fenced, 0.0, lambda host: not self.hears_holder
        )

    @property
    def number(self) -> int | None:
        lease = self.role.lease()
        return None if lease is None else lease.number


class View:
    """What the store holds now, or held when the view was stopped."""

    def __init__(self, store: DirectStore) -> None:
        self.confirmed_at = 0.0
        self._store = store
        self._seen: RecordWritten | None = None

    async def look(self) -> None:
        found = (await self._store.get(KEY)).get(KEY)
        self._seen = found and RecordWritten(KEY, found.value, found.mod_revision)

    def record(self, key: str) -> RecordWritten | None:
        return self._seen


def play_roles(check: Any, fenced: bool = True) -> None:
    async def main() -> None:
        clock = ManualClock()
        store = DirectStore(clock)
        holder, other = (Entry(name, store, clock, fenced) for name in ("a", "b"))
        await holder.role._step()
        assert holder.number is not None
        await other.view.look()
        await check(holder, other)

    curio.run(main)


def test_a_holder_that_is_heard_keeps_the_role():
    async def check(holder: Entry, other: Entry) -> None:
        await other.role._step()
        assert (holder.number is not None, other.number) == (True, None)

    play_roles(check)


def test_a_silent_holder_is_deposed_and_does_not_act_once_it_knows():
    async def check(holder: Entry, other: Entry) -> None:
        other.hears_holder = False
        await other.role._step()
        assert other.number is not None and holder.number is not None
        assert other.number > holder.number
        await holder.view.look()
        assert holder.number is None
        await holder.role._step()
        await other.view.look()
        await other.role._step()
        assert (holder.number, other.number is not None) == (None, True)

    play_roles(check)


def test_only_where_older_numbers_are_refused_a_silent_holder_is_deposed():
    async def check(holder: Entry, other: Entry) -> None:
        other.hears_holder = False
        await other.role._step()
        assert (holder.number is not None, other.number) == (True, None)

    play_roles(check, fenced=False)


def test_older_news_of_another_holder_do_not_end_a_new_role():
    async def check(holder: Entry, other: Entry) -> None:
        other.hears_holder = False
        await other.role._step()
        assert other.view.record(KEY) is not None
        assert other.number is not None

    play_roles(check)
