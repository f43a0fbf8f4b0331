import curio
import pytest

from bluebellrun.core import parse_address
from bluebellrun.distribution import survey_fleet
from bluebellrun.membership import MemberState
from bluebellrun.store import HostEntry, HostState
from tests.distribution.cluster import LINK, apart, run_cluster


def test_a_change_reaches_every_process_and_few_of_them_watch_the_store():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(12):
            await cluster.start(f"n-{number}")
        await cluster.until_version(version)
        await cluster.until(lambda: len(cluster.watchers()) == 3)
        version = await cluster.declare("service", "one", "two")
        await cluster.until_version(version)
        digests = {member.node.state.documents.digest for member in cluster.members.values()}
        assert len(digests) == 1
        assert cluster.members["n-0"].node.follower.current.services.find("two") is not None

    run_cluster(main)


def test_processes_that_start_at_once_on_an_empty_directory_become_one_domain():
    async def main(cluster) -> None:
        await cluster.declare("service", "one")
        names = [f"n-{number}" for number in range(15)]
        tasks = [await curio.spawn(cluster.start, name) for name in names]
        for task in tasks:
            await task.join()
        await cluster.until(
            lambda: all(len(m.node.state.members.relays()) == 15 for m in cluster.members.values())
        )
        await cluster.until(lambda: len(cluster.watchers()) == 3)

    run_cluster(main)


def test_a_new_process_learns_the_newest_while_the_store_is_down():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        first = await cluster.start("a")
        await cluster.start("b")
        await cluster.until_version(version)
        await cluster.set_down(True)
        seeds = [parse_address(first.node.state.members.own.address)]
        newcomer = await cluster.start("new", seeds=seeds)
        await cluster.until_version(version, "new")
        assert newcomer.node.ready
        assert newcomer.node.follower.source != "store"
        await cluster.set_down(False)
        later = await cluster.declare("service", "one", "two")
        await cluster.until_version(later)

    run_cluster(main)


def test_a_new_process_takes_the_highest_of_several_answers():
    async def main(cluster) -> None:
        old = await cluster.declare("service", "one")
        stale = await cluster.start("stale", "d-1", store=apart(cluster))
        await cluster.until_version(old, "stale")
        stale.store.faults.down = True
        await stale.store.wake()
        cluster.store.memory.delete(b"/t/directory/d-1/0")
        new = await cluster.declare("service", "one", "two")
        fresh = await cluster.start("fresh", "d-2", store=apart(cluster))
        await cluster.until_version(new, "fresh")
        seeds = [parse_address(member.node.state.members.own.address) for member in (stale, fresh)]
        await cluster.set_down(True)
        await cluster.start("new", "d-1", seeds=seeds)
        await cluster.until_version(new, "new")

    run_cluster(main)


def test_a_process_that_finds_neither_store_nor_peers_says_it_is_unready():
    async def main(cluster) -> None:
        await cluster.declare("service", "one")
        await cluster.set_down(True)
        member = await cluster.start("alone")
        await curio.sleep(0.5)
        assert not member.node.ready
        assert not member.node.status().ready
        await cluster.set_down(False)
        await cluster.until(lambda: member.node.ready)

    run_cluster(main)


@pytest.mark.parametrize("goodbye", [True, False])
def test_the_death_of_any_process_leaves_the_others_up_to_date(goodbye):
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        names = [f"n-{number}" for number in range(8)]
        for name in names:
            await cluster.start(name)
        await cluster.until_version(version)
        await cluster.until(lambda: len(cluster.watchers()) == 3)
        dead = cluster.watchers()[0]
        if goodbye:
            await cluster.members[dead].node.leave()
        await cluster.members.pop(dead).kill()
        later = await cluster.declare("service", "one", "two")
        await cluster.until_version(later)
        expected = MemberState.GONE
        await cluster.until(
            lambda: all(
                m.node.state.members.get(dead).state is expected for m in cluster.members.values()
            )
        )
        await cluster.until(lambda: len(cluster.watchers()) == 3)

    run_cluster(main)


def test_all_watchers_gone_at_once_are_replaced():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(9):
            await cluster.start(f"n-{number}")
        await cluster.until_version(version)
        await cluster.until(lambda: len(cluster.watchers()) == 3)
        for name in cluster.watchers():
            await cluster.members.pop(name).kill()
        later = await cluster.declare("service", "one", "two")
        await cluster.until_version(later)

    run_cluster(main)


def test_a_domain_cut_off_from_the_store_hears_through_another():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        cut_off = apart(cluster)
        for number in range(3):
            await cluster.start(f"a-{number}", "d-1")
            await cluster.start(f"b-{number}", "d-2", store=cut_off)
        await cluster.until_version(version)
        await cluster.until(
            lambda: any(
                parent.name.startswith("a-")
                for number in range(3)
                for parent in cluster.members[f"b-{number}"].node.status().parents
            )
        )
        cut_off.faults.down = True
        await cut_off.wake()
        later = await cluster.declare("service", "one", "two")
        await cluster.until_version(later)

    run_cluster(main)


def test_a_version_never_falls_when_the_store_does():
    async def main(cluster) -> None:
        await cluster.declare("service", "one")
        version = await cluster.declare("service", "one", "two")
        member = await cluster.start("a")
        await cluster.until_version(version)
        cluster.store.memory.compact(version + 1)
        cluster.store.memory._records[b"/t/config/service"].mod_revision = 2
        await cluster.set_down(True)
        await curio.sleep(0.1)
        await cluster.set_down(False)
        await curio.sleep(0.5)
        assert member.version == version

    run_cluster(main)


def test_malformed_documents_in_the_store_leave_the_version_before_in_force():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        member = await cluster.start("a")
        await cluster.until_version(version)
        cluster.store.memory.transact([], [lambda m: m.put(b"/t/config/service", b"{", 0)])
        await cluster.wake()
        await curio.sleep(0.1)
        assert member.version == version
        later = await cluster.declare("service", "three")
        await cluster.until_version(later)

    run_cluster(main)


def test_a_leaving_host_is_known_everywhere_and_the_list_is_read_by_few():
    class Hosts:
        def __init__(self) -> None:
            self.states = {f"host-n-{n}": HostState.LIVE for n in range(8)}

        async def read(self):
            return tuple(HostEntry(name, state) for name, state in self.states.items())

    async def main(cluster) -> None:
        cluster.hosts = Hosts()
        version = await cluster.declare("service", "one")
        for number in range(8):
            await cluster.start(f"n-{number}")
        await cluster.until_version(version)
        cluster.hosts.states["host-n-3"] = HostState.LEAVING
        await cluster.until(
            lambda: all(m.node.departures.includes("host-n-3") for m in cluster.members.values())
        )
        cluster.hosts.states["host-n-3"] = HostState.LIVE
        await cluster.until(
            lambda: (
                not any(m.node.departures.includes("host-n-3") for m in cluster.members.values())
            )
        )

    run_cluster(main)


def test_the_survey_counts_who_has_the_version():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(6):
            await cluster.start(f"a-{number}", "d-1")
            await cluster.start(f"b-{number}", "d-2")
        await cluster.until_version(version)
        for _ in range(100):
            survey = await survey_fleet(cluster.store, "/t", [], LINK)
            if [domain.versions for domain in survey.domains] == [{version: 6}, {version: 6}]:
                break
            await curio.sleep(0.05)
        assert survey.newest == version
        assert [domain.versions for domain in survey.domains] == [{version: 6}, {version: 6}]
        assert (survey.processes, survey.up_to_date) == (12, 12)
        assert [domain.silent for domain in survey.domains] == [0, 0]

    run_cluster(main)


def test_all_restarted_at_once_with_a_slow_store_make_few_calls():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        names = [f"n-{number}" for number in range(12)]
        for name in names:
            await cluster.start(name)
        await cluster.until_version(version)
        await cluster.until(lambda: len(cluster.watchers()) == 3)
        for member in list(cluster.members.values()):
            await member.kill()
        cluster.members.clear()

        class Slow(type(cluster.store)):
            calls_made = 0

            async def read_prefix(self, prefix):
                Slow.calls_made += 1
                await curio.sleep(0.3)
                return await super().read_prefix(prefix)

            async def transact(self, compares, puts):
                Slow.calls_made += 1
                await curio.sleep(0.3)
                return await super().transact(compares, puts)

        tasks = [
            await curio.spawn(
                cluster.start,
                name,
                "d-1",
                (),
                Slow(cluster.clock, cluster.store.memory, cluster.store.faults),
            )
            for name in names
        ]
        for task in tasks:
            await task.join()
        await cluster.until_version(version)
        assert Slow.calls_made <= 6 * len(names)

    run_cluster(main)


def test_a_process_cut_off_from_store_and_peers_serves_on_and_says_how_old_its_news_is():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        cut_off = apart(cluster)
        member = await cluster.start("a", store=cut_off)
        await cluster.until_version(version)
        cut_off.faults.down = True
        await cut_off.wake()
        later = await cluster.declare("service", "one", "two")
        await curio.sleep(0.3)
        status = member.node.status()
        assert status.ready
        assert status.version == version
        assert status.store_age_s >= 0.2
        cut_off.faults.down = False
        await cluster.until_version(later)

    run_cluster(main)


def test_a_failing_listener_keeps_no_later_version_from_coming_into_force():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        member = await cluster.start("a")
        heard = []

        async def fail(configuration) -> None:
            raise RuntimeError("a fault")

        async def hear(configuration) -> None:
            heard.append(configuration.version)

        member.node.follower.add_listener(fail)
        member.node.follower.add_listener(hear)
        await cluster.until_version(version)
        later = await cluster.declare("service", "one", "two")
        await cluster.until(lambda: heard[-1:] == [later])

    run_cluster(main)


def test_a_failure_domain_gone_and_started_again_finds_itself_and_the_newest():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(4):
            await cluster.start(f"a-{number}", "d-1")
            await cluster.start(f"b-{number}", "d-2")
        await cluster.until_version(version)
        await cluster.until(lambda: len(cluster.watchers()) == 6)
        lost = [name for name in cluster.members if name.startswith("b-")]
        for name in lost:
            cluster.members[name].node.state.stopping = True
        for name in lost:
            await cluster.members.pop(name).kill()
        later = await cluster.declare("service", "one", "two")
        await cluster.until_version(later)
        assert all(len(m.node.state.members.relays()) == 4 for m in cluster.members.values())
        for name in lost:
            await cluster.start(name, "d-2")
        await cluster.until_version(later)
        await cluster.until(
            lambda: all(len(m.node.state.members.relays()) == 4 for m in cluster.members.values())
        )

    run_cluster(main)


def test_a_new_process_without_peers_of_its_domain_hears_from_another_domain():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        first = await cluster.start("a", "d-1")
        await cluster.until_version(version)
        await cluster.set_down(True)
        seeds = [parse_address(first.node.state.members.own.address)]
        newcomer = await cluster.start("b", "d-2", seeds=seeds)
        await cluster.until_version(version, "b")
        assert not newcomer.node.state.joined
        await cluster.set_down(False)
        later = await cluster.declare("service", "one", "two")
        await cluster.until_version(later)
        await cluster.until(lambda: newcomer.node.state.joined)

    run_cluster(main)
