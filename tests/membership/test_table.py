from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellrun.membership import (
    HostTable,
    MemberRow,
    MemberState,
    MemberTable,
    SuspicionTiming,
)

TIMING = SuspicionTiming(suspect_timeout_s=5.0, deferred_timeout_s=600.0)


def row(name: str, epoch: int = 1) -> MemberRow:
    return MemberRow(name, "agent", f"host-{name}", "r", "d", "127.0.0.1:1", epoch)


def table(name: str, *others: str) -> MemberTable:
    result = MemberTable(row(name), TIMING)
    result.merge([row(other) for other in others], 0.0)
    return result


def test_unrefuted_suspect_becomes_gone():
    a = table("a", "b", "c")
    a.suspect("b", 1.0)
    assert a.get("b").state is MemberState.SUSPECT
    assert a.relays() == ["a", "c"]
    assert a.expire_suspicions(5.9) == []
    assert [r.state for r in a.expire_suspicions(6.0)] == [MemberState.GONE]


def test_member_refutes_false_suspicion():
    a, b = table("a", "b"), table("b", "a")
    refuted = b.merge(a.suspect("b", 1.0), 1.1)
    assert [r.counter for r in refuted] == [1]
    a.merge(refuted, 1.2)
    assert a.get("b").state is MemberState.LIVE
    assert a.expire_suspicions(100.0) == []


def test_gone_member_becomes_live_by_refutation():
    a, b = table("a", "b"), table("b", "a")
    a.suspect("b", 0.0)
    gone = a.expire_suspicions(10.0)
    a.merge(b.merge(gone, 10.0), 10.0)
    assert a.get("b").state is MemberState.LIVE
    assert a.digest == b.digest


def test_leaving_state_survives_suspicion():
    a, b = table("a", "b"), table("b", "a")
    a.merge(b.leave(1.0), 1.0)
    assert a.get("b").state is MemberState.LEAVING
    a.suspect("b", 2.0)
    assert a.get("b").leaving
    a.merge(b.merge([a.get("b")], 2.0), 2.0)
    assert a.get("b").state is MemberState.LEAVING


def test_new_incarnation_with_lagging_clock_supersedes_old_one():
    a = table("a")
    a.merge([row("b", epoch=100)], 0.0)
    a.suspect("b", 0.0)
    restarted = MemberTable(row("b", epoch=50), TIMING)
    a.merge(restarted.merge(a.rows, 1.0), 1.0)
    assert a.get("b").state is MemberState.LIVE
    assert a.get("b").epoch == 101


def test_two_processes_of_one_name_exchange_bounded_refutations():
    a, b = table("x"), MemberTable(row("x", epoch=2), TIMING)
    rows, now = a.rows, 0.0
    messages = 0
    while rows and messages < 100:
        now += 0.01
        rows = b.merge(rows, now) or a.merge(b.rows, now)
        rows = a.merge(b.rows, now)
        messages += 1
    assert messages < 5
    assert a.conflicts + b.conflicts >= 1


def test_suspicion_of_half_the_domain_is_deferred():
    others = [f"m-{number}" for number in range(100)]
    a = table("a", *others)
    for name in others[:50]:
        a.suspect(name, 0.0)
    assert a.defers_suspicions
    assert a.expire_suspicions(3_600.0 / 10) == []
    assert len(a.relays()) == 51


def test_members_are_live_again_after_partition_of_one_hour():
    names = [f"m-{number}" for number in range(40)]
    tables = {name: table(name, *[n for n in names if n != name]) for name in names}
    left, right = names[:20], names[20:]
    for side, other in ((left, right), (right, left)):
        for name in side:
            for lost in other:
                tables[name].suspect(lost, 0.0)
    for now in (10.0, 300.0, 3_600.0):
        for each in tables.values():
            each.expire_suspicions(now)
    rows = [r for each in tables.values() for r in each.rows]
    for _ in range(2):
        rows = [r for each in tables.values() for r in each.merge(rows, 3_601.0)]
    assert len({each.digest for each in tables.values()}) == 1
    assert all(len(each.relays()) == 40 for each in tables.values())


def test_gone_members_expire_and_are_not_reintroduced():
    a, b = table("a"), table("b", "a", "c")
    empty = a.digest
    a.merge([row("c")], 0.0)
    assert a.digest != empty
    gone = row("c").with_state(MemberState.GONE)
    assert a.merge([gone], 1.0) == [gone]
    assert a.digest == empty
    a.expire_suspicions(902.0)
    assert a.get("c") is None
    b.merge([gone], 1.0)
    assert a.merge([r for r in b.rows if r.name == "c"], 903.0) == []


@settings(max_examples=60)
@given(seed=st.integers(0, 2**32))
def test_tables_converge_despite_loss_delay_and_pauses(seed):
    random = Random(seed)
    names = ["a", "b", "c", "d", "e"]
    tables = {name: table(name, *[n for n in names if n != name]) for name in names}
    in_flight: list[tuple[float, str, list[MemberRow]]] = []
    paused_until = dict.fromkeys(names, 0.0)

    def send(sender: str, rows: list[MemberRow], now: float) -> None:
        for target in names:
            if rows and target != sender and random.random() > 0.3:
                in_flight.append((now + random.random() * 3, target, rows))

    now = 0.0
    for _ in range(60):
        now += random.random()
        name = random.choice(names)
        if random.random() < 0.15:
            paused_until[name] = now + random.random() * 12
        if paused_until[name] <= now:
            action = random.random()
            if action < 0.3:
                send(name, tables[name].suspect(random.choice(names), now), now)
            elif action < 0.35:
                send(name, tables[name].leave(now), now)
            else:
                send(name, tables[name].expire_suspicions(now), now)
        due = [m for m in in_flight if m[0] <= now and paused_until[m[1]] <= now]
        random.shuffle(due)
        for message in due:
            in_flight.remove(message)
            send(message[1], tables[message[1]].merge(message[2], now), now)
    for _ in range(4):
        rows = [r for each in tables.values() for r in each.rows]
        for each in tables.values():
            each.merge(rows, now)
    assert len({each.digest for each in tables.values()}) == 1
    for name in names:
        for other in names:
            held = tables[other].get(name)
            assert held == tables[name].own


def test_leaving_host_gets_no_new_work_and_vanished_host_is_gone():
    hosts = HostTable()
    hosts.apply_reading({f"h-{n}": "live" for n in range(20)}, 0.0)
    assert hosts.apply_reading({f"h-{n}": "leaving" if n == 3 else "live" for n in range(20)}, 1.0)
    assert hosts.departures.includes("h-3")
    hosts.apply_reading({f"h-{n}": "live" for n in range(20) if n != 3}, 2.0)
    assert hosts.gone == {"h-3"}
    hosts.apply_reading({f"h-{n}": "live" for n in range(20)}, 3.0)
    assert not hosts.departures.includes("h-3")


def test_list_that_lost_a_region_is_distrusted():
    hosts = HostTable()
    hosts.apply_reading({f"h-{n}": "live" for n in range(3_190)}, 0.0)
    hosts.apply_reading({f"h-{n}": "live" for n in range(1_000, 3_190)}, 1.0)
    hosts.apply_reading({}, 2.0)
    assert hosts.gone == frozenset()
    assert len(hosts.states) == 3_190
    assert hosts.distrusted_readings == 2


def test_long_missing_hosts_are_gone_unless_list_is_empty():
    hosts = HostTable()
    hosts.apply_reading({f"h-{n}": "live" for n in range(10)}, 0.0)
    for now in (1.0, 300.0, 700.0):
        hosts.apply_reading({f"h-{n}": "live" for n in range(5)}, now)
    assert len(hosts.gone) == 5
    for now in (800.0, 2_000.0):
        hosts.apply_reading({}, now)
    assert len(hosts.states) == 5


def test_empty_list_keeps_hosts_of_small_fleet():
    hosts = HostTable()
    hosts.apply_reading({"h-1": "live", "h-2": "live"}, 0.0)
    hosts.apply_reading({}, 1.0)
    assert not hosts.departures.includes("h-1")
    hosts.apply_reading({"h-2": "live"}, 2.0)
    assert hosts.gone == {"h-1"}


def test_child_replaces_table_by_parents_table():
    parent, child = HostTable(), HostTable()
    parent.apply_reading({"h-1": "live", "h-2": "leaving"}, 0.0)
    assert child.replace(parent.states, parent.gone, 1.0)
    assert child.digest == parent.digest
    assert child.departures.includes("h-2")
