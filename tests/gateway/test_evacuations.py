"""Guards: an evacuated failure domain gets no requests until its evacuation is withdrawn (EVAC)."""

from bluebellrun.core import Address
from bluebellrun.gateway import DomainEvacuated, EvacuationWithdrawn, Upstream, UpstreamDirectory
from bluebellrun.gateway._evacuation_follower import EvacuationFollower
from bluebellrun.gateway._evacuations import RESTORE_HOLD_S, Evacuations
from bluebellrun.store import StorePosition


def upstream(instance: str, domain: str, leaving: bool = False) -> Upstream:
    address = Address("10.0.0.1", sum(instance.encode()))
    return Upstream(instance, "s", address, domain, 6, leaving)


def directory_of(**domains: str) -> UpstreamDirectory:
    directory = UpstreamDirectory()
    for instance, domain in domains.items():
        directory.put(upstream(instance, domain))
    return directory


def names(directory: UpstreamDirectory) -> list[str]:
    return sorted(item.instance for item in directory.usable("s", 0.0))


def test_only_the_upstreams_of_the_evacuated_domain_are_left_out():
    directory = directory_of(one="a", two="b")
    assert directory.evacuate("a", 5)
    assert names(directory) == ["two"]
    directory.put(upstream("three", "a"))
    assert names(directory) == ["two"]
    # Orders and reads of ranks' states go on.
    assert len(directory.of_service("s")) == 3
    assert directory.withdraw_evacuation("a")
    assert names(directory) == ["one", "three", "two"]


def test_a_service_is_evacuated_only_if_nothing_else_keeps_it_from_working():
    directory = directory_of(one="a", two="b")
    directory.evacuate("a", 5)
    assert not directory.is_evacuated("s")
    directory.put(upstream("two", "b", leaving=True))
    assert directory.is_evacuated("s")
    assert not directory.is_evacuated("unknown")
    directory.put(upstream("one", "a", leaving=True))
    assert not directory.is_evacuated("s")


def test_a_chosen_upstream_may_not_be_sent_to_once_its_domain_is_evacuated():
    directory = directory_of(one="a")
    chosen = directory.usable("s", 0.0)[0]
    assert directory.may_send(chosen)
    directory.evacuate("a", 5)
    assert not directory.may_send(chosen)


def test_a_restored_store_withdraws_what_it_lacks_only_after_a_while():
    evacuations = Evacuations()
    evacuations.replace_all({"a": 5, "b": 6}, 0.0)
    assert evacuations.replace_all({"b": 3, "c": 4}, 1.0, restored=True) == (["c"], [])
    assert sorted(evacuations.domains) == ["a", "b", "c"]
    assert evacuations.expire(0.9 + RESTORE_HOLD_S) == []
    assert evacuations.expire(1.0 + RESTORE_HOLD_S) == ["a"]


def test_another_snapshot_after_a_restore_does_not_end_the_hold_early():
    evacuations = Evacuations()
    evacuations.put("a", 5)
    evacuations.replace_all({}, 1.0, restored=True)
    assert evacuations.replace_all({}, 2.0) == ([], [])
    assert evacuations.put("a", 7) is False
    assert evacuations.expire(60.0) == []
    assert evacuations.replace_all({}, 61.0) == ([], ["a"])


def test_the_watch_does_not_undo_what_a_later_copy_told():
    directory = directory_of(one="a")
    follower = EvacuationFollower(directory)
    follower.record_copy(StorePosition(1, 20), has_evacuations=True)
    follower.replace_all({"a": 18}, 0.0, False, 20)
    follower.apply(EvacuationWithdrawn("a", 12), 1, 0.1)
    assert names(directory) == []
    follower.apply(EvacuationWithdrawn("a", 21), 1, 0.2)
    follower.apply(DomainEvacuated("a", 18), 1, 0.2)
    assert names(directory) == ["one"]


def test_a_copy_of_an_older_build_makes_the_evacuations_incomplete_until_the_store_is_read():
    follower = EvacuationFollower(directory_of(one="a"))
    assert follower.is_complete(StorePosition())
    follower.record_copy(StorePosition(1, 20), has_evacuations=False)
    assert not follower.is_complete(StorePosition(1, 19))
    assert follower.is_complete(StorePosition(1, 20))
    follower.record_copy(StorePosition(1, 21), has_evacuations=True)
    assert follower.is_complete(StorePosition(1, 19))
