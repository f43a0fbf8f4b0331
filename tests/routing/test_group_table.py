from bluebellrun.routing import GroupMembers, GroupTable


def members(name: str, *ranks: str, epoch: int = 1) -> GroupMembers:
    return GroupMembers(name, epoch, 2, frozenset(ranks))


def test_the_instances_of_several_groups_are_found():
    table = GroupTable()
    table.replace("chat", [members("a", "u1", "u2"), members("b", "u3", "u4")])
    assert (table.group_of("u2"), table.group_of("u3"), table.group_of("u9")) == ("a", "b", None)
    assert set(table.groups("chat")) == {"a", "b"}


# Guards: a service with one group must be served as before there were groups.
def test_a_service_with_one_group_has_no_entry():
    table = GroupTable()
    table.replace("chat", [members("a", "u1"), members("b", "u2")])
    table.replace("chat", [members("a", "u1", "u2")])
    assert (table.group_of("u1"), dict(table.groups("chat"))) == (None, {})


# Guards: a rank that moved must not keep its former group.
def test_an_instance_that_moved_counts_to_the_group_with_the_later_epoch():
    table = GroupTable()
    table.replace("chat", [members("a", "u1", "u2", epoch=5), members("b", "u2", "u3", epoch=4)])
    assert table.group_of("u2") == "a"
    table.replace("chat", [members("a", "u1"), members("b", "u2", "u3")])
    assert table.group_of("u2") == "b"


# Guards: removing one service must leave the groups of the others.
def test_services_are_independent():
    table = GroupTable()
    table.replace("chat", [members("a", "u1"), members("b", "u2")])
    table.replace("code", [members("a", "u5"), members("b", "u6")])
    table.remove("chat")
    table.remove("unknown")
    assert (table.group_of("u1"), table.group_of("u6")) == (None, "b")
    assert dict(table.groups("chat")) == {}
