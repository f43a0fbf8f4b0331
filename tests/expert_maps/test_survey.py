import curio
import pytest

from bluebellrun.core import parse_address
from bluebellrun.expert_maps import GroupsWriter
from bluebellrun.expert_maps._group_demand import GroupDemand
from bluebellrun.expert_maps._service_ranks import RETENTION_S, ServiceRanks
from bluebellrun.expert_maps._survey import split_groups
from bluebellrun.gateway import Upstream
from bluebellrun.placement import RankState
from tests.expert_maps.fake_ranks import PREFIX, SERVICE, TERMS, FakeRanks

KEY = f"{PREFIX}{SERVICE}"


def state(
    group: str, rank: int, epoch: int = 1, size: int = 2, born: int = 1, is_open: bool = True
) -> RankState:
    return RankState(rank, size, group, epoch, born, is_open, step=0, active=0)


def reported(*states: RankState) -> list[tuple[Upstream, RankState]]:
    address = parse_address("10.0.0.1:80")
    return [
        (Upstream(f"u{number}", SERVICE, address, "a", slots=6), item)
        for number, item in enumerate(states)
    ]


def test_states_are_split_by_group_also_of_different_sizes():
    found = split_groups(
        reported(state("a", 0), state("b", 0, size=1, epoch=7), state("a", 1), state("c", 1))
    )
    assert {name: (group.epoch, group.is_complete) for name, group in found.items()} == {
        "a": (1, True),
        "b": (7, True),
        "c": (1, False),
    }


# Guards: a rank that has not noticed the new epoch was counted to the group.
def test_a_half_formed_group_is_not_complete():
    found = split_groups(reported(state("a", 0, epoch=2), state("a", 1, epoch=1)))["a"]
    assert (found.epoch, found.is_complete, list(found.ranks)) == (2, False, [0])
    opening = split_groups(reported(state("a", 0), state("a", 1, is_open=False)))["a"]
    assert not opening.is_complete
    beyond = split_groups(reported(state("a", 0), state("a", 2)))["a"]
    assert not beyond.is_complete


# Guards: orders went to the former upstream of a rank.
def test_of_two_upstreams_with_one_rank_the_later_one_counts():
    found = split_groups(
        reported(state("a", 0, born=5), state("a", 1), state("a", 0, born=9), state("a", 0, born=6))
    )["a"]
    assert found.is_complete
    assert found.ranks[0][0].instance == "u2"


class Survey:
    """The surveyor's knowledge of fake ranks."""

    def __init__(self, ranks: FakeRanks) -> None:
        self.ranks = ranks
        self.known = ServiceRanks(SERVICE, ranks, ranks.directory, ranks.recorded)

    async def members(self, now: float = 100.0) -> dict[str, set[str]]:
        await self.known.update(now)
        await self.known.read(self.known.all)
        return {item.name: set(item.ranks) for item in self.known.members()}


def test_ranks_that_moved_or_were_replaced_count_to_their_present_group():
    async def main() -> None:
        ranks = FakeRanks()
        ranks.add_group("a", 2)
        ranks.add_group("b", 2)
        survey = Survey(ranks)
        assert await survey.members() == {"a": {"a0", "a1"}, "b": {"b0", "b1"}}
        ranks.ranks["a1"] = ("b", 1)
        ranks.replaced.add("b1")
        assert await survey.members() == {"a": {"a0"}, "b": {"b0", "a1"}}

    curio.run(main)


# Guards: of two registrations with one address, the former's was asked too and filed as a rank.
def test_two_registrations_of_one_address_are_one_rank():
    async def main() -> None:
        ranks = FakeRanks()
        ranks.add_group("a", 2)
        former = ranks.directory.find("a1")
        assert former is not None
        ranks.add_rank("new", "a", 1, str(former.address))
        assert await Survey(ranks).members() == {"a": {"a0", "new"}}
        assert "a1" not in ranks.asked

    curio.run(main)


# Guards: while a group was broken, its ranks were unknown and its upstreams got work.
def test_a_rank_that_does_not_answer_stays_in_its_group_until_its_registration_is_gone():
    async def main() -> None:
        ranks = FakeRanks()
        ranks.add_group("a", 2)
        survey = Survey(ranks)
        await survey.members()
        ranks.silent.add("a1")
        assert await survey.members() == {"a": {"a0", "a1"}}
        ranks.directory.remove("a1")
        assert await survey.members(101.0) == {"a": {"a0", "a1"}}
        assert await survey.members(101.0 + RETENTION_S) == {"a": {"a0"}}

    curio.run(main)


# Guards: a new surveyor forgot the ranks of a group that was unreachable at the time.
def test_a_surveyor_that_has_not_reached_a_rank_goes_by_the_record():
    async def main() -> None:
        ranks = FakeRanks()
        ranks.add_group("a", 2)
        ranks.add_group("b", 2)
        first = Survey(ranks)
        await first.members()
        await GroupsWriter(ranks.store, ranks.view).write(KEY, first.known.members(), 0.0)
        ranks.recorded.follow([SERVICE], 0.0)
        ranks.silent.add("b")
        second = Survey(ranks)
        assert await second.members() == {"a": {"a0", "a1"}, "b": {"b0", "b1"}}
        assert second.known.members() == first.known.members()

    curio.run(main)


# Guards: a group that formed again was on its first map until new demand was observed.
def test_the_demand_from_before_is_known_when_a_group_forms_again():
    subject = GroupDemand(SERVICE, "a", TERMS, FakeRanks())
    counts = [800.0, 400.0, *[50.0] * 6] * TERMS.layers
    for _ in range(20):
        subject._mixtures.observe(counts)
    assert not subject.is_known
    subject.expect_prior()
    assert (subject.is_known, subject.is_observed) == (True, False)
    assert subject.by_layer()[1] == pytest.approx([value / 1500 for value in counts[:8]])
