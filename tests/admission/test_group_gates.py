"""Outages of single groups of a service, and of all of them."""

from dataclasses import replace

from bluebellrun.admission import GateSettings, GroupGates, ServiceGate
from bluebellrun.routing import GroupMembers, GroupTable

RANKS = {name: [f"{name}{rank}" for rank in range(4)] for name in "abc"}


def table_of(names: str = "abc") -> GroupTable:
    table = GroupTable()
    table.replace("s", [GroupMembers(name, 1, 4, frozenset(RANKS[name])) for name in names])
    return table


def gates_of(table: GroupTable, *unknown: str) -> GroupGates:
    instances = [rank for ranks in RANKS.values() for rank in ranks] + list(unknown)
    return GroupGates(GateSettings(), "s", table, lambda: instances)


def break_groups(gates: GroupGates, names: str, at: float) -> None:
    for name in names:
        for rank in RANKS[name][:2]:
            gates.record_refusal(at, rank)


# Guards: one broken group of three made the whole service unavailable.
def test_a_broken_group_leaves_the_others_available():
    gates = gates_of(table_of())
    break_groups(gates, "a", 0.0)
    assert gates.is_group_unavailable("a3", 0.1)
    assert not gates.is_group_unavailable("b0", 0.1)
    assert not gates.is_unavailable(0.1)
    assert all(gates.admits(0.1) for _ in range(50))
    assert gates.retry_after_s(0.1) == GateSettings().min_retry_s
    assert gates.outage_ended is None


# Guards: refusals by two groups, one each, counted as an outage of one.
def test_single_refusals_of_several_groups_are_no_outage():
    gates = gates_of(table_of())
    for name in "abc":
        gates.record_refusal(0.0, RANKS[name][0])
    assert not gates.unavailable(0.1)


def test_an_outage_of_all_groups_is_one_of_the_service_and_ends_with_the_first_group():
    gates = gates_of(table_of())
    break_groups(gates, "abc", 10.0)
    assert gates.is_unavailable(10.1)
    admitted = [now for now in range(100) if gates.admits(10.1 + now / 100)]
    assert 2 <= len(admitted) <= 8
    gates.record_accepted(11.2, "b2")
    assert not gates.is_unavailable(11.2)
    assert gates.outage_ended == 11.2
    assert gates.unavailable(11.2) == {("a", ""), ("c", "")}


# Guards: probes in an outage of all groups all went to one group, so that others stayed closed.
def test_the_probes_of_an_outage_visit_all_groups():
    gates = gates_of(table_of())
    break_groups(gates, "abc", 10.0)
    probed = set()
    for turn in range(100):
        now = 10.0 + turn * 0.02
        if gates.admits(now):
            key = gates.take_probe(gates.unavailable(now), lambda key: False, now)
            probed.add(key)
            gates.record_refusal(now, RANKS[key[0]][0])
    assert probed == {("a", ""), ("b", ""), ("c", "")}


# Guards: each refused probe costs a retry, of which 12 entries have 0.2 x the requests.
def test_a_broken_group_is_probed_rarely_until_another_entry_has_work_there():
    gates = gates_of(table_of())
    break_groups(gates, "a", 10.0)

    def probes(since: float, hinted: bool) -> int:
        taken = 0
        for turn in range(100):
            now = since + turn * 0.02
            key = gates.take_probe(gates.unavailable(now), lambda key: hinted, now)
            if key is not None:
                taken += 1
                gates.record_refusal(now, RANKS[key[0]][0])
        return taken

    assert 2 <= probes(10.0, hinted=False) <= 3
    assert probes(12.0, hinted=True) >= 6
    gates.record_accepted(14.1, "a3")
    assert not gates.unavailable(14.1)


# Guards: a group that formed again waited for the next probe.
def test_a_group_whose_epoch_changed_is_probed_at_once():
    table = table_of()
    gates = gates_of(table)
    break_groups(gates, "a", 10.0)
    now = 11.01
    key = gates.take_probe(gates.unavailable(now), lambda key: False, now)
    assert key == ("a", "")
    assert gates.take_probe(gates.unavailable(now), lambda key: False, now) is None
    table.replace("s", [replace(group, epoch=2) for group in table.groups("s").values()])
    assert gates.take_probe(gates.unavailable(now), lambda key: False, now) == ("a", "")
    assert gates.take_probe(gates.unavailable(now), lambda key: False, now) is None


# Guards: upstreams that have just started were counted to a broken group, or to none.
def test_an_upstream_in_no_known_group_is_a_group_of_its_own():
    gates = gates_of(table_of(), "new")
    break_groups(gates, "abc", 0.0)
    assert not gates.is_unavailable(0.1)
    gates.record_refusal(0.1, "new")
    gates.record_refusal(0.1, "new")
    assert gates.is_unavailable(0.2)


# Guards: deployments with one group are served as before.
def test_without_groups_it_is_one_gate():
    gates, single = gates_of(GroupTable()), ServiceGate(GateSettings())
    for turn in range(200):
        now = turn * 0.02
        if turn % 50 < 20:
            gates.record_refusal(now, RANKS["abc"[turn % 3]][0])
            single.record_refusal(now)
        elif turn % 50 == 40:
            gates.record_accepted(now, "a0")
            single.record_accepted(now)
        assert gates.admits(now, waits=turn % 2 > 0) == single.admits(now, waits=turn % 2 > 0)
        assert gates.retry_after_s(now) == single.retry_after_s(now)
        assert gates.outage_ended == single.outage_ended
        assert not gates.unavailable(now)


def test_an_outage_is_forgotten_with_the_groups():
    table = table_of()
    gates = gates_of(table)
    break_groups(gates, "abc", 0.0)
    table.replace("s", [])
    assert not gates.is_unavailable(0.1)
    table.replace("s", list(table_of().groups("s").values()))
    assert not gates.is_unavailable(0.1)
