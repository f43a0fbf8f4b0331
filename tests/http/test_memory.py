"""The memory budget, who is closed when it is used up, and the bound on work: without a network."""

from collections.abc import Callable, Iterable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.http import _memory as memory_module
from bluebellrun.http._descriptors import caller_connections, peer_links
from bluebellrun.http._memory import Holding, MemoryBudget, MemorySettings, memory_settings
from bluebellrun.http._work import WorkLimit, WorkSettings

SETTINGS = MemorySettings(total_bytes=1_000, reserved_bytes=200, small_bytes=50, step_bytes=10)
LARGEST_BODY = 4_194_304


def holding(budget: MemoryBudget, size: int, closable: bool = True, now: float = 0.0) -> Holding:
    held = Holding(now)
    assert budget.resize(held, size, now)
    held.is_closable = closable
    return held


# Guards: large bodies took all memory, and the small requests of ordinary callers were refused.
def test_large_holdings_leave_a_reserve_for_small_ones() -> None:
    budget = MemoryBudget(SETTINGS)
    holding(budget, 800)
    assert not budget.resize(Holding(0.0), 51, 0.0)
    assert budget.resize(Holding(0.0), 50, 0.0)
    assert budget.resize(Holding(0.0), 150, 0.0, is_answer=True)
    assert not budget.resize(Holding(0.0), 1, 0.0)


# Guards: callers that sent without a stop were closed while stalled ones kept their memory.
def test_the_stalled_are_closed_the_largest_first() -> None:
    budget = MemoryBudget(SETTINGS)
    small, large, busy = (holding(budget, size) for size in (100, 300, 400))
    waits = holding(budget, 0, closable=False)
    budget.record_progress(busy, 10, 1.0)
    assert budget.select_closed(waits, 100, 1.5) == [large]
    assert budget.select_closed(waits, 400, 1.5) == [large, small]
    assert budget.select_closed(waits, 600, 1.5) == []
    assert budget.select_closed(waits, 100, 0.5) == []


# Guards: bodies of a byte at a time counted as progress, so that nothing was ever stalled.
def test_a_few_bytes_are_no_progress() -> None:
    budget = MemoryBudget(SETTINGS)
    trickling = holding(budget, 800)
    for moment in range(9):
        budget.record_progress(trickling, 1, moment / 4)
    assert budget.select_closed(Holding(0.0), 100, 2.0) == [trickling]


# Guards: a connection that runs a request or waits for room was closed as if its caller stalled.
def test_a_connection_that_does_not_wait_for_its_caller_is_not_closed() -> None:
    budget = MemoryBudget(SETTINGS)
    holding(budget, 800, closable=False)
    assert budget.select_closed(Holding(0.0), 100, 9.0) == []


# Guards: a single largest legal request was refused on the smallest host, or on one with less.
def test_a_single_request_always_has_room() -> None:
    assert MemoryBudget(memory_settings(152_000_000)).resize(Holding(0.0), LARGEST_BODY, 0.0)
    assert MemoryBudget(SETTINGS).resize(Holding(0.0), 5_000, 0.0)
    budget = MemoryBudget(memory_settings(152_000_000))
    for _ in range(4):
        holding(budget, LARGEST_BODY)


# Guards: a host that is not told its memory bounded its callers.
@given(st.lists(st.integers(0, 10**9), max_size=20))
def test_without_memory_in_the_settings_nothing_is_bounded(sizes: list[int]) -> None:
    budget = MemoryBudget(memory_settings(0))
    assert all(budget.resize(Holding(0.0), size, 0.0) for size in sizes)


# Guards: the sum drifted from what is held, so that the budget was used up with nothing held.
@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 600), st.booleans())))
def test_the_sum_is_what_the_holdings_hold(steps: list[tuple[int, int, bool]]) -> None:
    budget = MemoryBudget(SETTINGS)
    holdings = [Holding(0.0) for _ in range(6)]
    for number, size, releases in steps:
        if releases:
            budget.release(holdings[number])
        else:
            budget.resize(holdings[number], size, 0.0)
        assert budget.held == sum(held.size for held in holdings)
        assert set(budget.holdings) == {held for held in holdings if held.size}
        assert budget.held <= max(SETTINGS.total_bytes, *(held.size for held in holdings))


# Guards: callers with tiny chunks together took the whole processor.
def test_small_pieces_of_all_bodies_together_take_a_share_of_the_time() -> None:
    work = WorkLimit(WorkSettings(free_pieces=10, share=0.25))
    assert work.pause_s(10, 0.5, 0.0) == 0.0
    assert work.pause_s(11, 0.5, 0.0) == 2.0
    assert work.pause_s(99, 0.5, 1.0) == 3.0
    assert work.pause_s(99, 0.5, 10.0) == 2.0


# Guards: as many callers as descriptors were accepted, and none were left for upstreams.
def test_callers_get_a_part_of_the_descriptors() -> None:
    assert caller_connections(0, 4_096) == 4_096
    assert caller_connections(8_192, 4_096) == 4_096
    assert caller_connections(1_535, 4_096) == 890
    assert caller_connections(100, 4_096) == 16


def test_links_and_callers_together_leave_descriptors():
    assert peer_links(0, 4_096) == 4_096
    assert peer_links(240, 4_096) == 16
    for granted in (1_024, 4_096, 20_000):
        assert caller_connections(granted, granted) + peer_links(granted, granted) < granted


# Guards: each of the bodies that wait for memory sorted all stalled connections at every poll,
# also where closing all of them would not do; 64 of them beside 1,500 slow heads took a core.
def test_the_stalled_are_not_sorted_when_closing_all_would_not_do(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    compared: list[int] = []

    def counting(holdings: Iterable[Holding], key: Callable[[Holding], Any]) -> list[Holding]:
        compared.append(1)
        return sorted(holdings, key=key)

    monkeypatch.setattr(memory_module, "sorted", counting, raising=False)
    budget = MemoryBudget(SETTINGS)
    stalled = [holding(budget, 10), holding(budget, 20)]
    holding(budget, 700, closable=False)
    assert budget.select_closed(Holding(0.0), 200, 2.0) == []
    assert not compared
    assert budget.select_closed(Holding(0.0), 100, 2.0) == stalled[::-1]
    assert compared
