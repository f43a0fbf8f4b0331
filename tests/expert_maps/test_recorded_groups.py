import json
from collections.abc import Awaitable, Callable

import curio
import pytest

from bluebellrun.core import DecodingError
from bluebellrun.expert_maps._recorded_groups import (
    LOST_RECORD_GRACE_S,
    SINGLE_GROUP_S,
    GroupsWriter,
    decode_groups,
    encode_groups,
)
from bluebellrun.routing import GroupMembers
from bluebellrun.store import Put
from tests.expert_maps.fake_ranks import PREFIX, SERVICE, FakeRanks

KEY = f"{PREFIX}{SERVICE}"


def members(name: str, *ranks: str, epoch: int = 1) -> GroupMembers:
    return GroupMembers(name, epoch, 2, frozenset(ranks))


A, B = members("a", "u1", "u2"), members("b", "u3", "u4")


def record(check: Callable[[FakeRanks, GroupsWriter], Awaitable[None]]) -> None:
    async def main() -> None:
        ranks = FakeRanks()
        await check(ranks, GroupsWriter(ranks.store, ranks.view))

    curio.run(main)


def test_the_stored_form_is_the_one_that_is_agreed():
    assert json.loads(encode_groups([B, A])) == {
        "groups": {
            "a": {"epoch": 1, "size": 2, "ranks": ["u1", "u2"]},
            "b": {"epoch": 1, "size": 2, "ranks": ["u3", "u4"]},
        }
    }
    assert set(decode_groups(encode_groups([A, B]))) == {A, B}


@pytest.mark.parametrize("value", [b"", b"[]", b'{"groups": {"a": {"epoch": "x"}}}', b"\xff"])
def test_a_bad_record_is_refused(value):
    with pytest.raises(DecodingError):
        decode_groups(value)


# Guards: gateways without the placement role must know the groups as the surveyor does.
def test_a_gateway_follows_the_record_and_keeps_it_when_it_becomes_unreadable():
    async def check(ranks: FakeRanks, writer: GroupsWriter) -> None:
        await writer.write(KEY, [A, B], 0.0)
        ranks.recorded.follow([SERVICE], 0.0)
        assert (ranks.table.group_of("u1"), ranks.table.group_of("u4")) == ("a", "b")
        await ranks.store.transact([], [Put(KEY, b"?")])
        ranks.recorded.follow([SERVICE], 1.0)
        assert ranks.table.group_of("u1") == "a"
        ranks.recorded.follow([], 2.0)
        assert ranks.table.group_of("u1") is None

    record(check)


# Guards: a restore of the store from an older copy made all groups unknown at once.
def test_a_record_that_vanished_is_kept_for_a_while():
    async def check(ranks: FakeRanks, writer: GroupsWriter) -> None:
        await writer.write(KEY, [A, B], 0.0)
        ranks.recorded.follow([SERVICE], 0.0)
        await ranks.store.transact([], [Put(KEY, None)])
        ranks.recorded.follow([SERVICE], 1.0)
        assert ranks.table.group_of("u1") == "a"
        ranks.recorded.follow([SERVICE], 1.0 + LOST_RECORD_GRACE_S)
        assert ranks.table.group_of("u1") is None

    record(check)


# Guards: each change of an epoch cost a write, also while all groups form at once.
def test_the_record_is_written_only_when_it_changes_and_not_more_than_once_a_second():
    async def check(ranks: FakeRanks, writer: GroupsWriter) -> None:
        for now in (0.0, 1.5, 3.0):
            await writer.write(KEY, [A, B], now)
        assert ranks.store.calls == 1
        for number in range(10):
            await writer.write(KEY, [A, members("b", "u3", epoch=2 + number)], 4 + number / 10)
        assert ranks.store.calls == 2
        await writer.write(KEY, [A, members("b", "u3", epoch=11)], 5.0)
        assert ranks.store.calls == 3

    record(check)


# Guards: a service with one group must make no store calls; one that lost a group for some minutes
# must not change the roles of the others.
def test_a_single_group_is_recorded_only_after_there_were_several():
    async def check(ranks: FakeRanks, writer: GroupsWriter) -> None:
        await writer.write(KEY, [A], 0.0)
        await writer.write(KEY, [], 2.0)
        assert ranks.store.calls == 0
        await writer.write(KEY, [A, B], 4.0)
        await writer.write(KEY, [A], 6.0)
        ranks.recorded.follow([SERVICE], 6.0)
        assert set(ranks.recorded.groups(SERVICE)) == {"a"}
        assert dict(ranks.table.groups(SERVICE)) == {}
        assert ranks.recorded.group_of(SERVICE, "u2") == "a"
        await writer.write(KEY, [], 8.0)
        assert ranks.view.record(KEY) is not None
        await writer.write(KEY, [A], 6.0 + SINGLE_GROUP_S)
        assert ranks.view.record(KEY) is None

    record(check)


# Guards: an outage of the store ended the surveyor's task.
def test_a_store_that_fails_is_tried_again():
    async def check(ranks: FakeRanks, writer: GroupsWriter) -> None:
        ranks.store.faults.down = True
        await writer.write(KEY, [A, B], 0.0)
        ranks.store.faults.down = False
        await writer.write(KEY, [A, B], 1.0)
        assert ranks.view.record(KEY) is not None

    record(check)
