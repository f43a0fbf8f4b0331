import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.groups import (
    Adapter,
    ExpertMap,
    GroupShape,
    InvalidExpertMapError,
    InvalidGroupError,
    ModelGroup,
    ModelVersion,
    Rank,
    greedy_map,
    rank_loads,
    static_map,
    weights_to_load,
)

SHAPE = GroupShape(ranks=3, layers=2, experts=6, slots=3)


@given(st.integers(1, 9), st.integers(1, 12), st.integers(1, 12))
def test_a_static_map_is_valid_for_any_shape_that_fits(ranks, experts, slots):
    if slots > experts or ranks * slots < experts:
        with pytest.raises(InvalidGroupError):
            GroupShape(ranks, 1, experts, slots)
        return
    shape = GroupShape(ranks, 1, experts, slots)
    expert_map = static_map(shape)
    assert ExpertMap.decode(1, shape, expert_map.encode()).digest == expert_map.digest
    greedy_map(shape, 1, np.ones((1, experts)))


def test_a_map_that_misses_an_expert_is_refused():
    placement = static_map(SHAPE).placement.copy()
    placement[placement == 5] = -1
    with pytest.raises(InvalidExpertMapError, match="layer 0 does not place expert 5"):
        ExpertMap(2, SHAPE, placement)


def test_a_map_with_an_expert_twice_on_a_rank_is_refused():
    placement = static_map(SHAPE).placement.copy()
    placement[1, 2] = [0, 1, 0]
    with pytest.raises(InvalidExpertMapError):
        ExpertMap(2, SHAPE, placement)


def test_a_map_of_another_length_is_refused():
    with pytest.raises(InvalidExpertMapError, match="expected 36"):
        ExpertMap.decode(1, SHAPE, b"ab")


def test_replicas_share_an_experts_load():
    shape = GroupShape(ranks=2, layers=1, experts=2, slots=2)
    loads = rank_loads(static_map(shape).placement[0], np.array([6.0, 2.0]))
    assert loads.tolist() == [4.0, 4.0]


def test_only_weights_that_a_rank_lacks_are_counted():
    before = static_map(SHAPE)
    placement = before.placement.copy()
    placement[0, 0] = placement[0, 0][::-1]
    assert weights_to_load(before, ExpertMap(2, SHAPE, placement)) == 0


def test_a_group_refuses_gaps_in_ranks_and_foreign_adapters():
    serves = ModelVersion("draft-large", "v1")
    shape = GroupShape(2, 1, 2, 1)
    ranks = (Rank(0, "a"), Rank(1, "b"))
    with pytest.raises(InvalidGroupError, match="number them 0 to 1"):
        ModelGroup("g", serves, shape, (Rank(0, "a"), Rank(2, "b")))
    with pytest.raises(InvalidGroupError, match="twice"):
        ModelGroup("g", serves, shape, (Rank(0, "a"), Rank(1, "a")))
    with pytest.raises(InvalidGroupError, match="adapter"):
        ModelGroup("g", serves, shape, ranks, adapters=(Adapter("x", "other"),))
