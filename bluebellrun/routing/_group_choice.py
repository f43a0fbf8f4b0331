"""Choose the group of a service that would finish a request first. Pure; times in seconds.

All ranks of a group make their passes together, so an answer takes as long in all of them: its
passes, each of a fixed part and one that grows with the group's load, after the prompts that are
still to be read. A request beyond the slots that the group may use waits for one of a single rank,
as ranks do not share their queues. That is a good part of an answer's time, and it becomes likely
before the last slot is taken.

The entries' news of each other's requests is some tenths of a second old. If all chose the group
that finishes first, they would overload it. So the requests that are expected to be sent meanwhile
are distributed in thought until all groups finish at about the same time, and a request goes to one
of the groups in proportion to its part of them.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from bluebellrun.routing._group_keys import GroupKey

# Groups among which requests are distributed; bounds the time of a choice in large services.
MAX_CONSIDERED = 32
# Finish times that differ by less than this are ties.
TIE_S = 0.001
# Halvings by which the common finish time is found, to a millisecond or better.
HALVINGS = 12
MIN_GROWTH_S = 1e-6
# Fraction of the usable slots from which on requests are more and more likely to meet a full rank,
# as the news of the others' requests is old.
CALM_FRACTION = 0.85
# A wait for a slot counts this many times: it delays the first event, for which callers have a part
# of an answer's time, while longer passes within the group's bound make no event late.
WAIT_WEIGHT = 6.0


@dataclass(frozen=True, slots=True)
class PassTerms:
    """What an answer costs in a group of a service.

    It takes ``passes`` passes of ``fixed_s``, plus ``growth_s`` if all slots are taken; that is
    replaced by what is seen of a group. Prompts are read at ``read_tokens_per_s``.
    """

    fixed_s: float = 1.0
    growth_s: float = 1.0
    passes: float = 1.0
    read_tokens_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class GroupWork:
    """The work of one group, as far as this entry knows.

    Of its ``slots``, ``usable`` may be taken for its passes to be in time. ``running`` counts
    requests of all entries at its ``ranks``, and ``unread_tokens`` the prompt tokens at the rank
    that has most of them, as the others wait for it. ``growth_s`` is none until passes have been
    seen, and ``local_fraction`` the part of its ranks in the entry's own failure domain.
    """

    key: GroupKey
    slots: float
    usable: float
    running: float
    ranks: int = 1
    unread_tokens: int = 0
    growth_s: float | None = None
    local_fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class GroupChoice:
    """The chosen group and the part of the expected requests that should go there."""

    key: GroupKey
    share: float


class _Finish:
    """When a group would finish requests, by the number that it has."""

    def __init__(self, work: GroupWork, terms: PassTerms) -> None:
        growth_s = terms.growth_s if work.growth_s is None else work.growth_s
        rate = terms.read_tokens_per_s
        self.work = work
        self._usable = max(work.usable, 1.0)
        self._idle_s = terms.passes * terms.fixed_s + (work.unread_tokens / rate if rate else 0.0)
        self._per_request_s = terms.passes * max(MIN_GROWTH_S, growth_s) / max(work.slots, 1.0)
        self._calm = CALM_FRACTION * self._usable
        self._calm_s = self._idle_s + self._per_request_s * self._calm
        answer_s = self._idle_s + self._per_request_s * self._usable
        # Of a rank's requests, one ends after an answer's time over its slots on average.
        first_wait_s = WAIT_WEIGHT * answer_s * work.ranks / max(work.slots, 1.0)
        self._per_collision_s = self._per_request_s + first_wait_s / (self._usable - self._calm)
        self._full_s = answer_s + first_wait_s
        self._per_waiting_s = answer_s / self._usable

    def at(self, requests: float) -> float:
        """Return when the last of so many requests would finish."""
        if requests <= self._calm:
            return self._idle_s + self._per_request_s * requests
        if requests <= self._usable:
            return self._calm_s + self._per_collision_s * (requests - self._calm)
        return self._full_s + self._per_waiting_s * (requests - self._usable)

    def room(self, finish_s: float) -> float:
        """Return how many requests more would finish by a time."""
        if finish_s <= self._calm_s:
            requests = (finish_s - self._idle_s) / self._per_request_s
        elif finish_s <= self._full_s:
            requests = self._calm + (finish_s - self._calm_s) / self._per_collision_s
        else:
            requests = self._usable + (finish_s - self._full_s) / self._per_waiting_s
        return max(0.0, requests - self.work.running)


def choose_group(
    groups: Sequence[GroupWork], terms: PassTerms, random: Random, unreported: float = 0.0
) -> GroupChoice | None:
    """Return the group that a request goes to, or none when there is none.

    ``unreported`` is the estimated number of unreported requests of other entries. Ties go to the
    group with more ranks in the own failure domain, then to a random one.
    """
    if not groups:
        return None
    ranked = sorted(
        (_Finish(work, terms) for work in groups),
        key=lambda item: (
            round(item.at(item.work.running + 1) / TIE_S),
            -item.work.local_fraction,
            random.random(),
        ),
    )[:MAX_CONSIDERED]
    if unreported <= 0 or len(ranked) < 2:
        return GroupChoice(ranked[0].work.key, 1.0)
    parts = _distribute(ranked, 1 + unreported)
    chosen = random.choices(range(len(ranked)), parts)[0]
    return GroupChoice(ranked[chosen].work.key, parts[chosen] / sum(parts))


def _distribute(groups: Sequence[_Finish], requests: float) -> list[float]:
    """Return how many more requests each group gets if all are to finish at the same time."""
    earliest = min(group.at(group.work.running) for group in groups)
    # The group that finishes first would have finished all of them by then.
    latest = min(group.at(group.work.running + requests) for group in groups)
    for _ in range(HALVINGS):
        middle = (earliest + latest) / 2
        if sum(group.room(middle) for group in groups) < requests:
            earliest = middle
        else:
            latest = middle
    return [group.room(latest) for group in groups]
