"""A store that comes back from a copy some seconds old: revisions are given out again."""

from bluebellrun.gateway import StoreView
from tests.platform.test_view import Watched, configuration, registration, run_check


def view_of(watched: Watched) -> StoreView:
    assert watched.view is not None
    return watched.view


# Guards: the watch went on from the known revision and never saw the new configuration (CONFIG).
def test_changes_after_a_restore_are_applied_though_revisions_are_given_out_again():
    async def check(watched: Watched) -> None:
        watched.fake.put("op/config", configuration(3))
        watched.fake.put("servers/stays", registration())
        copy = watched.fake.copy()
        for number in range(8):
            watched.fake.put("servers/lost", registration(seq=number))
        await watched.start()
        await watched.until(lambda: watched.usable() == ["lost", "stays"])
        watched.fake.restore(copy)
        for number in range(6):
            watched.fake.put(f"servers/new{number}", registration(addr=f"10.0.1.{number}:80"))
        watched.fake.put("op/config", configuration(11))
        for number in range(6):
            watched.fake.put("servers/stays", registration(seq=number))
        await watched.until(lambda: 11 in watched.versions)
        new = [f"new{number}" for number in range(6)]
        await watched.until(lambda: watched.usable() == [*new, "stays"])

    run_check(check)
