from bluebellrun.core import Address
from bluebellrun.gateway import Upstream, UpstreamDirectory
from bluebellrun.gateway._directory import LEAVING_NOTICE_S, OUTDATED_S


def upstream(instance, leaving=False, service="s", started_ms=0, at=None):
    address = Address("10.0.0.1", sum(instance.encode()) if at is None else at)
    return Upstream(instance, service, address, "a", 6, leaving, started_ms)


def names(directory, now=0.0):
    return sorted(item.instance for item in directory.usable("s", now))


def test_a_leaving_upstream_gets_no_requests_immediately():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    directory.put(upstream("two"))
    directory.put(upstream("one", leaving=True))
    assert names(directory) == ["two"]
    assert [item.instance for item in directory.of_service("s")] == ["one", "two"]


def test_a_registration_removed_without_an_outage_is_dropped_at_once():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    directory.remove("one")
    assert names(directory, 10.0) == []


def test_a_registration_lapsed_in_an_outage_is_kept_for_the_grace_period():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    directory.remove("one", outage_ended_at=10.0)
    assert names(directory, 11.9) == ["one"]
    assert names(directory, 12.0) == []


def test_a_lapsed_registration_that_is_written_again_in_time_stays():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    directory.remove("one", outage_ended_at=10.0)
    directory.put(upstream("one"))
    assert names(directory, 60.0) == ["one"]


def test_a_leaving_upstream_is_dropped_even_during_an_outage():
    directory = UpstreamDirectory()
    directory.put(upstream("one", leaving=True))
    directory.remove("one", outage_ended_at=10.0)
    assert list(directory.instances) == []


def test_replacing_all_registrations_drops_the_missing_ones():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    directory.put(upstream("two"))
    directory.replace_all({"two": upstream("two")}, 5.0)
    assert names(directory, 5.0) == ["two"]
    directory.replace_all({}, 6.0, outage_ended_at=6.0)
    assert names(directory, 6.5) == ["two"]
    assert names(directory, 8.1) == []


def test_an_upstream_replaced_at_its_address_is_dropped():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    directory.mark_replaced(("one", 0))
    assert names(directory) == []
    directory.put(upstream("one", started_ms=1))
    assert names(directory) == ["one"]
    directory.mark_replaced(("one", 0))
    assert names(directory) == ["one"]


def test_an_upstream_s_own_leaving_notice_overrides_its_registrations():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    assert directory.mark_leaving(("one", 0), 5.0)
    assert not directory.mark_leaving(("one", 0), 6.0)
    directory.put(upstream("one"))
    assert names(directory) == []
    directory.remove("one", outage_ended_at=7.0)
    directory.put(upstream("one"))
    assert names(directory) == []


def test_a_leaving_notice_may_arrive_before_the_registration():
    directory = UpstreamDirectory()
    directory.mark_leaving(("one", 0), 5.0)
    directory.put(upstream("one"))
    assert names(directory) == []


def test_a_leaving_notice_does_not_affect_a_later_incarnation():
    directory = UpstreamDirectory()
    directory.put(upstream("one", started_ms=2))
    directory.mark_leaving(("one", 1), 5.0)
    assert names(directory) == ["one"]


def test_other_entries_are_notified_of_a_leaving_upstream_for_a_limited_time():
    directory = UpstreamDirectory()
    directory.mark_leaving(("one", 1), 5.0)
    assert directory.recently_leaving(5.0) == [("one", 1)]
    assert directory.recently_leaving(5.0 + LEAVING_NOTICE_S) == []


def test_of_two_incarnations_at_one_address_the_later_is_used_in_any_order():
    directory = UpstreamDirectory()
    for order in (("old", "new"), ("new", "old")):
        for instance in order:
            directory.put(upstream(instance, started_ms=2 if instance == "new" else 1, at=80))
        assert names(directory) == ["new"]
    directory.remove("new")
    assert names(directory) == ["old"]


def test_without_start_times_all_registrations_of_an_address_are_used():
    directory = UpstreamDirectory()
    directory.put(upstream("one", at=80))
    directory.put(upstream("two", at=80))
    assert names(directory) == ["one", "two"]


def test_the_same_address_under_another_service_replaces_nothing():
    directory = UpstreamDirectory()
    directory.put(upstream("one", started_ms=1, at=80))
    directory.put(upstream("two", service="other", started_ms=2, at=80))
    assert names(directory) == ["one"]


# Guards: an older copy of the store brought back upstreams that had left (DRAIN).
def test_an_older_copy_of_the_store_revives_no_upstream_that_has_left():
    directory = UpstreamDirectory()
    for name in ("stays", "leaves", "left"):
        directory.put(upstream(name))
    copy = {name: upstream(name) for name in ("stays", "leaves", "left")}
    directory.put(upstream("leaves", leaving=True))
    directory.remove("left")
    directory.replace_all(copy, 5.0, outage_ended_at=5.0, restored=True)
    assert names(directory, 5.0) == ["stays"]
    directory.put(upstream("leaves"))
    assert names(directory, 5.1) == ["leaves", "stays"]
    directory.remove("left")
    assert names(directory, 5.0 + OUTDATED_S) == ["leaves", "stays"]


def test_an_upstream_that_is_still_registered_in_the_older_copy_is_used_after_some_seconds():
    directory = UpstreamDirectory()
    directory.put(upstream("one"))
    directory.remove("one")
    directory.replace_all({"one": upstream("one")}, 5.0, outage_ended_at=5.0, restored=True)
    assert names(directory, 5.0 + OUTDATED_S - 0.1) == []
    assert names(directory, 5.0 + OUTDATED_S) == ["one"]


def test_an_upstream_that_registered_in_the_lost_seconds_is_kept_for_a_while():
    directory = UpstreamDirectory()
    directory.put(upstream("late"))
    directory.replace_all({}, 5.0, outage_ended_at=5.0, restored=True)
    assert names(directory, 5.1) == ["late"]
    directory.put(upstream("late"))
    assert names(directory, 60.0) == ["late"]
