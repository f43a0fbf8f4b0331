import curio
import pytest

from bluebellrun.core import parse_address
from bluebellrun.distribution import survey_fleet
from bluebellrun.membership import MemberState
from bluebellrun.store import HostEntry, HostState
from tests.distribution.cluster import LINK, run_cluster, store_with_own_faults


def test_change_reaches_every_process_through_three_watchers():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(12):
            await cluster.start(f"n-{number}")
        await cluster.wait_for_version(version)
        await cluster.wait_until(lambda: len(cluster.watchers()) == 3)
        version = await cluster.declare("service", "one", "two")
        await cluster.wait_for_version(version)
        digests = {member.node.state.documents.digest for member in cluster.members.values()}
        assert len(digests) == 1
        assert cluster.members["n-0"].node.follower.current.services.find("two") is not None

    run_cluster(main)


def test_simultaneous_starts_with_empty_directory_form_one_domain():
    async def main(cluster) -> None:
        await cluster.declare("service", "one")
        names = [f"n-{number}" for number in range(15)]
        tasks = [await curio.spawn(cluster.start, name) for name in names]
        for task in tasks:
            await task.join()
        await cluster.wait_until(
            lambda: all(len(m.node.state.members.relays()) == 15 for m in cluster.members.values())
        )
        await cluster.wait_until(lambda: len(cluster.watchers()) == 3)

    run_cluster(main)


def test_new_process_gets_newest_version_from_peer_while_store_is_down():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        first = await cluster.start("a")
        await cluster.start("b")
        await cluster.wait_for_version(version)
        await cluster.set_down(True)
        seeds = [parse_address(first.node.state.members.own.address)]
        new_process = await cluster.start("new", seeds=seeds)
        await cluster.wait_for_version(version, "new")
        assert new_process.node.ready
        assert new_process.node.follower.source != "store"
        await cluster.set_down(False)
        later = await cluster.declare("service", "one", "two")
        await cluster.wait_for_version(later)

    run_cluster(main)


def test_new_process_applies_highest_version_of_several_answers():
    async def main(cluster) -> None:
        old = await cluster.declare("service", "one")
        stale = await cluster.start("stale", "d-1", store=store_with_own_faults(cluster))
        await cluster.wait_for_version(old, "stale")
        stale.store.faults.down = True
        await stale.store.wake()
        cluster.store.memory.delete(b"/t/directory/d-1/0")
        new = await cluster.declare("service", "one", "two")
        fresh = await cluster.start("fresh", "d-2", store=store_with_own_faults(cluster))
        await cluster.wait_for_version(new, "fresh")
        seeds = [parse_address(member.node.state.members.own.address) for member in (stale, fresh)]
        await cluster.set_down(True)
        await cluster.start("new", "d-1", seeds=seeds)
        await cluster.wait_for_version(new, "new")

    run_cluster(main)


def test_process_without_store_and_peers_is_not_ready():
    async def main(cluster) -> None:
        await cluster.declare("service", "one")
        await cluster.set_down(True)
        member = await cluster.start("alone")
        await curio.sleep(0.5)
        assert not member.node.ready
        assert not member.node.status().ready
        await cluster.set_down(False)
        await cluster.wait_until(lambda: member.node.ready)

    run_cluster(main)


@pytest.mark.parametrize("graceful", [True, False])
def test_other_processes_stay_up_to_date_after_watcher_stops(graceful):
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        names = [f"n-{number}" for number in range(8)]
        for name in names:
            await cluster.start(name)
        await cluster.wait_for_version(version)
        await cluster.wait_until(lambda: len(cluster.watchers()) == 3)
        stopped = cluster.watchers()[0]
        if graceful:
            await cluster.members[stopped].node.leave()
        await cluster.members.pop(stopped).kill()
        later = await cluster.declare("service", "one", "two")
        await cluster.wait_for_version(later)
        expected = MemberState.GONE
        await cluster.wait_until(
            lambda: all(
                m.node.state.members.get(stopped).state is expected
                for m in cluster.members.values()
            )
        )
        await cluster.wait_until(lambda: len(cluster.watchers()) == 3)

    run_cluster(main)


def test_watchers_that_stop_together_are_replaced():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(9):
            await cluster.start(f"n-{number}")
        await cluster.wait_for_version(version)
        await cluster.wait_until(lambda: len(cluster.watchers()) == 3)
        for name in cluster.watchers():
            await cluster.members.pop(name).kill()
        later = await cluster.declare("service", "one", "two")
        await cluster.wait_for_version(later)

    run_cluster(main)


def test_domain_without_store_is_updated_through_other_domain():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        cut_off = store_with_own_faults(cluster)
        for number in range(3):
            await cluster.start(f"a-{number}", "d-1")
            await cluster.start(f"b-{number}", "d-2", store=cut_off)
        await cluster.wait_for_version(version)
        await cluster.wait_until(
            lambda: any(
                parent.name.startswith("a-")
                for number in range(3)
                for parent in cluster.members[f"b-{number}"].node.status().parents
            )
        )
        cut_off.faults.down = True
        await cut_off.wake()
        later = await cluster.declare("service", "one", "two")
        await cluster.wait_for_version(later)

    run_cluster(main)


def test_version_does_not_decrease_when_store_revision_does():
    async def main(cluster) -> None:
        await cluster.declare("service", "one")
        version = await cluster.declare("service", "one", "two")
        member = await cluster.start("a")
        await cluster.wait_for_version(version)
        cluster.store.memory.compact(version + 1)
        cluster.store.memory._records[b"/t/config/service"].mod_revision = 2
        await cluster.set_down(True)
        await curio.sleep(0.1)
        await cluster.set_down(False)
        await curio.sleep(0.5)
        assert member.version == version

    run_cluster(main)


def test_malformed_stored_documents_keep_previous_version_in_force():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        member = await cluster.start("a")
        await cluster.wait_for_version(version)
        cluster.store.memory.transact([], [lambda m: m.put(b"/t/config/service", b"{", 0)])
        await cluster.wake()
        await curio.sleep(0.1)
        assert member.version == version
        later = await cluster.declare("service", "three")
        await cluster.wait_for_version(later)

    run_cluster(main)


def test_leaving_host_reaches_every_process():
    class HostListStub:
        def __init__(self) -> None:
            self.states = {f"host-n-{n}": HostState.LIVE for n in range(8)}

        async def read(self):
            return tuple(HostEntry(name, state) for name, state in self.states.items())

    async def main(cluster) -> None:
        cluster.hosts = HostListStub()
        version = await cluster.declare("service", "one")
        for number in range(8):
            await cluster.start(f"n-{number}")
        await cluster.wait_for_version(version)
        cluster.hosts.states["host-n-3"] = HostState.LEAVING
        await cluster.wait_until(
            lambda: all(m.node.departures.includes("host-n-3") for m in cluster.members.values())
        )
        cluster.hosts.states["host-n-3"] = HostState.LIVE
        await cluster.wait_until(
            lambda: (
                not any(m.node.departures.includes("host-n-3") for m in cluster.members.values())
            )
        )

    run_cluster(main)


def test_survey_counts_processes_by_version():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(6):
            await cluster.start(f"a-{number}", "d-1")
            await cluster.start(f"b-{number}", "d-2")
        await cluster.wait_for_version(version)
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


def test_simultaneous_restart_with_slow_store_makes_few_calls():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        names = [f"n-{number}" for number in range(12)]
        for name in names:
            await cluster.start(name)
        await cluster.wait_for_version(version)
        await cluster.wait_until(lambda: len(cluster.watchers()) == 3)
        for member in list(cluster.members.values()):
            await member.kill()
        cluster.members.clear()

        class SlowStore(type(cluster.store)):
            calls_made = 0

            async def read_prefix(self, prefix):
                SlowStore.calls_made += 1
                await curio.sleep(0.3)
                return await super().read_prefix(prefix)

            async def transact(self, compares, puts):
                SlowStore.calls_made += 1
                await curio.sleep(0.3)
                return await super().transact(compares, puts)

        tasks = [
            await curio.spawn(
                cluster.start,
                name,
                "d-1",
                (),
                SlowStore(cluster.clock, cluster.store.memory, cluster.store.faults),
            )
            for name in names
        ]
        for task in tasks:
            await task.join()
        await cluster.wait_for_version(version)
        assert SlowStore.calls_made <= 6 * len(names)

    run_cluster(main)


def test_isolated_process_stays_ready_and_reports_store_age():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        cut_off = store_with_own_faults(cluster)
        member = await cluster.start("a", store=cut_off)
        await cluster.wait_for_version(version)
        cut_off.faults.down = True
        await cut_off.wake()
        later = await cluster.declare("service", "one", "two")
        await curio.sleep(0.3)
        status = member.node.status()
        assert status.ready
        assert status.version == version
        assert status.store_age_s >= 0.2
        cut_off.faults.down = False
        await cluster.wait_for_version(later)

    run_cluster(main)


def test_failing_listener_does_not_block_later_versions():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        member = await cluster.start("a")
        versions = []

        async def fail(configuration) -> None:
            raise RuntimeError("a fault")

        async def record(configuration) -> None:
            versions.append(configuration.version)

        member.node.follower.add_listener(fail)
        member.node.follower.add_listener(record)
        await cluster.wait_for_version(version)
        later = await cluster.declare("service", "one", "two")
        await cluster.wait_until(lambda: versions[-1:] == [later])

    run_cluster(main)


def test_restarted_failure_domain_reforms_and_gets_newest_version():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        for number in range(4):
            await cluster.start(f"a-{number}", "d-1")
            await cluster.start(f"b-{number}", "d-2")
        await cluster.wait_for_version(version)
        await cluster.wait_until(lambda: len(cluster.watchers()) == 6)
        lost = [name for name in cluster.members if name.startswith("b-")]
        for name in lost:
            cluster.members[name].node.state.stopping = True
        for name in lost:
            await cluster.members.pop(name).kill()
        later = await cluster.declare("service", "one", "two")
        await cluster.wait_for_version(later)
        assert all(len(m.node.state.members.relays()) == 4 for m in cluster.members.values())
        for name in lost:
            await cluster.start(name, "d-2")
        await cluster.wait_for_version(later)
        await cluster.wait_until(
            lambda: all(len(m.node.state.members.relays()) == 4 for m in cluster.members.values())
        )

    run_cluster(main)


def test_first_process_of_domain_is_updated_by_other_domain():
    async def main(cluster) -> None:
        version = await cluster.declare("service", "one")
        first = await cluster.start("a", "d-1")
        await cluster.wait_for_version(version)
        await cluster.set_down(True)
        seeds = [parse_address(first.node.state.members.own.address)]
        new_process = await cluster.start("b", "d-2", seeds=seeds)
        await cluster.wait_for_version(version, "b")
        assert not new_process.node.state.joined
        await cluster.set_down(False)
        later = await cluster.declare("service", "one", "two")
        await cluster.wait_for_version(later)
        await cluster.wait_until(lambda: new_process.node.state.joined)

    run_cluster(main)
