"""The fleet of a service with three groups, of which some are unavailable."""

from collections import Counter
from random import Random

from structlog.testing import capture_logs

from bluebellrun.admission import GateSettings, GroupGates, GroupPauses, GroupPauseSettings
from bluebellrun.core import Address
from bluebellrun.gateway import Fleet, Upstream, UpstreamDirectory
from bluebellrun.routing import GroupMembers, GroupTable

RANKS = {name: [f"{name}{rank}" for rank in range(4)] for name in "abc"}
SLOTS = 5


class Service:
    """Three groups of four ranks, their gates and what other entries have running."""

    def __init__(self, *, grouped: bool = True) -> None:
        self.elsewhere: Counter[str] = Counter()
        self.slow: dict[str, float] = {}
        self.table = GroupTable()
        if grouped:
            members = [GroupMembers(name, 1, 4, frozenset(RANKS[name])) for name in "abc"]
            self.table.replace("s", members)
        directory = UpstreamDirectory()
        self.fleet = Fleet(
            directory,
            "z0",
            Random(1),
            lambda instance: self.elsewhere[instance],
            lambda now: self.slow,
            groups=self.table,
        )
        for number, name in enumerate(name for ranks in RANKS.values() for name in ranks):
            address = Address("10.0.0.1", 80 + number)
            directory.put(Upstream(name, "s", address, f"z{number % 3}", SLOTS))
        self.gates = GroupGates(GateSettings(), "s", self.table, lambda: directory.instances)
        self.pauses = GroupPauses(GroupPauseSettings(), 0.034, "s", self.table)
        self.fleet.groups.set_limits("s", self.gates, self.pauses)

    def break_groups(self, names: str, at: float) -> None:
        for name in names:
            for rank in RANKS[name][:2]:
                self.gates.record_refusal(at, rank)

    def chosen_groups(self, at: float, excluded: tuple[str, ...] = (), requests: int = 60) -> str:
        """Return the groups that get requests at one moment, if none of these has ended."""
        chosen = []
        for _ in range(requests):
            item = self.fleet.choose("s", excluded, at)
            chosen.append(item.instance)
            self.fleet.stats(item.instance).running += 1
        for instance in chosen:
            self.fleet.stats(instance).running -= 1
        return "".join(sorted({instance[0] for instance in chosen}))


# Guards: a broken group got its share of the requests, each of which cost a retry.
def test_a_broken_group_gets_only_probes_and_its_slots_do_not_count():
    service = Service()
    assert service.fleet.slot_usage("s", 10.0).total == 12 * SLOTS
    service.break_groups("b", 10.0)
    service.chosen_groups(11.1, requests=1)
    assert service.chosen_groups(11.1) == "ac"
    assert service.fleet.slot_usage("s", 11.1).total == 8 * SLOTS
    probes = [service.fleet.choose("s", (), 12.2) for _ in range(60)]
    assert sum(item is not None and item.instance[0] == "b" for item in probes) == 1


# Guards: a retry spent on a probe is refused once more.
def test_a_retry_is_no_probe():
    service = Service()
    service.break_groups("b", 10.0)
    assert service.chosen_groups(11.9, excluded=("b0",)) == "ac"


def test_a_group_that_formed_gets_work_at_once():
    service = Service()
    service.break_groups("b", 10.0)
    service.gates.record_accepted(10.5, "b3")
    assert "b" in service.chosen_groups(10.5)
    assert service.fleet.slot_usage("s", 10.5).total == 12 * SLOTS


# Guards: with all groups unavailable, the upstreams were none and the admitted probe found no one.
def test_in_an_outage_of_all_groups_the_admitted_request_is_the_probe():
    service = Service()
    service.break_groups("abc", 10.0)
    assert service.gates.is_unavailable(10.1)
    assert service.gates.admits(10.1)
    assert service.fleet.choose("s", (), 10.1) is not None
    assert service.fleet.slot_usage("s", 10.1).total == 12 * SLOTS


# Guards: a probe of a group whose upstreams are at their rate limits found no upstream at all.
def test_a_group_at_its_rate_limits_is_not_probed_and_does_not_stand_in_for_open_ones():
    service = Service()
    service.break_groups("b", 10.0)
    limits = service.fleet.permits.limits
    for rank in RANKS["b"]:
        limits.record_named((rank, 0), 0.2, 10.0)
    assert service.chosen_groups(11.5) == "ac"
    for rank in RANKS["a"] + RANKS["c"]:
        limits.record_named((rank, 0), 0.2, 10.0)
    for rank in RANKS["b"]:
        limits.record_named((rank, 0), 1_000.0, 11.5)
    assert service.fleet.choose("s", ("a0",), 11.6) is None


# Guards: an upstream that was removed during its attempt ended the request with an error.
def test_a_removed_upstream_has_no_group_left_to_exclude():
    service = Service()
    rank = service.fleet.directory.find("a0")
    for name in RANKS["a"]:
        service.fleet.directory.remove(name)
    assert not service.fleet.group_instances(rank)


# Guards: late passes of one group took slots from all groups.
def test_only_the_slots_of_a_group_with_late_passes_are_bounded():
    service = Service()
    for rank in RANKS["b"]:
        service.elsewhere[rank] = SLOTS
    assert service.fleet.load("s", "b1", 10.0) == 1.0
    assert service.fleet.load("s", "a1", 10.0) == 0.0
    for step in range(100):
        now = 10.0 + step / 50
        load = service.fleet.load("s", "b1", now)
        service.pauses.observe(0.194, 0.120, lambda load=load: load, now, "b1")
    usage = service.fleet.slot_usage("s", 12.0)
    assert usage.taken == 4 * SLOTS
    assert usage.total == 8 * SLOTS + 4 * SLOTS / 2


# Guards: services with one group draw other random numbers than before.
def test_a_service_without_groups_leaves_no_upstream_out():
    service = Service(grouped=False)
    before = Fleet(service.fleet.directory, "z0", Random(1))
    service.break_groups("b", 10.0)
    for _ in range(50):
        assert service.fleet.choose("s", (), 10.1) == before.choose("s", (), 10.1)
    assert service.fleet.slot_usage("s", 10.1) == before.slot_usage("s", 10.1)


# Guards: a group on a bad expert map got as many requests as one whose passes are in time.
def test_a_group_with_long_passes_gets_fewer_requests():
    service = Service()
    for step in range(100):
        now = 10.0 + step / 50
        for group, pause_s in (("a", 0.06), ("b", 0.110), ("c", 0.06)):
            service.pauses.observe(pause_s, 0.120, lambda: 0.9, now, group + "0")
    running: Counter[str] = Counter()
    for _ in range(36):
        chosen = service.fleet.choose("s", (), 12.0)
        service.elsewhere[chosen.instance] += 1
        running[chosen.instance[0]] += 1
    assert running["b"] < 0.6 * running["a"]
    assert abs(running["a"] - running["c"]) <= 2
    ranks = [service.elsewhere[rank] for rank in RANKS["a"]]
    assert max(ranks) - min(ranks) <= 1


# Guards: a rank that slows one group was drained by the size of the service, or drained others.
def test_slow_ranks_are_drained_by_group():
    service = Service()
    service.slow = {"b0": 4.0, "b1": 3.0, "a0": 2.0}
    fleet = service.fleet
    upstreams = {name: fleet.directory.find(name) for name in ("a0", "a1", "b0", "b1", "c0")}
    drained = {name for name, item in upstreams.items() if fleet.is_drained(item, 10.0)}
    assert drained == {"a0", "b0"}
    assert fleet.slot_usage("s", 10.0).total == 10 * SLOTS


def test_another_group_is_one_that_accepts_work():
    service = Service()
    rank = service.fleet.directory.find("a0")
    assert service.fleet.has_other_group(rank, ("a0",), 10.0)
    assert set(service.fleet.group_instances(rank)) == set(RANKS["a"])
    assert not service.fleet.has_other_group(rank, [*RANKS["b"], *RANKS["c"]], 10.0)
    service.break_groups("bc", 10.0)
    assert not service.fleet.has_other_group(rank, (), 10.0)
    assert not Service(grouped=False).fleet.has_other_group(rank, (), 10.0)


# Guards: an operator did not see which group had failed, or saw each refusal of it.
def test_the_outage_of_a_group_is_counted_and_logged_once():
    service = Service()
    with capture_logs() as logs:
        service.break_groups("b", 10.0)
        for _ in range(3):
            service.fleet.groups.log_changes("s", 10.1)
        assert service.fleet.groups.unavailable_counts(10.1) == {"s": 1}
        service.gates.record_accepted(10.2, "b2")
        service.fleet.groups.log_changes("s", 10.2)
    assert [(line["event"], line["group"]) for line in logs] == [
        ("group unavailable", "b"),
        ("group available", "b"),
    ]
    assert service.fleet.groups.unavailable_counts(10.2) == {"s": 0}
    assert not Service(grouped=False).fleet.groups.unavailable_counts(10.2)
