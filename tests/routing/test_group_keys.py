"""The keys by which routing and admission tell groups apart."""

from bluebellrun.routing import GroupMembers, GroupTable, group_key


def members(name: str, *ranks: str) -> GroupMembers:
    return GroupMembers(name, 1, len(ranks), frozenset(ranks))


# Guards: a service with one group must be served exactly as one whose groups are unknown.
def test_a_service_with_fewer_than_two_groups_has_no_entry():
    table = GroupTable()
    table.replace("s", [members("a", "u0"), members("b", "u1")])
    assert set(table.groups("s")) == {"a", "b"} and table.group_of("u1") == "b"
    table.replace("s", [members("a", "u0", "u1")])
    assert not table.groups("s") and table.group_of("u1") is None


# Guards: a rank that was moved or left kept its former group.
def test_members_that_left_belong_to_no_group():
    table = GroupTable()
    table.replace("s", [members("a", "u0", "u2"), members("b", "u1")])
    table.replace("s", [members("a", "u0"), members("b", "u1", "u3")])
    assert group_key(table, "u2") == ("", "u2")
    assert group_key(table, "u3") == ("b", "")
    table.remove("s")
    assert table.group_of("u0") is None
