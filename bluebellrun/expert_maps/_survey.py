"""Split the states that a service's upstreams report into groups. Pure."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bluebellrun.gateway._models import Upstream
from bluebellrun.placement import RankState

Reported = tuple[Upstream, RankState]


@dataclass(frozen=True, slots=True)
class SurveyedGroup:
    """The ranks that report a group in its latest epoch."""

    name: str
    epoch: int
    size: int
    ranks: Mapping[int, Reported]

    @property
    def is_complete(self) -> bool:
        """Return whether all ranks answered and the group is formed."""
        return (
            len(self.ranks) == self.size
            and all(0 <= rank < self.size for rank in self.ranks)
            and all(state.is_open for _, state in self.ranks.values())
        )


def split_groups(reported: Iterable[Reported]) -> dict[str, SurveyedGroup]:
    """Return the groups by name.

    A state of an older epoch is that of a rank that the group has formed without, or that has not
    noticed yet. Of two upstreams that report the same rank, the one that started later counts: the
    other one's state was read before it was replaced.
    """
    by_name: dict[str, list[Reported]] = {}
    for item in reported:
        by_name.setdefault(item[1].group, []).append(item)
    return {name: _latest_epoch(name, items) for name, items in by_name.items()}


def _latest_epoch(name: str, items: list[Reported]) -> SurveyedGroup:
    """Return a group from the states that name it."""
    epoch = max(state.epoch for _, state in items)
    ranks: dict[int, Reported] = {}
    size = 0
    for upstream, state in items:
        if state.epoch != epoch:
            continue
        size = max(size, state.size)
        known = ranks.get(state.rank)
        if known is None or known[1].born < state.born:
            ranks[state.rank] = (upstream, state)
    return SurveyedGroup(name, epoch, size, dict(sorted(ranks.items())))
