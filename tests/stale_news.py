"""Entries that send to the ranks of a group, and hear of each other's requests too late."""

from collections import deque
from dataclasses import dataclass, field
from random import Random

from bluebellrun.admission import SlotAdmission, SlotAdmissionSettings, SlotUsage, UrgentReserve
from bluebellrun.routing import LeastWorkRouting, UpstreamWork

HOLDS_S, TURN_S = 2.4, 0.02
OBJECTIVES_S = (0.4, 0.4, 1.0)


@dataclass
class Group:
    """Ranks with slots; a request waits at its rank, the most urgent first."""

    entries: int = 14
    ranks: int = 63
    slots: int = 5
    news_s: float = 0.12
    spread: bool = True
    reserve: UrgentReserve | None = None
    random: Random = field(default_factory=lambda: Random(7))

    def play(self, rates: tuple[float, float, float], until_s: float = 10.0) -> list[float]:
        """Return the part of each priority's requests that get their place in time.

        ``rates`` are requests a second by priority.
        """
        routing, admission = (
            LeastWorkRouting(self.random, ""),
            SlotAdmission(SlotAdmissionSettings()),
        )
        running: list[list[float]] = [[] for _ in range(self.ranks)]
        waiting: list[list[tuple[int, float]]] = [[] for _ in range(self.ranks)]
        known: deque[list[int]] = deque([[0] * self.ranks] * round(self.news_s / TURN_S))
        sent: deque[tuple[float, int, int]] = deque()
        asked, in_time = [0, 0, 0], [0, 0, 0]
        unseen = sum(rates) * self.news_s if self.spread else 0.0
        for turn in range(round(until_s / TURN_S)):
            now = turn * TURN_S
            for rank in range(self.ranks):
                running[rank] = [end for end in running[rank] if end > now]
                waiting[rank].sort()
                while waiting[rank] and len(running[rank]) < self.slots:
                    priority, arrived = waiting[rank].pop(0)
                    in_time[priority] += now - arrived <= 0.6 * OBJECTIVES_S[priority]
                    running[rank].append(now + HOLDS_S * self.random.uniform(0.3, 1.7))
            while sent and sent[0][0] <= now - self.news_s:
                sent.popleft()
            for priority, rate in enumerate(rates):
                for _ in range(int(rate * TURN_S + self.random.random())):
                    asked[priority] += 1
                    entry, work = self.random.randrange(self.entries), list(known[0])
                    for _, by, rank in sent:
                        work[rank] += by == entry
                    if self._admits(admission, priority, sum(work), now):
                        works = [
                            UpstreamWork(str(r), "", self.slots, n) for r, n in enumerate(work)
                        ]
                        chosen = routing.choose(works, unseen)
                        assert chosen is not None
                        waiting[int(chosen.name)].append((priority, now))
                        sent.append((now, entry, int(chosen.name)))
            known.append([len(running[r]) + len(waiting[r]) for r in range(self.ranks)])
            known.popleft()
        return [done / max(1, count) for done, count in zip(in_time, asked, strict=True)]

    def _admits(self, admission: SlotAdmission, priority: int, taken: int, now: float) -> bool:
        part = 1.0
        if self.reserve is not None:
            self.reserve.record(priority, now)
            part = self.reserve.slot_fraction(priority)
        places = SlotUsage(self.ranks * self.slots, taken, HOLDS_S)
        return admission.admits(places, priority, OBJECTIVES_S[priority], part)
